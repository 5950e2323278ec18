package limiter

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/parser"
)

func newTestLimiter(slots, entries int) *Limiter {
	return New(Config{Capacity: func(string) Capacity { return Capacity{Slots: slots, Entries: entries} }})
}

func request(p parser.Priority) Request {
	return Request{Service: "s", Priority: p, Deadline: time.Now().Add(10 * time.Second)}
}

func acquire(t *testing.T, l *Limiter, p parser.Priority, n int) (permits []*Permit) {
	t.Helper()
	for range n {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		permit, err := l.Acquire(ctx, request(p))
		if err != nil {
			t.Fatal(err)
		}
		permits = append(permits, permit)
	}
	return permits
}

// enqueue starts a call that has to wait, and returns once it is queued. Its name is sent to got when it gets its permit.
func enqueue(t *testing.T, l *Limiter, p parser.Priority, name string, got chan<- string) {
	t.Helper()
	s := l.forService("s")
	waiting := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.interactive) + len(s.deferrable)
	}
	before := waiting()
	go func() {
		if permit, err := l.Acquire(context.Background(), request(p)); err == nil {
			got <- name
			permit.Release()
		}
	}()
	for end := time.Now().Add(5 * time.Second); waiting() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("call %s is not queued", name)
		}
	}
}

