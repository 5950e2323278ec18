package deliverer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/operatorpb"
	"peridotswitch.example/common/server"
	"peridotswitch.example/peridot-control/arbiter"
)

// evacuationFleet is a set of control members that share a log.
type evacuationFleet struct {
	members []*Deliverer
	// mu guards the fields that follow, since a leader may go on with a request whose sender has given up.
	mu   sync.Mutex
	list *arbiter.Arbiter
	// addresses are those at which the members listen for each other.
	addresses []string
	leader    int
	// propose commits a command; the members of a fleet fail by replacing it.
	propose   func(context.Context, arbiter.Command) (arbiter.ChangeResult, error)
	proposals int
	// beforeRequest replaces each request between members; nil for none.
	beforeRequest func(*http.Request) *http.Request
}

func newEvacuationFleet(t *testing.T, n int) *evacuationFleet {
	f := &evacuationFleet{list: arbiter.New()}
	f.propose = func(_ context.Context, cmd arbiter.Command) (arbiter.ChangeResult, error) {
		return f.apply(cmd), nil
	}
	for i := range n {
		d := &Deliverer{
			cfg: Config{
				Now: time.Now, Log: zerolog.Nop(), OperatorToken: "secret",
				Evacuations: f.evacuations,
				Current:     func() arbiter.Configuration { return f.list.Current() },
				Status:      func() Status { return Status{} },
				ReadIndex:   func(context.Context) (uint64, error) { return 0, nil },
				QuorumReadIndex: func(context.Context) (uint64, error) {
					f.mu.Lock()
					defer f.mu.Unlock()
					if f.leader != i {
						return 0, errNoLeader
					}
					return 0, nil
				},
				Servers: func(version uint64) ([]arbiter.Server, bool, uint64) {
					changed, full := f.list.Servers().ChangesSince(version)
					return changed, full, f.list.Servers().Version
				},
				Leader: func() (string, bool) {
					f.mu.Lock()
					defer f.mu.Unlock()
					if f.leader < 0 {
						return "", false
					}
					return f.addresses[f.leader], f.leader == i
				},
				Propose: func(ctx context.Context, cmd arbiter.Command) (arbiter.ChangeResult, error) {
					f.mu.Lock()
					propose := f.propose
					if f.leader != i {
						propose = func(context.Context, arbiter.Command) (arbiter.ChangeResult, error) {
							return arbiter.ChangeResult{}, errNoLeader
						}
					}
					f.mu.Unlock()
					defer f.set(func() { f.proposals++ })
					return propose(ctx, cmd)
				},
			},
			clients: make(map[string]*leaderClient), table: newTable(time.Now, time.Minute),
		}
		handler := WithRequestHeaders(delivererpb.NewDelivererServer(d))
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			before := f.beforeRequest
			f.mu.Unlock()
			if before != nil {
				r = before(r)
			}
			handler.ServeHTTP(w, r)
		}))
		t.Cleanup(srv.Close)
		f.members = append(f.members, d)
		f.addresses = append(f.addresses, strings.TrimPrefix(srv.URL, "http://"))
	}
	return f
}

func (f *evacuationFleet) apply(cmd arbiter.Command) arbiter.ChangeResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list.Apply(cmd)
}

func (f *evacuationFleet) evacuations() arbiter.Evacuations {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list.Evacuations()
}

// proposed returns the number of proposals that have been made.
func (f *evacuationFleet) proposed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proposals
}

