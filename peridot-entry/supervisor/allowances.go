package supervisor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"peridotswitch.example/common/bounder"
	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/allocator"
	"peridotswitch.example/peridot-entry/allocatorpb"
	"peridotswitch.example/peridot-entry/batcher"
)

const (
	// askTimeout is how long the holder of a share may take to respond. A large response that is being sent keeps a link of 8 Mbit/s busy for
	// some 90 ms: with 40 ms three in four refusals of accounts below their limits were of holders that had not responded in time.
	askTimeout = 120 * time.Millisecond
	// returnDelay is how long returned tokens wait for a request that carries them.
	returnDelay = 50 * time.Millisecond
	// askIdleTimeout is how long a connection to a holder is kept. An entry asks a holder about once in a few seconds.
	askIdleTimeout = 10 * time.Second
	// askIdleConnections is how many idle connections to one holder are kept.
	askIdleConnections = 2
	// introductions is how many other entries this one introduces itself to at a time: some 50 in a zone take well below the time after
	// which the entry would begin without their acknowledgments, also if a few don't respond.
	introductions = 16
)

// allowances connects the allocator of account rate limits to control and to the other entries.
type allowances struct {
	s         *Routed
	allocator *allocator.Allocator
	batcher   *batcher.Batcher
	transport *http.Transport
	client    *http.Client
	// sent is when the current watch request was sent, by bootTime. Only the goroutine that watches uses it.
	sent time.Duration
	// isLimiting is set once the routing has had rate limits. Only the goroutine that watches uses it.
	isLimiting bool
	// isIntroducing is set while requests that introduce this entry to others are under way.
	isIntroducing atomic.Bool
}

func newAllowances(s *Routed) *allowances {
	l := &allowances{s: s, transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: askTimeout}).DialContext,
		DisableCompression:  true,
		IdleConnTimeout:     askIdleTimeout,
		MaxIdleConnsPerHost: askIdleConnections,
	}}
	l.client = bounder.NewClient(l.transport, askTimeout)
	l.batcher = batcher.New(batcher.Config{Send: l.send, Timeout: askTimeout, ReturnDelay: returnDelay})
	l.allocator = allocator.New(allocator.Config{
		InstanceID:  s.cfg.InstanceID,
		Incarnation: s.incarnation,
		Zone:        s.cfg.AvailabilityZone,
		Now:         bootTime,
		Slack:       s.cfg.AllowanceSlack,
		EntryLease:  s.cfg.EntryLease,
		Ask:         l.batcher.Ask,
		Return:      l.batcher.Return,
		OnResult:    func(r allocator.Result) { s.stats.meter.RecordToken(string(r)) },
	})
	return l
}

func (l *allowances) close() { l.transport.CloseIdleConnections() }

// bootTime returns the time since the machine started, including the time for which it was suspended: a suspended entry must not grant
// at the full rate after its lease has expired.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// recordWatch records that a watch request is about to be sent.
func (l *allowances) recordWatch() { l.sent = bootTime() }

// confirm records that control has confirmed the current watch request, and introduces this entry to those that don't know it yet.
func (l *allowances) confirm() {
	l.allocator.Confirm(l.sent)
	if !l.isLimiting {
		return
	}
	members := l.allocator.Unacknowledged()
	if len(members) == 0 || l.isIntroducing.Swap(true) {
		return
	}
	go l.introduce(members)
}

// introduce introduces this entry to others, at most introductions at a time. Each request ends after askTimeout.
func (l *allowances) introduce(members []allocator.Member) {
	defer l.isIntroducing.Store(false)
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, introductions)
	for _, m := range members {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			l.allocator.Introduce(context.Background(), m)
		})
	}
}

// setEntries applies the list of entries.
func (l *allowances) setEntries(list []*delivererpb.EntryMember) {
	members := make([]allocator.Member, 0, len(list))
	for _, m := range list {
		if m.Synchronised && !m.Stopping {
			members = append(members, allocator.Member{ID: m.InstanceId, Zone: m.AvailabilityZone, Incarnation: m.Incarnation, Address: m.PeerAddress})
		}
	}
	l.allocator.SetEntries(members)
}

// setRouting applies the limits of a routing.
func (l *allowances) setRouting(r *parser.Routing) {
	if r == nil {
		return
	}
	limits := make(map[string]allocator.Limit)
	for i := range r.Accounts {
		if a := &r.Accounts[i]; a.Rate > 0 {
			limits[a.Name] = limitOf(a, r.Number)
		}
	}
	if l.isLimiting = l.isLimiting || len(limits) > 0; l.isLimiting {
		l.allocator.SetLimits(r.Number, limits)
	}
}

func limitOf(a *parser.Account, number uint64) allocator.Limit {
	return allocator.Limit{Rate: a.Rate, Burst: a.Burst, Number: number}
}

// take takes a token for a call of an account.
func (l *allowances) take(ctx context.Context, a *parser.Account, number uint64) (giveBack func(), after time.Duration, ok bool) {
	t := l.allocator.Take(ctx, a.Name, limitOf(a, number))
	if !t.IsGranted() {
		return nil, t.RetryAfter, false
	}
	return func() { l.allocator.GiveBack(t) }, 0, true
}

// send sends a message to the holder of a share.
func (l *allowances) send(ctx context.Context, m allocator.Member, r allocator.Request) (allocator.Reply, error) {
	reply, err := allocatorpb.NewAllowanceProtobufClient("http://"+m.Address, l.client).Take(ctx, &allocatorpb.TakeRequest{
		Account:       r.Account,
		Share:         r.Share,
		Rate:          r.Limit.Rate,
		Burst:         r.Limit.Burst,
		RoutingNumber: r.Limit.Number,
		Count:         uint32(r.Count),
		Returned:      uint32(r.Returned),
	})
	if err != nil {
		return allocator.Reply{}, err
	}
	return allocator.Reply{
		Granting:   reply.Granting,
		Granted:    int(reply.Granted),
		RetryAfter: time.Duration(min(reply.RetryAfterUs, maxRetryAfterUs)) * time.Microsecond,
	}, nil
}

// maxRetryAfterUs limits the time that another entry's reply may contain, so that it fits in a time.Duration: an hour.
const maxRetryAfterUs = uint64(time.Hour / time.Microsecond)

// Take implements allocatorpb.Allowance.
func (l *allowances) Take(_ context.Context, req *allocatorpb.TakeRequest) (*allocatorpb.TakeReply, error) {
	reply := l.allocator.Grant(allocator.Request{
		Account:  req.Account,
		Share:    req.Share,
		Limit:    allocator.Limit{Rate: req.Rate, Burst: req.Burst, Number: req.RoutingNumber},
		Count:    int(req.Count),
		Returned: int(req.Returned),
	})
	return &allocatorpb.TakeReply{
		Granting:     reply.Granting,
		Granted:      uint32(reply.Granted),
		RetryAfterUs: uint64(reply.RetryAfter / time.Microsecond),
	}, nil
}
