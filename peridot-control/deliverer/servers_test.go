package deliverer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/differ"
	"peridotswitch.example/peridot-control/arbiter"
)

func testServers(n int) (list []arbiter.Server) {
	for i := range n {
		list = append(list, arbiter.Server{
			InstanceID: fmt.Sprintf("i-%08x", i*7919), Service: fmt.Sprintf("service-%d", i%8), Address: fmt.Sprintf("10.1.%d.%d:8500", i/250, i%250),
			AvailabilityZone: "centro-a", Slots: 6, Started: 1_775_923_530_055 + int64(i), Sequence: 1, State: arbiter.Ready,
		})
	}
	return list
}

// If 100 entries start at the same time over links of low bandwidth, each asks for the full table of several hundred backend servers:
// it must be sent compressed, and compressed only once per version.
func TestFullTableIsCompressedOncePerVersion(t *testing.T) {
	servers := testServers(400)
	version := uint64(7)
	d := &Deliverer{cfg: Config{
		Log:     zerolog.Nop(),
		Servers: func(uint64) ([]arbiter.Server, bool, uint64) { return servers, true, version },
	}}
	first, second := &delivererpb.WatchReply{}, &delivererpb.WatchReply{}
	d.addServers(first, 0)
	d.addServers(second, 0)
	if len(first.Servers) > 0 || len(first.ServersPacked) == 0 || &first.ServersPacked[0] != &second.ServersPacked[0] {
		t.Fatal("the table isn't compressed, or is compressed again for the second entry")
	}
	data, err := differ.Decode(nil, first.ServersPacked)
	if err != nil {
		t.Fatal(err)
	}
	list := &delivererpb.BackendServers{}
	if err = proto.Unmarshal(data, list); err != nil {
		t.Fatal(err)
	}
	for i := range servers {
		if got := decodeServer(list.Servers[i]); got != servers[i] {
			t.Fatalf("server %d is %+v, want %+v", i, got, servers[i])
		}
	}
	if len(first.ServersPacked)*2 > len(data) {
		t.Errorf("compressed table has %d bytes, uncompressed %d; want at most half", len(first.ServersPacked), len(data))
	}
	version, servers = 8, testServers(20)
	later := &delivererpb.WatchReply{}
	d.addServers(later, 0)
	if later.ServersVersion != 8 || len(later.ServersPacked) >= len(first.ServersPacked) {
		t.Error("the reply has an older version of the table")
	}
}

// After a power failure, entries may ask a member that has restarted with an empty disk. It must refuse at once, so that they go on to
// another member.
func TestWatchFailsAtOnceAtAMemberThatHasNotJoined(t *testing.T) {
	d := &Deliverer{cfg: Config{Now: time.Now, Status: func() Status { return Status{} }}}
	if _, err := d.Watch(context.Background(), &delivererpb.WatchRequest{InstanceId: "front-1"}); err == nil {
		t.Error("Watch succeeded at a member without a cluster")
	}
}

// Several hundred backend servers repeat their announcement every second. An unchanged one must not be proposed to the log, which
// would cost a round trip between members each; a member that no longer leads must refuse it.
func TestUnchangedAnnouncementIsNotProposed(t *testing.T) {
	tests := map[string]struct {
		leads, wantErr bool
	}{
		"on the leader":      {true, false},
		"on a former leader": {false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := &Deliverer{cfg: Config{
				Now:         time.Now,
				NeedsUpdate: func(*arbiter.Server) bool { return false },
				Leader:      func() (string, bool) { return "10.0.0.1:1", test.leads },
			}}
			if err := d.applyAnnouncement(context.Background(), &arbiter.Server{InstanceID: "i-1"}); (err != nil) != test.wantErr {
				t.Errorf("error is %v, want an error: %t", err, test.wantErr)
			}
		})
	}
}