// set changes the fleet while its members may run.
func (f *evacuationFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// Guards against an ack of a command that no majority has stored, and against a refusal of one that is sent again, to whichever member.
func TestEvacuationIsAcknowledgedOnceCommitted(t *testing.T) {
	tests := map[string]struct {
		// fail makes the first request fail.
		fail func(*evacuationFleet)
		// stored is whether the first request has changed the list although it failed.
		stored bool
	}{
		"no leader":          {func(f *evacuationFleet) { f.leader = -1 }, false},
		"the leader is gone": {func(f *evacuationFleet) { f.addresses[0] = "127.0.0.1:1" }, false},
		"the leader no longer leads when the request arrives": {func(f *evacuationFleet) { f.leader, f.addresses[2] = 2, f.addresses[0] }, false},
		"before the commit": {func(f *evacuationFleet) { f.propose = f.failingProposal(false) }, false},
		"after the commit":  {func(f *evacuationFleet) { f.propose = f.failingProposal(true) }, true},
		"the proposal times out": {func(f *evacuationFleet) {
			f.propose = func(ctx context.Context, _ arbiter.Command) (arbiter.ChangeResult, error) {
				<-ctx.Done()
				return arbiter.ChangeResult{}, ctx.Err()
			}
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newEvacuationFleet(t, 3)
			commit := f.propose
			for _, end := range []bool{false, true} {
				version, addresses := f.evacuations().Version, slices.Clone(f.addresses)
				f.set(func() {
					f.leader, f.propose = 0, commit
					test.fail(f)
				})
				if err := f.members[1].ChangeEvacuation(context.Background(), "a", end); err == nil {
					t.Error("a command that failed is acknowledged")
				}
				if stored := f.evacuations().Version > version; stored != test.stored {
					t.Errorf("the failed command is stored: %t, want %t", stored, test.stored)
				}
				f.set(func() { f.addresses, f.leader, f.propose = addresses, 2, commit })
				for _, m := range f.members {
					if err := m.ChangeEvacuation(context.Background(), "a", end); err != nil {
						t.Errorf("a repeated command is refused: %v", err)
					}
				}
				if e := f.evacuations(); e.Version != version+1 || e.Contains("a") == end {
					t.Errorf("the list is %+v after the repeated command, want version %d", e, version+1)
				}
			}
		})
	}
}

// failingProposal returns a proposal that fails, after it has been committed or not.
func (f *evacuationFleet) failingProposal(commit bool) func(context.Context, arbiter.Command) (arbiter.ChangeResult, error) {
	return func(_ context.Context, cmd arbiter.Command) (arbiter.ChangeResult, error) {
		if commit {
			f.apply(cmd)
		}
		return arbiter.ChangeResult{}, errors.New("no leader confirmed by a majority of control members")
	}
}

// Guards against a member that acknowledges a command by its own list, which may lack the end that another member has acknowledged since, and
// against a request of before a pause that undoes a later one.
func TestEvacuationIsNeverAcknowledgedWithoutAProposal(t *testing.T) {
	f := newEvacuationFleet(t, 2)
	if err := f.members[0].ChangeEvacuation(context.Background(), "a", false); err != nil {
		t.Fatal(err)
	}
	f.set(func() { f.propose = f.failingProposal(false) })
	for i, m := range f.members {
		if err := m.ChangeEvacuation(context.Background(), "a", false); err == nil {
			t.Errorf("member %d acknowledged a repeated command without a majority", i)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	proposals := f.proposals
	if _, err := f.members[0].SetEvacuation(ctx, &delivererpb.SetEvacuationRequest{Zone: "b"}); err == nil || f.proposals > proposals {
		t.Error("a command whose sender has given up is proposed")
	}
	if _, err := f.members[0].SetEvacuation(context.Background(), &delivererpb.SetEvacuationRequest{}); err == nil || f.proposals > proposals {
		t.Error("a zone without a name is proposed")
	}
}

// sendAndLeave sends a command to the member behind a listener whose server has not started, and closes the connection.
func sendAndLeave(t *testing.T, l net.Listener, end bool) {
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /?end=%t HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n", end)
	if err = c.Close(); err != nil {
		t.Fatal(err)
	}
}

// serveCommands serves commands for zone a at a member and returns a channel with their errors.
func serveCommands(t *testing.T, l net.Listener, d *Deliverer) <-chan error {
	errs := make(chan error, 1)
	srv := server.New(server.Config{Listener: l, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		errs <- d.ChangeEvacuation(r.Context(), "a", r.URL.Query().Get("end") == "true")
	})})
	t.Cleanup(func() { _ = srv.Close(context.Background()) })
	return errs
}

// Guards against a member that was paused and, once it goes on, passes on a command whose sender has given up: the sender has sent it to
// another member, and the opposite command after the ack of that.
func TestCommandOfBeforeAPauseIsRefused(t *testing.T) {
	for name, member := range map[string]int{"at the leader": 0, "at a follower": 1} {
		t.Run(name, func(t *testing.T) {
			for _, end := range []bool{false, true} {
				f := newEvacuationFleet(t, 3)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				sendAndLeave(t, l, end)
				for _, later := range []bool{end, !end} {
					if err = f.members[2].ChangeEvacuation(context.Background(), "a", later); err != nil {
						t.Fatal(err)
					}
				}
				if err = <-serveCommands(t, l, f.members[member]); err == nil {
					t.Error("a command whose sender has given up is acknowledged")
				}
				if e := f.evacuations(); e.Contains("a") != end {
					t.Errorf("after the pause the list is %+v; the last acknowledged command has end: %t", e, !end)
				}
			}
		})
	}
}

// Guards against a member that was paused and, once it goes on, removes a control member by a request whose sender has given up.
func TestMemberChangeOfBeforeAPauseIsRefused(t *testing.T) {
	f := newEvacuationFleet(t, 1)
	d, changes := f.members[0], 0
	d.cfg.ChangeMember = func(context.Context, *MemberChange) error {
		changes++
		return nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sendAndLeave(t, l, false)
	errs := make(chan error, 1)
	srv := server.New(server.Config{Listener: l, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), requestHeadersKey{}, requestHeaders{authorization: "Bearer secret"})
		_, err := d.ChangeMember(ctx, &operatorpb.ChangeMemberRequest{Action: "remove", InstanceId: "core-1"})
		errs <- err
	})})
	defer func() { _ = srv.Close(context.Background()) }()
	if err = <-errs; err == nil || changes > 0 {
		t.Errorf("error is %v after %d changes, want a refusal", err, changes)
	}
}

