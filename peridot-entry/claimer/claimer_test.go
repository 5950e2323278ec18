package claimer

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/claimerpb"
	"peridotswitch.example/common/decider"
)

// testReplica is a claim replica that holds one register.
type testReplica struct {
	claimerpb.Claimer
	mu       sync.Mutex
	register decider.Register[*claimerpb.Value]
}

// update applies f to the register and replies.
func (r *testReplica) update(f func(*decider.Register[*claimerpb.Value]) bool) *claimerpb.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &claimerpb.Reply{Status: claimerpb.Status_STATUS_REFUSED, Identities: []uint64{1, 1, 1}}
	if f(&r.register) {
		reply.Status = claimerpb.Status_STATUS_OK
	}
	reply.Promised, reply.Accepted, reply.Value = toBallot(r.register.Promised), toBallot(r.register.Accepted), r.register.Value
	return reply
}

func fromBallot(b *claimerpb.Ballot) decider.Ballot {
	return decider.Ballot{Number: b.GetNumber(), Owner: b.GetOwner()}
}

// link is the connection of one entry to a replica.
type link struct {
	*testReplica
	// mayAccept and mayPrepare report whether such a request arrives.
	mayAccept, mayPrepare func() bool
}

var errCut = errors.New("the connection is cut")

// Prepare implements claimerpb.Claimer.
func (l *link) Prepare(_ context.Context, req *claimerpb.PrepareRequest) (*claimerpb.Reply, error) {
	if !l.mayPrepare() {
		return nil, errCut
	}
	return l.update(func(r *decider.Register[*claimerpb.Value]) bool { return r.Prepare(fromBallot(req.Ballot)) }), nil
}

// Accept implements claimerpb.Claimer.
func (l *link) Accept(_ context.Context, req *claimerpb.AcceptRequest) (*claimerpb.Reply, error) {
	if !l.mayAccept() {
		return nil, errCut
	}
	return l.update(func(r *decider.Register[*claimerpb.Value]) bool { return r.Accept(fromBallot(req.Ballot), req.Value) }), nil
}

// Join implements claimerpb.Claimer.
func (l *link) Join(context.Context, *claimerpb.JoinRequest) (*claimerpb.JoinReply, error) {
	return &claimerpb.JoinReply{}, nil
}

// newTestClaimer returns the Claimer of an entry with these links.
func newTestClaimer(t *testing.T, entry string, links []*link) *Claimer {
	var addresses []string
	for _, l := range links {
		srv := httptest.NewServer(claimerpb.NewClaimerServer(l))
		t.Cleanup(srv.Close)
		addresses = append(addresses, strings.TrimPrefix(srv.URL, "http://"))
	}
	c := New(Config{Replicas: addresses, InstanceID: entry, OnError: func(err error) { t.Log(err) }})
	t.Cleanup(c.Close)
	return c
}

func always() bool { return true }
func never() bool  { return false }

// Guards against a caller that is told that its key belongs to another call, so that its own has not run and never will, and whose earlier send then
// runs: the claim of the other call is not decided yet, and loses.
func TestClaimOfAnotherCallIsDecided(t *testing.T) {
	replicas := []*testReplica{{}, {}, {}}
	released := make(chan struct{})
	isReleased := func() bool {
		select {
		case <-released:
			return true
		default:
			return false
		}
	}
	// The claim of the first send reaches only the last replica, and that of the other call, whose entry then stops, the two others.
	first := newTestClaimer(t, "first", []*link{
		{replicas[0], never, never}, {replicas[1], isReleased, isReleased}, {replicas[2], always, isReleased},
	})
	other := newTestClaimer(t, "other", []*link{
		{replicas[0], always, never}, {replicas[1], always, never}, {replicas[2], always, never},
	})
	resend := newTestClaimer(t, "resend", []*link{
		{replicas[0], always, always}, {replicas[1], always, always}, {replicas[2], never, never},
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	request := func(fingerprint string) Request {
		return Request{Key: "k", Fingerprint: []byte(fingerprint), Deadline: time.Now().Add(time.Minute)}
	}
	type result struct {
		claim *Claim
		err   error
	}
	firstResult := make(chan result, 1)
	go func() {
		claim, _, err := first.Claim(ctx, request("a"))
		firstResult <- result{claim, err}
	}()
	waitFor(t, func() bool { return replicas[2].value() != nil })
	otherCtx, stopOther := context.WithCancel(ctx)
	otherEnded := make(chan struct{})
	go func() {
		defer close(otherEnded)
		_, _, _ = other.Claim(otherCtx, request("b"))
	}()
	waitFor(t, func() bool { return replicas[0].value() != nil && replicas[1].value() != nil })
	stopOther()
	<-otherEnded
	claim, held, err := resend.Claim(ctx, request("a"))
	if err != nil || claim != nil || string(held.GetFingerprint()) != "b" {
		t.Fatalf("the resend got the claim %v, the value %v and error %v, want the value of the other call", claim, held, err)
	}
	close(released)
	if r := <-firstResult; r.claim != nil || r.err != nil {
		t.Errorf("the first send got a claim (error %v) after the resend was told that the key is another call's", r.err)
	}
}

func (r *testReplica) value() *claimerpb.Value {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.register.Value
}

func waitFor(t *testing.T, ok func() bool) {
	for begin := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			t.Fatalf("waited for %v", time.Since(begin))
		}
	}
}