// At 900 backend servers, 600 unchanged announcements a second reach control, and all of them at once when it has restarted. Members other than
// the leader must collect them for it, but accept none for long without its confirmation.
func TestUnchangedAnnouncementsAreCollectedForTheLeader(t *testing.T) {
	now := time.Unix(1000, 0)
	const leader = "127.0.0.1:1"
	tests := map[string]struct {
		changed            bool
		leader             string
		confirmed, started time.Duration
		refuser            string
		collected          bool
	}{
		"unchanged":                       {false, leader, 0, time.Hour, "", true},
		"changed":                         {true, leader, 0, time.Hour, "", false},
		"unchanged at an isolated member": {false, leader, 2 * isolationTimeout, time.Hour, "", false},
		"unchanged at a member that has just restarted": {false, leader, time.Hour, startGrace, "", true},
		"the same before there is a leader":             {false, "", time.Hour, startGrace, "", true},
		"changed before there is a leader":              {true, "", time.Hour, startGrace, "", false},
		"isolated since its start":                      {false, leader, time.Hour, startGrace + time.Millisecond, "", false},
		"unchanged, but the leader accepts none":        {false, leader, 0, time.Hour, leader, false},
		"unchanged, an earlier leader accepted none":    {false, leader, 0, time.Hour, "127.0.0.1:2", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := &Deliverer{
				cfg: Config{
					Now:         func() time.Time { return now },
					NeedsUpdate: func(*arbiter.Server) bool { return test.changed },
					Leader:      func() (string, bool) { return test.leader, false },
					Self:        func() *delivererpb.ControlMember { return &delivererpb.ControlMember{AvailabilityZone: "a"} },
				},
				clients: make(map[string]*leaderClient), confirmed: now.Add(-test.confirmed), startedAt: now.Add(-test.started),
			}
			if test.refuser != "" {
				d.serverLeases.setAccepts(test.refuser, false)
			}
			// Nothing listens at the leader's address, so that a forwarded announcement fails.
			_, err := d.HandleAnnouncement(context.Background(), &arbiter.Server{InstanceID: "i-1", AvailabilityZone: "a"})
			if collected := err == nil; collected != test.collected {
				t.Errorf("collected is %t (%v), want %t", collected, err, test.collected)
			}
			if queued := len(d.serverLeases.takePending()) == 1; queued != test.collected {
				t.Errorf("queued is %t, want %t", queued, test.collected)
			}
		})
	}
}

// Servers that fail to be renewed with the leader stay queued, and the leader gives those that arrive a full lease.
func TestCollectedServersKeepTheirLease(t *testing.T) {
	now := time.Unix(1000, 0)
	var member, leader serverLeases
	member.queue(renewal{"i-1", announcementID{1000, 7}})
	failed := member.takePending()
	member.queue(renewal{"i-2", announcementID{1000, 3}})
	member.queue(failed...)
	req := &delivererpb.RenewRequest{}
	encodeRenewals(req, member.takePending())
	renewals, ok := decodeRenewals(req)
	leader.renew(renewals, now)
	if !ok || len(leader.leases) != 2 || leader.leases["i-1"].renewed != now || leader.leases["i-1"].newest != (announcementID{1000, 7}) {
		t.Errorf("leases are %v, want those of i-1 and i-2", leader.leases)
	}
}

// Announcements stay in the backend server's availability zone and off the leader where other members are there.
func TestNextAnnouncementAddress(t *testing.T) {
	member := func(address, zone, role string, leader, alive bool) *delivererpb.ControlMember {
		return &delivererpb.ControlMember{Address: address, AvailabilityZone: zone, Role: role, Leader: leader, Alive: alive}
	}
	tests := map[string]struct {
		zone    string
		members []*delivererpb.ControlMember
		want    string
	}{
		"this member's zone":        {"a", nil, "self"},
		"a zone with a member":      {"b", []*delivererpb.ControlMember{member("b-1", "b", "voter", false, true)}, "b-1"},
		"a zone without a member":   {"c", []*delivererpb.ControlMember{member("b-1", "b", "voter", false, true)}, "self"},
		"a zone with a dead member": {"b", []*delivererpb.ControlMember{member("b-1", "b", "voter", false, false)}, "self"},
		"a zone with a spare":       {"b", []*delivererpb.ControlMember{member("b-1", "b", "spare", false, true)}, "self"},
		"a zone with the leader":    {"b", []*delivererpb.ControlMember{member("b-1", "b", "voter", true, true)}, "self"},
		"leader and another member": {"b", []*delivererpb.ControlMember{member("b-1", "b", "voter", true, true), member("b-2", "b", "voter", false, true)}, "b-2"},
		"a server without a zone":   {"", []*delivererpb.ControlMember{member("b-1", "b", "voter", false, true)}, "self"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := &Deliverer{cfg: Config{
				Self: func() *delivererpb.ControlMember {
					return &delivererpb.ControlMember{Address: "self", AvailabilityZone: "a"}
				},
				Status: func() Status { return Status{Members: test.members} },
			}}
			if got := d.nextAnnouncementAddress(test.zone); got != test.want {
				t.Errorf("address is %s, want %s", got, test.want)
			}
		})
	}
}
