package claimer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
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

// newTestClaimer returns the Claimer of an entry with these replicas.
func newTestClaimer[C claimerpb.Claimer](entry string, replicas []C) *Claimer {
	c := &Claimer{cfg: Config{InstanceID: entry}, quorums: decider.Quorums{N: len(replicas)}}
	for _, r := range replicas {
		c.replicas = append(c.replicas, &replica{client: r, transport: &http.Transport{}})
	}
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
	first := newTestClaimer("first", []*link{
		{replicas[0], never, never}, {replicas[1], isReleased, isReleased}, {replicas[2], always, isReleased},
	})
	other := newTestClaimer("other", []*link{
		{replicas[0], always, never}, {replicas[1], always, never}, {replicas[2], always, never},
	})
	resend := newTestClaimer("resend", []*link{
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

// looseLink is the connection of one entry to a replica. Requests arrive late or never, and replies are lost.
type looseLink struct {
	*testReplica
	mu   sync.Mutex
	rand *rand.Rand
	// loss is the share of requests, and of replies, that are lost; delay is the longest time that a request takes.
	loss  float64
	delay time.Duration
}

func (l *looseLink) draw() (lost, lostReply bool, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.Float64() < l.loss, l.rand.Float64() < l.loss, time.Duration(l.rand.Int64N(int64(l.delay)))
}

// deliver applies a request to the register. One that takes longer than its sender waits arrives all the same.
func (l *looseLink) deliver(ctx context.Context, f func(*decider.Register[*claimerpb.Value]) bool) (*claimerpb.Reply, error) {
	lost, lostReply, delay := l.draw()
	if lost {
		return nil, errCut
	}
	replies := make(chan *claimerpb.Reply, 1)
	time.AfterFunc(delay, func() { replies <- l.update(f) })
	select {
	case reply := <-replies:
		if lostReply {
			return nil, errCut
		}
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Prepare implements claimerpb.Claimer.
func (l *looseLink) Prepare(ctx context.Context, req *claimerpb.PrepareRequest) (*claimerpb.Reply, error) {
	return l.deliver(ctx, func(r *decider.Register[*claimerpb.Value]) bool { return r.Prepare(fromBallot(req.Ballot)) })
}

// Accept implements claimerpb.Claimer.
func (l *looseLink) Accept(ctx context.Context, req *claimerpb.AcceptRequest) (*claimerpb.Reply, error) {
	return l.deliver(ctx, func(r *decider.Register[*claimerpb.Value]) bool { return r.Accept(fromBallot(req.Ballot), req.Value) })
}

// keyLedger is what became of the sends of two calls with one key.
type keyLedger struct {
	t  *testing.T
	mu sync.Mutex
	// holder is the claim that is held and not about to be released; runs counts, by fingerprint, what servers have run, and refused is whether a
	// caller was told that the key is another call's.
	holder  *Claim
	runs    map[string]int
	refused map[string]bool
	results map[string]int
}

func (k *keyLedger) update(result string, f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.results[result]++
	f()
}

// send makes one send of a call, which runs if it gets the claim and is then settled, released or left as it is.
func (k *keyLedger) send(c *Claimer, fingerprint string, rnd *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for range 3 {
		claim, other, err := c.Claim(ctx, Request{Key: "k", Fingerprint: []byte(fingerprint), Deadline: time.Now().Add(time.Second)})
		switch {
		case err != nil:
			k.update("no quorum", func() {})
			_ = claim.Abandon(ctx)
			return
		case claim != nil:
			k.hold(ctx, claim, fingerprint, rnd.IntN(4))
			return
		case string(other.Fingerprint) != fingerprint:
			k.update("another call's", func() { k.refused[fingerprint] = true })
			return
		case !decider.State(other.State).CanClaim():
			k.update("claimed", func() {})
			return
		}
	}
}

func (k *keyLedger) hold(ctx context.Context, claim *Claim, fingerprint string, end int) {
	k.update("held", func() {
		if k.holder != nil {
			k.t.Error("two claims of the key are held")
		}
		k.holder = claim
	})
	time.Sleep(10 * time.Millisecond)
	if end == 0 {
		k.update("released", func() { k.holder = nil })
		_ = claim.Settle(ctx, decider.Released, nil, nil)
		return
	}
	k.update("run", func() { k.runs[fingerprint]++ })
	switch end {
	case 1:
		_ = claim.Settle(ctx, decider.Ran, nil, &claimerpb.Answer{})
	case 2:
		_ = claim.Settle(ctx, decider.Unknown, nil, nil)
	}
}

// Guards against a key that runs twice, and against a caller that is told that the key is another call's although an earlier or later send of its own
// call runs, whichever requests to the replicas are late or lost.
func TestKeyRunsOnceInAnySchedule(t *testing.T) {
	const schedules, sends = 4000, 5
	results := make(map[string]int)
	for seed := range uint64(schedules) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			k := &keyLedger{t: t, runs: make(map[string]int), refused: make(map[string]bool), results: results}
			replicas := []*testReplica{{}, {}, {}}
			loss, delay := 0.3*rnd.Float64(), []time.Duration{2 * time.Millisecond, 50 * time.Millisecond, time.Second}[rnd.IntN(3)]
			var wg sync.WaitGroup
			for i := range uint64(sends) {
				var links []*looseLink
				for j, r := range replicas {
					links = append(links, &looseLink{testReplica: r, rand: rand.New(rand.NewPCG(seed, 1+i*10+uint64(j))), loss: loss, delay: delay})
				}
				c, own := newTestClaimer("e", links), rand.New(rand.NewPCG(seed, 100+i))
				fingerprint, begin := string(rune('a'+rnd.IntN(2))), time.Duration(rnd.Int64N(int64(2*delay)))
				wg.Go(func() {
					time.Sleep(begin)
					k.send(c, fingerprint, own)
				})
			}
			wg.Wait()
			// Requests that are still on their way.
			time.Sleep(time.Minute)
			k.mu.Lock()
			defer k.mu.Unlock()
			if k.runs["a"]+k.runs["b"] > 1 {
				t.Errorf("the key ran %v times", k.runs)
			}
			for fingerprint := range k.refused {
				if k.runs[fingerprint] > 0 {
					t.Error("a call ran whose caller was told that the key is another call's")
				}
			}
			if t.Failed() {
				t.Logf("seed %d", seed)
			}
		})
	}
	t.Logf("results: %v", results)
}