// Guards against a command that is held up on its way to the leader until after the ack of the opposite one. The leader may not have noticed
// that the sender has given up when it goes on with the command.
func TestCommandHeldUpBetweenMembersIsRefused(t *testing.T) {
	for _, end := range []bool{false, true} {
		f := newEvacuationFleet(t, 3)
		if err := f.members[0].ChangeEvacuation(context.Background(), "a", !end); err != nil {
			t.Fatal(err)
		}
		arrived, release := make(chan struct{}), make(chan struct{})
		releaseOnce := sync.OnceFunc(func() { close(release) })
		defer releaseOnce()
		var held atomic.Bool
		f.set(func() {
			f.beforeRequest = func(r *http.Request) *http.Request {
				if !strings.HasSuffix(r.URL.Path, "/SetEvacuation") || !held.CompareAndSwap(false, true) {
					return r
				}
				close(arrived)
				<-release
				return r.WithContext(context.WithoutCancel(r.Context()))
			}
		})
		ctx, cancel := context.WithCancel(context.Background())
		result := make(chan error, 1)
		go func() { result <- f.members[1].ChangeEvacuation(ctx, "a", end) }()
		<-arrived
		cancel()
		if err := <-result; err == nil {
			t.Fatal("a command whose sender has given up is acknowledged")
		}
		for _, later := range []bool{end, !end} {
			if err := f.members[2].ChangeEvacuation(context.Background(), "a", later); err != nil {
				t.Fatal(err)
			}
		}
		f.set(func() { f.proposals = 0 })
		releaseOnce()
		for deadline := time.Now().Add(5 * time.Second); f.proposed() == 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the leader has not gone on with the command")
			}
		}
		if e := f.evacuations(); e.Contains("a") != end {
			t.Errorf("the list is %+v; the last acknowledged command has end: %t", e, !end)
		}
	}
}

// Guards against entries that lack the list, and against messages that differ from those of before although nothing was ever evacuated.
func TestWatchRepliesHaveTheEvacuatedZones(t *testing.T) {
	f := newEvacuationFleet(t, 1)
	get := func(held uint64) *delivererpb.WatchReply {
		reply := &delivererpb.WatchReply{}
		f.members[0].addEvacuated(reply, held)
		return reply
	}
	if reply := get(0); reply.EvacuatedVersion != 0 || reply.EvacuatedZones != nil {
		t.Errorf("before the first evacuation the reply is %v", reply)
	}
	f.list.Apply(arbiter.Command{Evacuation: &arbiter.EvacuationChange{Zone: "a"}})
	if reply := get(0); reply.EvacuatedVersion != 1 || !slices.Equal(reply.EvacuatedZones, []string{"a"}) {
		t.Errorf("an entry without the list gets %v", reply)
	}
	if reply := get(1); reply.EvacuatedVersion != 1 || len(reply.EvacuatedZones) > 0 {
		t.Errorf("an entry that holds the list gets it again: %v", reply)
	}
	f.list.Apply(arbiter.Command{Evacuation: &arbiter.EvacuationChange{Zone: "a", End: true}})
	if reply := get(1); reply.EvacuatedVersion != 2 || len(reply.EvacuatedZones) > 0 {
		t.Errorf("an entry learns of the end by %v", reply)
	}
	old, now := Versions{Revision: 9, Servers: 9, Quarantine: 9, Evacuations: 1}, Versions{Evacuations: 2}
	if !now.IsNewerThan(old) || old.IsNewerThan(old) {
		t.Error("a watch doesn't end when the list changes, or ends without a change")
	}
}