func TestOrderOfService(t *testing.T) {
	tests := map[string]struct {
		standing bool
		want     []string
	}{
		"a short queue serves the oldest first":    {false, []string{"first", "second", "deferrable"}},
		"a standing queue serves the newest first": {true, []string{"second", "first", "deferrable"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := newTestLimiter(1, 1)
			permits := acquire(t, l, parser.Interactive, 1)
			got := make(chan string, 3)
			enqueue(t, l, parser.Deferrable, "deferrable", got)
			enqueue(t, l, parser.Interactive, "first", got)
			enqueue(t, l, parser.Interactive, "second", got)
			s := l.forService("s")
			s.mu.Lock()
			if tt.standing {
				s.queuedSince = time.Now().Add(-time.Hour)
				s.latency = float64(time.Minute)
			} else {
				s.queuedSince = time.Now().Add(time.Hour)
			}
			s.mu.Unlock()
			permits[0].Release()
			for i, want := range tt.want {
				if name := <-got; name != want {
					t.Errorf("call %d to start is %s, want %s", i, name, want)
				}
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	wantShed := func(t *testing.T, l *Limiter, r Request) {
		t.Helper()
		_, err := l.Acquire(context.Background(), r)
		var e *ShedError
		if !errors.As(err, &e) || e.RetryAfter <= 0 {
			t.Errorf("error is %v, want a ShedError with RetryAfter", err)
		}
	}
	t.Run("a call that can't finish before its deadline is refused at once", func(t *testing.T) {
		l := newTestLimiter(1, 1)
		permit := acquire(t, l, parser.Interactive, 1)[0]
		permit.Report(Feedback{Latency: time.Minute})
		permit.Release()
		acquire(t, l, parser.Interactive, 1)
		wantShed(t, l, request(parser.Interactive))
	})
	t.Run("a full queue refuses deferrable calls and sheds the oldest interactive one", func(t *testing.T) {
		l := newTestLimiter(1, 1)
		acquire(t, l, parser.Interactive, 1)
		got := make(chan string, 1)
		for range minQueueLength {
			enqueue(t, l, parser.Deferrable, "deferrable", got)
		}
		wantShed(t, l, request(parser.Deferrable))
		failed := make(chan error, 1)
		go func() {
			_, err := l.Acquire(context.Background(), request(parser.Interactive))
			failed <- err
		}()
		for len(failed) == 0 {
			go func() { _, _ = l.Acquire(context.Background(), request(parser.Interactive)) }()
			time.Sleep(time.Millisecond)
		}
		var e *ShedError
		if err := <-failed; !errors.As(err, &e) {
			t.Errorf("error is %v, want a ShedError", err)
		}
	})
	t.Run("a standing queue sheds calls after a short wait", func(t *testing.T) {
		l := newTestLimiter(1, 1)
		acquire(t, l, parser.Interactive, 1)
		enqueue(t, l, parser.Interactive, "first", make(chan string, 1))
		s := l.forService("s")
		s.mu.Lock()
		s.queuedSince = time.Now().Add(-time.Hour)
		s.mu.Unlock()
		wantShed(t, l, request(parser.Interactive))
	})
}

// Deferrable calls never take the slots reserved for interactive calls, and interactive calls start at once however many deferrable
// ones are in flight.
func TestReserve(t *testing.T) {
	l := newTestLimiter(10, 1)
	permits := acquire(t, l, parser.Deferrable, 6)
	if _, ok := l.TryAcquire(request(parser.Deferrable)); ok {
		t.Error("a deferrable call took a slot reserved for interactive calls")
	}
	acquire(t, l, parser.Interactive, 10)
	for _, permit := range permits {
		permit.Release()
	}
	if _, ok := l.TryAcquire(request(parser.Deferrable)); ok {
		t.Error("a deferrable call started although interactive ones use all slots")
	}
}

func TestLimitFollowsCongestion(t *testing.T) {
	busy := map[string]Feedback{
		"shed by two":      {ShedCount: 2, Latency: time.Millisecond},
		"all servers full": {ServersFull: true},
		"reported load":    {InFlight: 12, Slots: 6, Latency: time.Millisecond},
	}
	for name, f := range busy {
		t.Run(name, func(t *testing.T) {
			l := newTestLimiter(60, 16)
			report := func(f Feedback, n int) {
				for range n {
					permits := acquire(t, l, parser.Interactive, int(math.Ceil(l.forService("s").currentLimit(l))))
					permits[0].Report(f)
					for _, permit := range permits {
						permit.Release()
					}
				}
			}
			report(f, 300)
			if got := l.forService("s").currentLimit(l); got > 5 || got < 3 {
				t.Errorf("under congestion the limit is %.1f, want this entry's share of 3.75", got)
			}
			report(Feedback{Latency: time.Millisecond, InFlight: 3, Slots: 6}, 3000)
			if got := l.forService("s").currentLimit(l); got < 20 {
				t.Errorf("without congestion the limit is %.1f, want 20 or more", got)
			}
		})
	}
}

// currentLimit sets the current capacity and returns the limit.
func (s *serviceLimiter) currentLimit(l *Limiter) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setCapacity(l.cfg.Capacity("s"))
	return s.limit
}

// Servers without free slots slow deferrable calls down but never stop them.
func TestDeferrableCallsNeverStop(t *testing.T) {
	l := newTestLimiter(6, 1)
	for i := range 60 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		permit, err := l.Acquire(ctx, request(parser.Deferrable))
		cancel()
		if err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
		permit.Report(Feedback{InFlight: 6, Slots: 6, Latency: time.Millisecond})
		permit.Release()
	}
	if s := l.forService("s"); s.deferrableLimit >= 1 {
		t.Errorf("the limit of deferrable calls is %.2f, want less than 1", s.deferrableLimit)
	}
}

// In any interleaving of concurrent calls the limits hold and no permit leaks.
func TestConcurrentPermits(t *testing.T) {
	l := newTestLimiter(20, 4)
	s := l.forService("s")
	var wg sync.WaitGroup
	for seed := range uint64(16) {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 3))
			for range 400 {
				p := []parser.Priority{parser.Interactive, parser.Deferrable}[rng.IntN(2)]
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(3000))*time.Microsecond)
				permit, err := l.Acquire(ctx, request(p))
				if err == nil {
					s.mu.Lock()
					if n := s.interactiveInFlight + s.deferrableInFlight; n > 2*20 {
						t.Errorf("%d calls in flight, want at most %d", n, 2*20)
					}
					s.mu.Unlock()
					time.Sleep(time.Duration(rng.IntN(300)) * time.Microsecond)
					permit.Report(Feedback{ShedCount: rng.IntN(3), Latency: time.Millisecond, InFlight: rng.IntN(9), Slots: 6})
					permit.Release()
				}
				cancel()
			}
		})
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interactiveInFlight != 0 || s.deferrableInFlight != 0 || len(s.interactive)+len(s.deferrable) != 0 {
		t.Errorf("at the end %d interactive and %d deferrable calls are in flight, %d and %d queued; want none", s.interactiveInFlight, s.deferrableInFlight, len(s.interactive), len(s.deferrable))
	}
}

func TestConnectionCap(t *testing.T) {
	for name, tt := range map[string]struct{ connections, entries, want int }{
		"15 entries":                     {250, 15, 13},
		"14 entries":                     {200, 14, 11},
		"fewer connections than entries": {2, 16, 1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := ConnectionCap(tt.connections, tt.entries); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}
