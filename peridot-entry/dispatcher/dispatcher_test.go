package dispatcher

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/limiter"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
	"peridotswitch.example/peridot-entry/tracer"
)

type sendFunc func(context.Context, *sender.Request) (*sender.Response, error)

func respond(status int) sendFunc {
	return func(context.Context, *sender.Request) (*sender.Response, error) {
		return &sender.Response{Status: status, Body: io.NopCloser(strings.NewReader("x"))}, nil
	}
}

func respondShed(context.Context, *sender.Request) (*sender.Response, error) {
	return &sender.Response{Status: http.StatusServiceUnavailable, Shed: true, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// respondMisdirected returns a function that responds as another server at the address; proven is whether that proves that the call was not run.
func respondMisdirected(proven bool) sendFunc {
	return func(context.Context, *sender.Request) (*sender.Response, error) {
		return &sender.Response{Status: http.StatusMisdirectedRequest, WrongServer: true, Shed: proven, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
}

func failSend(written bool) sendFunc {
	return func(context.Context, *sender.Request) (*sender.Response, error) {
		return nil, &sender.Error{Phase: sender.Waiting, Written: written, Err: errors.New("reset")}
	}
}

// blockUntilCanceled blocks until ctx ends.
func blockUntilCanceled(ctx context.Context, _ *sender.Request) (*sender.Response, error) {
	<-ctx.Done()
	return nil, &sender.Error{Phase: sender.Waiting, Written: true, Err: ctx.Err()}
}

// newTestDispatcher returns a dispatcher with ten servers. Send n is handled by item n of script, those after its end by the last item.
func newTestDispatcher(script ...sendFunc) (*Dispatcher, *atomic.Int64, *[]*sender.Request) {
	var sent atomic.Int64
	var mu sync.Mutex
	var requests []*sender.Request
	servers := make([]registrar.Server, 10)
	for i := range servers {
		servers[i] = registrar.Server{Service: "s", InstanceID: string(rune('a' + i)), Slots: 6, Connections: 250, State: registrar.Ready}
	}
	limits := limiter.New(limiter.Config{Capacity: func(string) limiter.Capacity { return limiter.Capacity{Slots: 60, Entries: 1} }})
	d := New(Config{
		Acquire:    limits.Acquire,
		TryAcquire: limits.TryAcquire,
		Pick:       picker.New(picker.Config{Servers: func(string) []registrar.Server { return servers }}).Pick,
		Send: func(ctx context.Context, req *sender.Request) (*sender.Response, error) {
			n := int(sent.Add(1)) - 1
			mu.Lock()
			requests = append(requests, req)
			mu.Unlock()
			return script[min(n, len(script)-1)](ctx, req)
		},
		RunAtMostOnce: func(ctx context.Context, _ *Call, run func(context.Context) (*Response, error)) (*Response, error) {
			return run(ctx)
		},
	})
	return d, &sent, &requests
}

func newCall(repeat parser.Repeat) *Call {
	return &Call{
		Service: "s", Method: http.MethodGet, Path: "/",
		Rule:     parser.Rule{Repeat: repeat, Priority: parser.Interactive, Attempts: 3, RetryShare: 0.1},
		Deadline: time.Now().Add(10 * time.Second),
		Trace:    &tracer.Trace{Begin: time.Now()},
	}
}

func TestAttempts(t *testing.T) {
	tests := map[string]struct {
		repeat  parser.Repeat
		change  func(*Call)
		script  []sendFunc
		sent    int64
		status  int
		outcome Outcome
	}{
		"a shed call is retried":                                   {parser.Idempotent, nil, []sendFunc{respondShed, respondShed, respond(200)}, 3, 200, Ran},
		"a shed at-most-once call is retried":                      {parser.AtMostOnce, nil, []sendFunc{respondShed, respond(200)}, 2, 200, Ran},
		"an at-most-once call that was not written is retried":     {parser.AtMostOnce, nil, []sendFunc{failSend(false), respond(200)}, 2, 200, Ran},
		"an at-most-once call that was written is not retried":     {parser.AtMostOnce, nil, []sendFunc{failSend(true), respond(200)}, 1, 502, Unknown},
		"an at-most-once call shed, then written":                  {parser.AtMostOnce, nil, []sendFunc{respondShed, failSend(true), respond(200)}, 2, 502, Unknown},
		"an at-most-once call shed by all servers":                 {parser.AtMostOnce, nil, []sendFunc{respondShed}, 3, 503, NotRun},
		"an at-most-once call to another server is retried":        {parser.AtMostOnce, nil, []sendFunc{respondMisdirected(true), respond(200)}, 2, 200, Ran},
		"an at-most-once call, perhaps to another server":          {parser.AtMostOnce, nil, []sendFunc{respondMisdirected(false), respond(200)}, 1, 502, Unknown},
		"a once-per-send call, perhaps to another server":          {parser.OncePerSend, nil, []sendFunc{respondMisdirected(false), respond(200)}, 1, 502, Unknown},
		"an at-most-once call shed, then to another server":        {parser.AtMostOnce, nil, []sendFunc{respondShed, respondMisdirected(false), respond(200)}, 2, 502, Unknown},
		"an idempotent call, perhaps to another server":            {parser.Idempotent, nil, []sendFunc{respondMisdirected(false), respond(200)}, 2, 200, Ran},
		"an idempotent call, perhaps always to another server":     {parser.Idempotent, nil, []sendFunc{respondMisdirected(false)}, 3, 502, Unknown},
		"an idempotent call that was written is retried":           {parser.Idempotent, nil, []sendFunc{failSend(true), respond(200)}, 2, 200, Ran},
		"a server error is retried":                                {parser.Idempotent, nil, []sendFunc{respond(500), respond(200)}, 2, 200, Ran},
		"a server error is returned when the retries fail":         {parser.Idempotent, nil, []sendFunc{respond(500), failSend(true)}, 3, 500, Ran},
		"a server error to an at-most-once call is not retried":    {parser.AtMostOnce, nil, []sendFunc{respond(500), respond(200)}, 1, 500, Ran},
		"a retry by an earlier entry is not retried after a write": {parser.Idempotent, func(c *Call) { c.Retry, c.Depth = true, 3 }, []sendFunc{failSend(true), respond(200)}, 1, 502, Unknown},
		"a shed retry by an earlier entry is retried":              {parser.Idempotent, func(c *Call) { c.Retry, c.Depth = true, 3 }, []sendFunc{respondShed, respond(200)}, 2, 200, Ran},
		"a retry by the caller is retried":                         {parser.Idempotent, func(c *Call) { c.Retry = true }, []sendFunc{failSend(true), respond(200)}, 2, 200, Ran},
		"no second attempt past the deadline": {parser.Idempotent, func(c *Call) { c.Deadline = time.Now().Add(20 * time.Millisecond) },
			[]sendFunc{blockUntilCanceled}, 1, 504, Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, sent, _ := newTestDispatcher(tt.script...)
			c := newCall(tt.repeat)
			if tt.change != nil {
				tt.change(c)
			}
			res, err := d.Do(context.Background(), c)
			var e *Error
			status, outcome := 0, Outcome("")
			if errors.As(err, &e) {
				status, outcome = e.Status, e.Outcome
			} else if res != nil {
				status, outcome = res.Status, res.Outcome
				if text, err := io.ReadAll(res.Body); err != nil || string(text) != "x" {
					t.Errorf("body is %q with error %v, want \"x\"", text, err)
				}
				res.Body.Close()
			}
			if sent.Load() != tt.sent || status != tt.status || outcome != tt.outcome {
				t.Errorf("%d sends, status %d, outcome %q; want %d, %d, %q", sent.Load(), status, outcome, tt.sent, tt.status, tt.outcome)
			}
			if len(c.Trace.Attempts) != int(tt.sent) {
				t.Errorf("the trace has %d attempts, want %d", len(c.Trace.Attempts), tt.sent)
			}
		})
	}
}

// Retries stay within the retry share of a tenth when every call fails, whichever way.
func TestRetryBudgetUnderTotalFailure(t *testing.T) {
	for name, s := range map[string]sendFunc{"shed": respondShed, "reset": failSend(true), "failed": respond(500)} {
		t.Run(name, func(t *testing.T) {
			const calls = 1000
			d, sent, _ := newTestDispatcher(s)
			for range calls {
				if res, err := d.Do(context.Background(), newCall(parser.Idempotent)); err == nil {
					res.Body.Close()
				}
			}
			if retries := sent.Load() - calls; retries > calls/10 || retries < calls/20 {
				t.Errorf("%d retries for %d calls, want at most %d and at least half of that", retries, calls, calls/10)
			}
		})
	}
}

// An entry that shares a budget with others must not get tokens by a restart.
func TestSharedRetryBudgetStartsEmpty(t *testing.T) {
	const calls, burst = 100, 4
	d, sent, _ := newTestDispatcher(respondShed)
	cfg := d.cfg
	cfg.BudgetBurst = func() float64 { return burst }
	for range calls / 10 {
		// A new process for each ten calls.
		d = New(cfg)
		for range 10 {
			_, _ = d.Do(context.Background(), newCall(parser.OncePerSend))
		}
	}
	if retries := sent.Load() - calls; retries > calls/10 {
		t.Errorf("%d retries for %d calls of an entry that restarts, want at most %d", retries, calls, calls/10)
	}
}

func TestAttemptHeaders(t *testing.T) {
	for name, tt := range map[string]struct {
		retry bool
		depth int
		want  []string
	}{
		"first call":                 {false, 0, []string{"1", "2"}},
		"call through other entries": {false, 4, []string{"1", "2"}},
		"retry by an earlier entry":  {true, 4, []string{"2"}},
		"retry by the caller":        {true, 0, []string{"1", "2"}},
	} {
		t.Run(name, func(t *testing.T) {
			d, _, requests := newTestDispatcher(failSend(true), respond(200))
			c := newCall(parser.Idempotent)
			c.Retry, c.Depth = tt.retry, tt.depth
			if res, err := d.Do(context.Background(), c); err == nil {
				res.Body.Close()
			}
			var got []string
			for _, r := range *requests {
				got = append(got, r.Header.Get("Peridot-Attempt"))
				if depth := r.Header.Get("Peridot-Depth"); depth != string(rune('1'+tt.depth)) {
					t.Errorf("Peridot-Depth is %s, want %d", depth, tt.depth+1)
				}
			}
			if strings.Join(got, " ") != strings.Join(tt.want, " ") {
				t.Errorf("Peridot-Attempt is %v, want %v", got, tt.want)
			}
		})
	}
}

// A call that must not run twice uses a fresh connection: on a dead one it would be unknown whether it ran.
func TestFreshConnections(t *testing.T) {
	for repeat, fresh := range map[parser.Repeat]bool{parser.Idempotent: false, parser.AtMostOnce: true, parser.OncePerSend: true} {
		d, _, requests := newTestDispatcher(respond(200))
		res, err := d.Do(context.Background(), newCall(repeat))
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if got := (*requests)[0].FreshConnection; got != fresh {
			t.Errorf("%s: FreshConnection is %v, want %v", repeat, got, fresh)
		}
	}
}

// When the caller leaves, an idempotent call is canceled, but a once-per-send call that was sent runs to its end.
func TestCallerLeaves(t *testing.T) {
	for repeat, ended := range map[parser.Repeat]bool{parser.Idempotent: true, parser.OncePerSend: false} {
		sent, canceled := make(chan struct{}), make(chan struct{})
		d, _, _ := newTestDispatcher(func(ctx context.Context, r *sender.Request) (*sender.Response, error) {
			close(sent)
			select {
			case <-ctx.Done():
				close(canceled)
				return nil, &sender.Error{Phase: sender.Waiting, Written: true, Err: ctx.Err()}
			case <-time.After(300 * time.Millisecond):
				return respond(200)(ctx, r)
			}
		})
		ctx, leave := context.WithCancel(context.Background())
		c := newCall(repeat)
		c.Rule.Attempts = 1
		done := make(chan error, 1)
		go func() {
			res, err := d.Do(ctx, c)
			if err == nil {
				res.Body.Close()
			}
			done <- err
		}()
		<-sent
		leave()
		err := <-done
		select {
		case <-canceled:
			if !ended {
				t.Errorf("%s: the send was canceled when the caller left", repeat)
			}
		default:
			if ended {
				t.Errorf("%s: the send was not canceled when the caller left", repeat)
			}
		}
		if (err != nil) != ended {
			t.Errorf("%s: error is %v, want an error: %v", repeat, err, ended)
		}
	}
}

// A hedge responds in place of an attempt that blocks, which is then canceled. An at-most-once call is not hedged and times out.
func TestHedge(t *testing.T) {
	for repeat, hedged := range map[parser.Repeat]bool{parser.Idempotent: true, parser.AtMostOnce: false} {
		d, _, _ := newTestDispatcher(respond(200))
		var canceled, block atomic.Bool
		next := d.cfg.Send
		d.cfg.Send = func(ctx context.Context, r *sender.Request) (*sender.Response, error) {
			// Canceled attempts may still get here; they must not take the blocking send.
			if ctx.Err() != nil || !block.CompareAndSwap(true, false) {
				return next(ctx, r)
			}
			res, err := blockUntilCanceled(ctx, r)
			canceled.Store(true)
			return res, err
		}
		for range 200 {
			c := newCall(parser.Idempotent)
			c.Rule.HedgeShare = 0.05
			res, err := d.Do(context.Background(), c)
			if err != nil {
				t.Fatal(err)
			}
			res.Body.Close()
		}
		block.Store(true)
		c := newCall(repeat)
		c.Rule.HedgeShare, c.Deadline = 0.05, time.Now().Add(300*time.Millisecond)
		res, err := d.Do(context.Background(), c)
		if got := err == nil; got != hedged {
			t.Errorf("%s: got a response: %v, want %v (error %v)", repeat, got, hedged, err)
		}
		if err == nil {
			res.Body.Close()
		}
		for end := time.Now().Add(5 * time.Second); !canceled.Load() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if !canceled.Load() {
			t.Errorf("%s: the blocked attempt was not canceled", repeat)
		}
	}
}

// Hedges, cancellations and failures in any order leak no permit and don't race on the trace.
func TestConcurrentHedges(t *testing.T) {
	d, _, _ := newTestDispatcher(func(ctx context.Context, _ *sender.Request) (*sender.Response, error) {
		sleep(ctx, time.Duration(rand.ExpFloat64()*float64(time.Millisecond)))
		if ctx.Err() != nil {
			return nil, &sender.Error{Written: true, Err: ctx.Err()}
		}
		return []sendFunc{respondShed, failSend(true), failSend(false), respond(500), respond(200), respond(200), respond(200)}[rand.IntN(7)](ctx, nil)
	})
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for range 200 {
				c := newCall(parser.Idempotent)
				c.Rule.HedgeShare = 0.5
				res, err := d.Do(context.Background(), c)
				c.Trace.Attempts = append(c.Trace.Attempts, tracer.Attempt{})
				if err == nil {
					_, _ = io.Copy(&bytes.Buffer{}, res.Body)
					res.Body.Close()
				}
			}
		})
	}
	wg.Wait()
	for range 60 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if _, err := d.cfg.Acquire(ctx, newCall(parser.Idempotent).limiterRequest()); err != nil {
			t.Fatalf("permits leaked: %v", err)
		}
	}
}

