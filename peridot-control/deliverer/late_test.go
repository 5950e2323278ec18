package deliverer

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/peridot-control/arbiter"
)

// members are two control members with one table of backend servers; the first one leads.
type members struct {
	now              time.Time
	leader, follower *Deliverer
	list             *arbiter.Arbiter
}

func newMembers() *members {
	m := &members{now: time.Unix(1000, 0), list: arbiter.New()}
	newMember := func(leads bool) *Deliverer {
		return &Deliverer{
			cfg: Config{
				Now: func() time.Time { return m.now }, Log: zerolog.Nop(), ServerLease: 12 * time.Second,
				NeedsUpdate: func(s *arbiter.Server) bool { return m.list.Servers().NeedsUpdate(s) },
				Leader:      func() (string, bool) { return "127.0.0.1:1", leads },
				Self:        func() *delivererpb.ControlMember { return &delivererpb.ControlMember{AvailabilityZone: "a"} },
				Servers: func(version uint64) ([]arbiter.Server, bool, uint64) {
					changed, full := m.list.Servers().ChangesSince(version)
					return changed, full, m.list.Servers().Version
				},
				Propose: func(_ context.Context, cmd arbiter.Command) (arbiter.ChangeResult, error) {
					return m.list.Apply(cmd), nil
				},
			},
			clients: make(map[string]*leaderClient), confirmed: m.now, startedAt: m.now,
		}
	}
	m.leader, m.follower = newMember(true), newMember(false)
	m.leader.renewAllServers()
	return m
}

// announce passes an announcement to a member, and what the follower has collected to the leader.
func (m *members) announce(t *testing.T, at *Deliverer, started int64, sequence uint64) {
	t.Helper()
	m.follower.confirmed = m.now
	s := &arbiter.Server{
		Service: "s", InstanceID: "a", Address: "10.0.0.1:1", AvailabilityZone: "a", Slots: 6, Started: started, Sequence: sequence, State: arbiter.Ready,
	}
	if _, err := at.HandleAnnouncement(t.Context(), s); err != nil {
		t.Fatal(err)
	}
	m.leader.serverLeases.renew(m.follower.serverLeases.takePending(), m.now)
}

func (m *members) advance(d time.Duration) {
	m.now = m.now.Add(d)
	m.leader.expireServers()
	m.leader.wg.Wait()
}

func (m *members) state() arbiter.ServerState { return m.list.Servers().Servers["a"].State }

// lose lets the server announce itself 50 times, the first time at the leader and then at a member, until its lease expires.
func (m *members) lose(t *testing.T, at *Deliverer) {
	t.Helper()
	m.announce(t, m.leader, 1000, 1)
	for sequence := uint64(2); sequence <= 50; sequence++ {
		m.advance(time.Second)
		m.announce(t, at, 1000, sequence)
	}
	m.advance(12 * time.Second)
	if m.state() != arbiter.Ready {
		t.Fatal("the server is lost before its lease ends")
	}
	m.advance(time.Second)
	if m.state() != arbiter.Lost {
		t.Fatal("the server is not lost when its lease has expired")
	}
}

// Guards against a delayed announcement that restores a server which has crashed since: another member has collected its later ones for the leader.
func TestDelayedAnnouncementIsLateAtEveryMember(t *testing.T) {
	m := newMembers()
	m.lose(t, m.follower)
	m.announce(t, m.leader, 1000, 10)
	if m.state() != arbiter.Lost {
		t.Error("announcement 10, which came at the leader after 50 at another member, has restored the server")
	}
}

// Guards against copies of an announcement that keep a server listed which has crashed.
func TestCopyDoesNotRenewALease(t *testing.T) {
	m := newMembers()
	m.announce(t, m.leader, 2000, 1)
	m.announce(t, m.leader, 2000, 2)
	m.advance(8 * time.Second)
	m.announce(t, m.leader, 2000, 2)
	m.advance(8 * time.Second)
	if m.state() != arbiter.Lost {
		t.Error("a copy of announcement 2 has renewed the lease")
	}
}
