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

type send func(context.Context, *sender.Request) (*sender.Response, error)

func answer(status int) send {
	return func(context.Context, *sender.Request) (*sender.Response, error) {
		return &sender.Response{Status: status, Body: io.NopCloser(strings.NewReader("x"))}, nil
	}
}

func shed(context.Context, *sender.Request) (*sender.Response, error) {
	return &sender.Response{Status: http.StatusServiceUnavailable, Shed: true, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func broken(written bool) send {
	return func(context.Context, *sender.Request) (*sender.Response, error) {
		return nil, &sender.Error{Phase: sender.Waiting, Written: written, Err: errors.New("reset")}
	}
}

// stuck answers nothing until it is canceled.
func stuck(ctx context.Context, _ *sender.Request) (*sender.Response, error) {
	<-ctx.Done()
	return nil, &sender.Error{Phase: sender.Waiting, Written: true, Err: ctx.Err()}
}

// newTest returns a dispatcher before ten servers that answer in turn as script says, its last item again and again.
func newTest(script ...send) (*Dispatcher, *atomic.Int64, *[]*sender.Request) {
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
		Once: func(ctx context.Context, _ *Call, run func(context.Context) (*Answer, error)) (*Answer, error) {
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
		script  []send
		sent    int64
		status  int
		outcome Outcome
	}{
		"a shed call moves":                  {parser.Idempotent, nil, []send{shed, shed, answer(200)}, 3, 200, Ran},
		"a shed order moves":                 {parser.AtMostOnce, nil, []send{shed, answer(200)}, 2, 200, Ran},
		"an unsent order moves":              {parser.AtMostOnce, nil, []send{broken(false), answer(200)}, 2, 200, Ran},
		"a written order stays":              {parser.AtMostOnce, nil, []send{broken(true), answer(200)}, 1, 502, Unknown},
		"an order shed, then written":        {parser.AtMostOnce, nil, []send{shed, broken(true), answer(200)}, 2, 502, Unknown},
		"an order shed by all":               {parser.AtMostOnce, nil, []send{shed}, 3, 503, NotRun},
		"a lookup is retried":                {parser.Idempotent, nil, []send{broken(true), answer(200)}, 2, 200, Ran},
		"a failed answer is retried":         {parser.Idempotent, nil, []send{answer(500), answer(200)}, 2, 200, Ran},
		"a failed answer is kept":            {parser.Idempotent, nil, []send{answer(500), broken(true)}, 3, 500, Ran},
		"a failed answer to an order stands": {parser.AtMostOnce, nil, []send{answer(500), answer(200)}, 1, 500, Ran},
		"a repeat is not repeated":           {parser.Idempotent, func(c *Call) { c.Retry, c.Depth = true, 3 }, []send{broken(true), answer(200)}, 1, 502, Unknown},
		"a shed repeat moves":                {parser.Idempotent, func(c *Call) { c.Retry, c.Depth = true, 3 }, []send{shed, answer(200)}, 2, 200, Ran},
		"a caller's own resend is retried":   {parser.Idempotent, func(c *Call) { c.Retry = true }, []send{broken(true), answer(200)}, 2, 200, Ran},
		"no second attempt past the deadline": {parser.Idempotent, func(c *Call) { c.Deadline = time.Now().Add(20 * time.Millisecond) },
			[]send{stuck}, 1, 504, Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, sent, _ := newTest(tt.script...)
			c := newCall(tt.repeat)
			if tt.change != nil {
				tt.change(c)
			}
			a, err := d.Do(context.Background(), c)
			var e *Error
			status, outcome := 0, Outcome("")
			if errors.As(err, &e) {
				status, outcome = e.Status, e.Outcome
			} else if a != nil {
				status, outcome = a.Status, a.Outcome
				if text, err := io.ReadAll(a.Body); err != nil || string(text) != "x" {
					t.Errorf("body is %q, %v", text, err)
				}
				a.Body.Close()
			}
			if sent.Load() != tt.sent || status != tt.status || outcome != tt.outcome {
				t.Errorf("sent %d, status %d, %s; want %d, %d, %s", sent.Load(), status, outcome, tt.sent, tt.status, tt.outcome)
			}
			if len(c.Trace.Attempts) != int(tt.sent) {
				t.Errorf("%d attempts traced, want %d", len(c.Trace.Attempts), tt.sent)
			}
		})
	}
}

// However calls fail, extra ones stay within a tenth.
func TestExtrasUnderTotalFailure(t *testing.T) {
	for name, s := range map[string]send{"shed": shed, "reset": broken(true), "failed": answer(500)} {
		t.Run(name, func(t *testing.T) {
			const calls = 1000
			d, sent, _ := newTest(s)
			for range calls {
				if a, err := d.Do(context.Background(), newCall(parser.Idempotent)); err == nil {
					a.Body.Close()
				}
			}
			if extra := sent.Load() - calls; extra > calls/10 || extra < calls/20 {
				t.Errorf("%d extra calls for %d, want %d at most and half of it at least", extra, calls, calls/10)
			}
		})
	}
}

func TestMarks(t *testing.T) {
	for name, tt := range map[string]struct {
		retry bool
		depth int
		want  []string
	}{
		"first call":     {false, 0, []string{"1", "2"}},
		"deep call":      {false, 4, []string{"1", "2"}},
		"deep repeat":    {true, 4, []string{"2"}},
		"caller's retry": {true, 0, []string{"1", "2"}},
	} {
		t.Run(name, func(t *testing.T) {
			d, _, requests := newTest(broken(true), answer(200))
			c := newCall(parser.Idempotent)
			c.Retry, c.Depth = tt.retry, tt.depth
			if a, err := d.Do(context.Background(), c); err == nil {
				a.Body.Close()
			}
			var got []string
			for _, r := range *requests {
				got = append(got, r.Header.Get("Peridot-Attempt"))
				if depth := r.Header.Get("Peridot-Depth"); depth != string(rune('1'+tt.depth)) {
					t.Errorf("depth is %s", depth)
				}
			}
			if strings.Join(got, " ") != strings.Join(tt.want, " ") {
				t.Errorf("attempts are marked %v, want %v", got, tt.want)
			}
		})
	}
}

// What may run once goes over a connection that is known to work: a dead one would leave it neither run nor not.
func TestProvenConnections(t *testing.T) {
	for repeat, proven := range map[parser.Repeat]bool{parser.Idempotent: false, parser.AtMostOnce: true, parser.OncePerSend: true} {
		d, _, requests := newTest(answer(200))
		a, err := d.Do(context.Background(), newCall(repeat))
		if err != nil {
			t.Fatal(err)
		}
		a.Body.Close()
		if got := (*requests)[0].Proven; got != proven {
			t.Errorf("%s: asks for a proven connection is %v, want %v", repeat, got, proven)
		}
	}
}

// A sent call that may run once is left to end when its caller goes; one that may repeat is given up.
func TestCallersThatLeave(t *testing.T) {
	for repeat, ended := range map[parser.Repeat]bool{parser.Idempotent: true, parser.OncePerSend: false} {
		sent, canceled := make(chan struct{}), make(chan struct{})
		d, _, _ := newTest(func(ctx context.Context, r *sender.Request) (*sender.Response, error) {
			close(sent)
			select {
			case <-ctx.Done():
				close(canceled)
				return nil, &sender.Error{Phase: sender.Waiting, Written: true, Err: ctx.Err()}
			case <-time.After(300 * time.Millisecond):
				return answer(200)(ctx, r)
			}
		})
		ctx, leave := context.WithCancel(context.Background())
		c := newCall(repeat)
		c.Rule.Attempts = 1
		done := make(chan error, 1)
		go func() {
			a, err := d.Do(ctx, c)
			if err == nil {
				a.Body.Close()
			}
			done <- err
		}()
		<-sent
		leave()
		err := <-done
		select {
		case <-canceled:
			if !ended {
				t.Errorf("%s: the send was ended when the caller left", repeat)
			}
		default:
			if ended {
				t.Errorf("%s: the send went on after the caller had left", repeat)
			}
		}
		if (err != nil) != ended {
			t.Errorf("%s: error is %v", repeat, err)
		}
	}
}

// A hedge answers for a stuck attempt, which is canceled; an order waits.
func TestHedge(t *testing.T) {
	for repeat, hedged := range map[parser.Repeat]bool{parser.Idempotent: true, parser.AtMostOnce: false} {
		d, _, _ := newTest(answer(200))
		var canceled, stick atomic.Bool
		ordinary := d.cfg.Send
		d.cfg.Send = func(ctx context.Context, r *sender.Request) (*sender.Response, error) {
			// Attempts that have lost may still start here.
			if ctx.Err() != nil || !stick.CompareAndSwap(true, false) {
				return ordinary(ctx, r)
			}
			res, err := stuck(ctx, r)
			canceled.Store(true)
			return res, err
		}
		for range 200 {
			c := newCall(parser.Idempotent)
			c.Rule.HedgeShare = 0.05
			a, err := d.Do(context.Background(), c)
			if err != nil {
				t.Fatal(err)
			}
			a.Body.Close()
		}
		stick.Store(true)
		c := newCall(repeat)
		c.Rule.HedgeShare, c.Deadline = 0.05, time.Now().Add(300*time.Millisecond)
		a, err := d.Do(context.Background(), c)
		if got := err == nil; got != hedged {
			t.Errorf("%s: answered is %v, want %v (%v)", repeat, got, hedged, err)
		}
		if err == nil {
			a.Body.Close()
		}
		for end := time.Now().Add(5 * time.Second); !canceled.Load() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if !canceled.Load() {
			t.Errorf("%s: the stuck attempt was not canceled", repeat)
		}
	}
}

// Hedges, cancellations and failures in any order leave no ticket behind and no race on the trace.
func TestConcurrentHedges(t *testing.T) {
	d, _, _ := newTest(func(ctx context.Context, _ *sender.Request) (*sender.Response, error) {
		pause(ctx, time.Duration(rand.ExpFloat64()*float64(time.Millisecond)))
		if ctx.Err() != nil {
			return nil, &sender.Error{Written: true, Err: ctx.Err()}
		}
		return []send{shed, broken(true), broken(false), answer(500), answer(200), answer(200), answer(200)}[rand.IntN(7)](ctx, nil)
	})
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for range 200 {
				c := newCall(parser.Idempotent)
				c.Rule.HedgeShare = 0.5
				a, err := d.Do(context.Background(), c)
				c.Trace.Attempts = append(c.Trace.Attempts, tracer.Attempt{})
				if err == nil {
					_, _ = io.Copy(&bytes.Buffer{}, a.Body)
					a.Body.Close()
				}
			}
		})
	}
	wg.Wait()
	for range 60 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if _, err := d.cfg.Acquire(ctx, newCall(parser.Idempotent).limit()); err != nil {
			t.Fatalf("tickets are lost: %v", err)
		}
	}
}