// Guards against an operator who takes more capacity away than the other zones have, against changes without the token, and against a check
// that changes something.
func TestOperatorEvacuate(t *testing.T) {
	f := newEvacuationFleet(t, 1)
	add := func(id, service, zone string, slots int, state arbiter.ServerState) {
		f.list.Apply(arbiter.Command{Servers: []arbiter.Server{{Service: service, InstanceID: id, Address: id, AvailabilityZone: zone, Slots: slots, Started: 1, Sequence: 1, State: state}}})
	}
	add("1", "s", "a", 3, arbiter.Ready)
	add("2", "s", "b", 5, arbiter.Ready)
	add("3", "s", "c", 7, arbiter.Ready)
	add("4", "s", "b", 100, arbiter.Draining)
	add("5", "r", "a", 2, arbiter.Ready)
	f.list.Apply(arbiter.Command{Evacuation: &arbiter.EvacuationChange{Zone: "c"}})
	d, ctx := f.members[0], context.Background()
	withToken := context.WithValue(ctx, requestHeadersKey{}, requestHeaders{authorization: "Bearer secret"})
	tests := map[string]struct {
		ctx  context.Context
		req  *operatorpb.EvacuateRequest
		code twirp.ErrorCode
		// zones is the list after the request.
		zones    []string
		services int
	}{
		"a check":                  {ctx, &operatorpb.EvacuateRequest{Zone: "a", Check: true}, twirp.NoError, []string{"c"}, 2},
		"a check of the end":       {ctx, &operatorpb.EvacuateRequest{Zone: "c", Check: true, End: true}, twirp.NoError, []string{"c"}, 0},
		"without the token":        {ctx, &operatorpb.EvacuateRequest{Zone: "a"}, twirp.Unauthenticated, []string{"c"}, 0},
		"an end without the token": {ctx, &operatorpb.EvacuateRequest{Zone: "c", End: true}, twirp.Unauthenticated, []string{"c"}, 0},
		"without a zone":           {withToken, &operatorpb.EvacuateRequest{}, twirp.InvalidArgument, []string{"c"}, 0},
		"with the token":           {withToken, &operatorpb.EvacuateRequest{Zone: "a"}, twirp.NoError, []string{"a", "c"}, 2},
		"the end":                  {withToken, &operatorpb.EvacuateRequest{Zone: "c", End: true}, twirp.NoError, nil, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			snapshot := f.list.Snapshot()
			defer func() { _ = f.list.Restore(snapshot) }()
			reply, err := d.Evacuate(test.ctx, test.req)
			var te twirp.Error
			if test.code != twirp.NoError {
				if !errors.As(err, &te) || te.Code() != test.code {
					t.Fatalf("error is %v, want the code %s", err, test.code)
				}
			} else if err != nil || len(reply.Services) != test.services || !slices.Equal(reply.EvacuatedZones, test.zones) {
				t.Fatalf("reply is %v with error %v, want %d services and the zones %v", reply, err, test.services, test.zones)
			}
			if status, err := d.Status(ctx, &operatorpb.StatusRequest{}); err != nil || !slices.Equal(status.EvacuatedZones, test.zones) {
				t.Errorf("status has the zones %v and error %v, want %v", status.GetEvacuatedZones(), err, test.zones)
			}
			if test.services == 0 {
				return
			}
			// Zone c is evacuated and server 4 drains, so that neither remains.
			if r, s := reply.Services[0], reply.Services[1]; r.InZone != 2 || r.Elsewhere != 0 || s.InZone != 3 || s.Elsewhere != 5 {
				t.Errorf("remaining slots are %v and %v", r, s)
			}
		})
	}
}