func BenchmarkDo(b *testing.B) {
	d, _, _ := newTestDispatcher(respond(200))
	send := respond(200)
	d.cfg.Send = send
	b.ReportAllocs()
	for b.Loop() {
		res, err := d.Do(context.Background(), newCall(parser.Idempotent))
		if err != nil {
			b.Fatal(err)
		}
		res.Body.Close()
	}
}

// A stopping entry must not begin an attempt that its stop would cut off, in particular no call that may run only once.
func TestCallThatWouldOutlastTheStopIsRefused(t *testing.T) {
	const latency = 30 * time.Millisecond
	slow := func(ctx context.Context, r *sender.Request) (*sender.Response, error) {
		time.Sleep(latency)
		return respond(200)(ctx, r)
	}
	tests := map[string]struct {
		// left is the time until the stop; 0 for an entry that doesn't stop.
		left time.Duration
		// warm is set if the service has been called before. objective and deadline are those of the call.
		warm                bool
		objective, deadline time.Duration
		wantSent            bool
	}{
		"no stop":                              {0, true, time.Minute, time.Minute, true},
		"enough time":                          {time.Second, true, time.Minute, time.Minute, true},
		"too little time":                      {latency / 2, true, time.Minute, time.Minute, false},
		"the stop has come":                    {-time.Millisecond, true, time.Minute, time.Minute, false},
		"an unknown service, enough time":      {time.Minute, false, time.Second, time.Minute, true},
		"an unknown service, too little time":  {time.Second, false, time.Minute, time.Hour, false},
		"the caller's deadline is before that": {time.Second, false, time.Minute, 500 * time.Millisecond, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, sent, _ := newTestDispatcher(slow)
			if tt.warm {
				if _, err := d.Do(context.Background(), newCall(parser.OncePerSend)); err != nil {
					t.Fatal(err)
				}
				sent.Store(0)
			}
			if tt.left != 0 {
				at := time.Now().Add(tt.left)
				d.cfg.StopAt = func() time.Time { return at }
			}
			c := newCall(parser.OncePerSend)
			c.Rule.Objective, c.Deadline = parser.Duration(tt.objective), time.Now().Add(tt.deadline)
			_, err := d.Do(context.Background(), c)
			if (err == nil) != tt.wantSent || (sent.Load() > 0) != tt.wantSent {
				t.Fatalf("error %v after %d attempts, want an attempt: %v", err, sent.Load(), tt.wantSent)
			}
			var e *Error
			if err != nil && (!errors.As(err, &e) || e.Outcome != NotRun || e.Status != http.StatusServiceUnavailable || c.Trace.Cause != "stopping") {
				t.Errorf("error is %+v with cause %q, want a refusal", err, c.Trace.Cause)
			}
		})
	}
}

func TestPeak(t *testing.T) {
	p := &peak{}
	for _, ms := range []int{100, 900, 100} {
		p.observe(time.Duration(ms) * time.Millisecond)
	}
	if got, want := p.value(), 860*time.Millisecond; got != want {
		t.Errorf("after a slow response and one more, the peak is %v, want %v", got, want)
	}
	for range 100 {
		p.observe(100 * time.Millisecond)
	}
	if got := p.value(); got > 110*time.Millisecond {
		t.Errorf("long after a slow response, the peak is %v", got)
	}
}