func BenchmarkDo(b *testing.B) {
	d, _, _ := newTest(answer(200))
	send := answer(200)
	d.cfg.Send = send
	b.ReportAllocs()
	for b.Loop() {
		a, err := d.Do(context.Background(), newCall(parser.Idempotent))
		if err != nil {
			b.Fatal(err)
		}
		a.Body.Close()
	}
}

// A call that has no time left to meet its objective says so when it asks for a server.
func TestLateCalls(t *testing.T) {
	const objective = 300 * time.Millisecond
	tests := map[string]struct {
		objective, waited time.Duration
		late              bool
	}{
		"a first send":                             {objective, 0, false},
		"a caller that came back soon":             {objective, 100 * time.Millisecond, false},
		"a caller that came back too late":         {objective, 250 * time.Millisecond, true},
		"nothing is late where nothing was agreed": {0, 250 * time.Millisecond, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, _, _ := newTest(answer(http.StatusOK))
			var asked []picker.Request
			pick := d.cfg.Pick
			d.cfg.Pick = func(r picker.Request) (*picker.Choice, error) {
				asked = append(asked, r)
				return pick(r)
			}
			c := newCall(parser.Idempotent)
			c.Rule.Objective, c.Waited = parser.Duration(tt.objective), tt.waited
			a, err := d.Do(context.Background(), c)
			if err != nil {
				t.Fatal(err)
			}
			_ = a.Body.Close()
			if len(asked) != 1 || asked[0].Late != tt.late {
				t.Errorf("asked %+v, want late %t", asked, tt.late)
			}
			if want := tt.objective > 0 && !tt.late; asked[0].FastOnly != want {
				t.Errorf("asked %+v, want fast only %t", asked, want)
			}
		})
	}
}

// Load pattern: all servers are full. A call that can meet its objective looks again, one that can't is refused at once.
func TestLooksAtFullServers(t *testing.T) {
	const objective = 90 * time.Millisecond
	tests := map[string]struct {
		waited time.Duration
		looks  int
	}{
		"a first send":              {0, 1 + maxWaits},
		"a caller that is too late": {objective, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, sent, _ := newTest(answer(http.StatusOK))
			var asked []picker.Request
			d.cfg.Pick = func(r picker.Request) (*picker.Choice, error) {
				asked = append(asked, r)
				return nil, picker.ErrFull
			}
			c := newCall(parser.Idempotent)
			c.Rule.Objective, c.Waited = parser.Duration(objective), tt.waited
			_, err := d.Do(context.Background(), c)
			var e *Error
			if !errors.As(err, &e) || e.Outcome != NotRun || e.Status != http.StatusServiceUnavailable || sent.Load() != 0 {
				t.Fatalf("error %v after %d sends, want a refusal", err, sent.Load())
			}
			if len(asked) != tt.looks {
				t.Errorf("%d looks, want %d", len(asked), tt.looks)
			}
			if last := asked[len(asked)-1]; last.FastOnly {
				t.Error("the last look turns down slow servers")
			}
		})
	}
}
