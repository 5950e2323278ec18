package dispatcher

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/limiter"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/quarantiner"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
	"peridotswitch.example/peridot-entry/spreaderpb"
)

// fate is what becomes of an attempt.
type fate int

const (
	// ran is answered by the server that runs it.
	ran fate = iota
	// brokenOff is run; its response breaks off after the head.
	brokenOff
	// refused is answered with a proof that it wasn't and won't be run.
	refused
	// brokenRefusal is a refusal that breaks off after the head.
	brokenRefusal
	// lost is written and fails. A server may run it, also later.
	lost
	// silent is written and has no response.
	silent
	// unwritten fails before any byte of it is written.
	unwritten
	// unreached waits for a connection until its context ends.
	unreached
	// evacuated and contained are refused by the entry.
	evacuated
	contained
	fates
)

// plan is what a test draws for an attempt beforehand.
type plan struct {
	fate   fate
	status int
	// connect is how long it takes until the request is written, run how long after that a server begins to run it, and respond how long after
	// the write it is answered or fails.
	connect, run, respond time.Duration
	// runs is whether a lost or silent attempt is run.
	runs bool
	// linger is how long it goes on after its context has ended.
	linger time.Duration
	// large is whether the response is longer than what is read ahead, plain whether errors are of no type that tells what was written.
	large, plain bool
}

// attemptRecord is what a test knows of an attempt.
type attemptRecord struct {
	plan     plan
	server   registrar.Key
	returned bool
	// proven is whether its result proves that it wasn't run. A harmless one isn't run, proven or not.
	proven, harmless bool
	runs             int
}

// schedule is one call, with servers and events that are drawn from a seed.
type schedule struct {
	t      *testing.T
	rand   *rand.Rand
	d      *Dispatcher
	call   *Call
	limits *limiter.Limiter
	picker *picker.Picker
	plans  []plan
	// stopAt is the value of Config.StopAt, stopped when Stop was called; nil before.
	stopAt, stopped atomic.Pointer[time.Time]
	// quarantiner sends the attempts if it isn't nil; then the call may wait at it as a suspect.
	quarantiner   *quarantiner.Quarantiner
	revoked, left atomic.Bool
	// trouble is the share of permits, probes and picks that are slow or fail.
	trouble float64

	mu       sync.Mutex
	attempts []*attemptRecord
	ended    bool
}

const (
	scheduleSlots = 60
	// maxLinger bounds plan.linger, and maxProbe how long a probe takes.
	maxLinger = 200 * time.Millisecond
	maxProbe  = 50 * time.Millisecond
)

// Guards against a caller that is told that its call was not run although a server has run it or will, against a second run of a call that may
// run only once, and against permits and choices that are lost or given back twice: whatever servers and entry do, and whenever the caller
// leaves, the deadline comes, the entry stops or the key is withdrawn.
func TestOutcomeHoldsInAnySchedule(t *testing.T) {
	first, schedules := uint64(1), uint64(4000)
	if s := os.Getenv("SEED"); s != "" {
		var err error
		if first, err = strconv.ParseUint(s, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	if s := os.Getenv("SCHEDULES"); s != "" {
		var err error
		if schedules, err = strconv.ParseUint(s, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	for _, repeat := range []parser.Repeat{parser.Idempotent, parser.OncePerSend, parser.AtMostOnce} {
		t.Run(string(repeat), func(t *testing.T) {
			t.Parallel()
			outcomes := make(map[string]int)
			for seed := first; seed < first+schedules; seed++ {
				synctest.Test(t, func(t *testing.T) { outcomes[newSchedule(t, seed, repeat).run(seed)]++ })
			}
			t.Logf("outcomes and attempts: %v", outcomes)
		})
	}
}

func newSchedule(t *testing.T, seed uint64, repeat parser.Repeat) *schedule {
	s := &schedule{t: t, rand: rand.New(rand.NewPCG(seed, 0))}
	servers := make([]registrar.Server, 2+s.rand.IntN(4))
	for i := range servers {
		servers[i] = registrar.Server{Service: "s", InstanceID: string(rune('a' + i)), Slots: 6, Connections: 250, State: registrar.Ready}
	}
	s.limits = limiter.New(limiter.Config{Capacity: func(string) limiter.Capacity { return limiter.Capacity{Slots: scheduleSlots, Entries: 1} }})
	s.picker = picker.New(picker.Config{Servers: func(string) []registrar.Server { return servers }})
	s.d = New(Config{
		Acquire: s.acquire, TryAcquire: s.tryAcquire, Probe: s.probe, Pick: s.pick, Send: s.send, ReplaceLost: s.chance(0.5),
		StopAt: func() time.Time {
			if at := s.stopAt.Load(); at != nil {
				return *at
			}
			return time.Time{}
		},
		RunAtMostOnce: func(ctx context.Context, c *Call, run func(context.Context) (*Response, error)) (*Response, error) {
			// A claimed call goes on without its caller. Its context ends with the test at the latest, as that of the orderer does.
			ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
			t.Cleanup(cancel)
			return run(ctx)
		},
	})
	s.trouble = []float64{0, 0.05, 0.3}[s.rand.IntN(3)]
	s.drawCall(repeat)
	s.drawPlans()
	if s.chance(0.3) {
		s.addQuarantiner(servers)
	}
	return s
}

// crasher is the account of another request that was in flight when the server crashed.
const crasher = "crasher"

// addQuarantiner sends the attempts through a quarantiner, at which the call is often a suspect: then it waits for other suspects of the same
// crash, one of which holds a server, before it is sent.
func (s *schedule) addQuarantiner(servers []registrar.Server) {
	crashes := s.chance(0.3)
	q := quarantiner.New(quarantiner.Config{
		Now: time.Now, Send: s.send, Isolate: true, MaxCheck: s.between(1, 30*time.Millisecond),
		ConnectionRefused: func(string) bool {
			time.Sleep(10 * time.Millisecond)
			return crashes
		},
		Find:     func(registrar.Key) (registrar.Server, bool) { return registrar.Server{}, true },
		Share:    func([]string) { time.Sleep(10 * time.Millisecond) },
		OnChange: func(quarantiner.ContainedRequest, bool) {},
	})
	s.quarantiner, s.d.cfg.Send = q, q.Send
	if s.chance(0.5) {
		return
	}
	other := s.d.newRequest(&Call{Service: "s", Method: http.MethodGet, Path: "/", Account: crasher}, 1, &servers[0])
	for _, fingerprint := range []string{quarantiner.Fingerprint(s.d.newRequest(s.call, 1, &servers[0])), quarantiner.Fingerprint(other), "0"} {
		q.MergeCase(&spreaderpb.Case{Fingerprint: fingerprint, Service: "s", Crashes: []*spreaderpb.Crash{{InstanceId: "crashed"}}})
	}
	go func() { _, _ = q.Send(context.Background(), other) }()
}

func (s *schedule) chance(p float64) bool { return s.rand.Float64() < p }

// between draws a duration in nanoseconds, so that no two events coincide.
func (s *schedule) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rand.Int64N(int64(most-least)))
}

func (s *schedule) drawCall(repeat parser.Repeat) {
	s.call = newCall(repeat)
	s.call.Deadline = time.Now().Add(s.between(time.Millisecond, time.Second))
	s.call.IsRevoked = s.revoked.Load
	r := &s.call.Rule
	r.Attempts, r.RetryShare = 1+s.rand.IntN(4), 1
	if s.chance(0.2) {
		r.Priority = parser.Deferrable
	}
	if s.chance(0.6) {
		r.Objective = parser.Duration(s.between(10*time.Millisecond, 500*time.Millisecond))
	}
	if s.chance(0.5) {
		r.HedgeShare = 1
	}
	if s.chance(0.1) {
		s.call.Retry, s.call.Depth = true, 1
	}
	service := s.d.service("s")
	for range s.rand.IntN(12) {
		service.budget.deposit(1, 1, defaultBurst)
	}
	if s.chance(0.7) {
		// Latencies from which the delay of a hedge is estimated.
		latency := s.between(time.Millisecond, 300*time.Millisecond)
		for range minSamples {
			service.latency.observe(latency)
		}
	}
}

// drawPlans draws more plans than a call has attempts. In some schedules few attempts are answered, in others most.
func (s *schedule) drawPlans() {
	answered := s.rand.Float64()
	slowest := []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, time.Second}[s.rand.IntN(3)]
	for range resultsCapacity {
		p := plan{
			fate: fate(s.rand.IntN(int(fates))), status: []int{http.StatusOK, http.StatusInternalServerError, http.StatusServiceUnavailable}[s.rand.IntN(3)],
			connect: s.between(0, slowest/4), run: s.between(0, slowest), runs: s.chance(0.5), large: s.chance(0.05), plain: s.chance(0.2),
		}
		if s.chance(answered / 2) {
			p.fate = ran
		}
		p.respond = s.between(0, slowest)
		if p.fate == ran || p.fate == brokenOff {
			p.respond += p.run
		}
		if s.chance(0.3) {
			p.linger = s.between(0, maxLinger)
		}
		s.plans = append(s.plans, p)
	}
}

func (s *schedule) acquire(ctx context.Context, r limiter.Request) (*limiter.Permit, error) {
	if s.chance(s.trouble) {
		return nil, &limiter.ShedError{Reason: "test", RetryAfter: time.Second}
	}
	if s.chance(s.trouble) && sleep(ctx, s.between(0, 300*time.Millisecond)) != nil {
		return nil, ctx.Err()
	}
	// The limit of interactive calls is constant here, so that what is free tells whether all permits have come back.
	r.Priority = parser.Interactive
	return s.limits.Acquire(ctx, r)
}

func (s *schedule) tryAcquire(r limiter.Request) (*limiter.Permit, bool) {
	if s.chance(s.trouble) {
		return nil, false
	}
	r.Priority = parser.Interactive
	return s.limits.TryAcquire(r)
}

func (s *schedule) probe(_ context.Context, _ picker.Request) []registrar.Key {
	if s.chance(s.trouble + 0.1) {
		time.Sleep(s.between(0, maxProbe))
	}
	return nil
}

func (s *schedule) pick(r picker.Request) (*picker.Choice, error) {
	if s.chance(s.trouble) {
		return nil, []error{picker.ErrFull, picker.ErrNoServer, picker.ErrOnlyFaulty, picker.ErrRateLimited, picker.ErrEvacuated, &picker.PausedError{}}[s.rand.IntN(6)]
	}
	return s.picker.Pick(r)
}

// begin records an attempt and checks that it may be made.
func (s *schedule) begin(req *sender.Request) *attemptRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		s.t.Error("an attempt was made after the end of the call")
	}
	// What waits at the quarantiner goes on without its key and, if it may run only once, its caller.
	if s.revoked.Load() && s.quarantiner == nil {
		s.t.Error("an attempt was made after the key was withdrawn")
	}
	goesOn := s.call.Rule.Repeat == parser.AtMostOnce || s.call.Rule.IsOnce() && s.quarantiner != nil
	if s.call.IsExpired() || s.stopped.Load() != nil || s.left.Load() && !goesOn {
		s.t.Error("an attempt was made after the deadline, the stop of the entry or the end of the caller's connection")
	}
	for i, a := range s.attempts {
		if s.call.Rule.IsOnce() && (!a.returned || !a.harmless) {
			s.t.Errorf("attempt %d was made although attempt %d, %+v, may be run", len(s.attempts)+1, i+1, a.plan)
		}
	}
	if slices.ContainsFunc(s.attempts, func(a *attemptRecord) bool { return a.server == req.Server }) {
		s.t.Errorf("two attempts at server %s", req.Server.InstanceID)
	}
	a := &attemptRecord{plan: s.plans[len(s.attempts)], server: req.Server}
	s.attempts = append(s.attempts, a)
	return a
}

func (s *schedule) send(ctx context.Context, req *sender.Request) (*sender.Response, error) {
	if req.Account == crasher {
		time.Sleep(150 * time.Millisecond)
		return nil, &sender.Error{Phase: sender.Waiting, Written: true, Err: io.EOF}
	}
	a := s.begin(req)
	res, proven, err := s.attempt(ctx, a)
	s.mu.Lock()
	defer s.mu.Unlock()
	a.returned, a.proven = true, proven
	a.harmless = a.harmless || proven
	return res, err
}

// attempt makes an attempt as planned and returns whether its result proves that it wasn't run.
func (s *schedule) attempt(ctx context.Context, a *attemptRecord) (res *sender.Response, proven bool, err error) {
	p := &a.plan
	wait := func(d time.Duration) error {
		err := sleep(ctx, d)
		if err != nil {
			time.Sleep(p.linger)
		}
		return err
	}
	if err = wait(p.connect); err == nil && p.fate == unreached {
		err = wait(time.Hour)
	}
	switch {
	case err != nil:
		return nil, true, &sender.Error{Phase: sender.Connecting, Err: err}
	case p.fate == evacuated:
		return nil, true, picker.ErrEvacuated
	case p.fate == contained:
		return nil, true, &quarantiner.Error{}
	case p.fate == unwritten:
		return nil, true, errors.WithMessage(&sender.Error{Phase: sender.Connecting, Err: errors.New("refused")}, "dial")
	}
	isRefused := p.fate == refused || p.fate == brokenRefusal
	if isRefused || (p.fate == lost || p.fate == silent) && !p.runs {
		s.mu.Lock()
		a.harmless = isRefused
		s.mu.Unlock()
	} else {
		time.AfterFunc(p.run, func() {
			s.mu.Lock()
			a.runs++
			s.mu.Unlock()
		})
	}
	if p.fate == silent {
		p.respond = time.Hour
	}
	if err = wait(p.respond); err == nil && p.fate == lost {
		err = io.ErrUnexpectedEOF
	}
	if err != nil && p.plain {
		return nil, false, errors.WithMessage(err, "wait")
	}
	if err != nil {
		return nil, false, &sender.Error{Phase: sender.Waiting, Written: true, Err: err}
	}
	return s.respond(p), p.fate == refused, nil
}

// respond returns the response to an attempt that was refused or run.
func (s *schedule) respond(p *plan) *sender.Response {
	size := 1
	if p.large {
		size = readAheadBytes + 1
	}
	body := &testBody{Reader: strings.NewReader(strings.Repeat("x", size))}
	if p.fate == brokenOff || p.fate == brokenRefusal {
		body.err = &sender.Error{Phase: sender.ReadingBody, Written: true, Err: io.ErrUnexpectedEOF}
		if p.plain {
			body.err = io.ErrUnexpectedEOF
		}
	}
	isRefusal := p.fate == refused || p.fate == brokenRefusal
	return &sender.Response{Status: p.status, Body: body, Shed: isRefusal, WrongServer: isRefusal && p.runs}
}

// testBody is a response body that ends with err, or as a whole if that is nil.
type testBody struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (b *testBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && b.err != nil {
		err = b.err
	}
	return n, err
}

// Close implements io.Closer.
func (b *testBody) Close() error { return nil }

// drawEvents starts the events of a schedule.
func (s *schedule) drawEvents(leave func()) {
	for _, event := range []struct {
		chance float64
		happen func()
	}{
		{0.25, leave},
		{0.2, func() {
			now := time.Now()
			s.stopped.Store(&now)
			s.d.Stop()
		}},
		{0.1, func() { s.revoked.Store(true) }},
		{0.1, func() {
			at := time.Now().Add(300 * time.Millisecond)
			s.stopAt.Store(&at)
		}},
	} {
		if s.chance(event.chance) {
			time.AfterFunc(s.between(0, []time.Duration{20 * time.Millisecond, 600 * time.Millisecond}[s.rand.IntN(2)]), event.happen)
		}
	}
}

// run makes the call and checks its result. It returns the outcome with the number of attempts.
func (s *schedule) run(seed uint64) string {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	s.drawEvents(func() {
		s.left.Store(true)
		leave()
	})
	res, err := s.d.Do(ctx, s.call)
	s.mu.Lock()
	s.ended = true
	made := len(s.attempts)
	s.mu.Unlock()
	s.checkDuration()
	// An attempt that the call ended before it was sent is in the trace, too.
	if n := len(s.call.Trace.Attempts); n < made {
		s.t.Errorf("the trace has %d attempts of %d", n, made)
	}
	time.Sleep(2 * maxLinger)
	s.checkReturned()
	if err == nil {
		if s.chance(0.8) {
			_, _ = io.Copy(io.Discard, res.Body)
		}
		_ = res.Body.Close()
	}
	if s.quarantiner != nil {
		// The other request may hold its server until then.
		time.Sleep(time.Second)
		s.quarantiner.Close()
	}
	s.checkReleased()
	time.Sleep(time.Minute)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkOutcome(res, err)
	if s.t.Failed() {
		s.t.Logf("seed %d, %s, response %+v, error %+v, rule %+v, stopped %v", seed, s.call.Rule.Repeat, res, err, s.call.Rule, s.stopped.Load())
		for _, a := range s.attempts {
			s.t.Logf("%+v", *a)
		}
	}
	var e *Error
	if errors.As(err, &e) {
		return fmt.Sprint(e.Outcome, " ", made)
	}
	return fmt.Sprint(Ran, " ", made)
}

// checkDuration checks that the call ended by its deadline or soon after the stop of the entry.
func (s *schedule) checkDuration() {
	const margin = maxLinger + maxProbe + time.Millisecond
	if late := time.Since(s.call.Deadline); late > margin {
		s.t.Errorf("the call ended %v after its deadline", late)
	}
	if at := s.stopped.Load(); at != nil && time.Since(*at) > margin {
		s.t.Errorf("the call ended %v after the stop", time.Since(*at))
	}
}

// checkReturned checks that no attempt goes on after the call.
func (s *schedule) checkReturned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, a := range s.attempts {
		if !a.returned {
			s.t.Errorf("attempt %d goes on after the call", i+1)
		}
	}
}

// checkReleased checks that all permits and choices have come back once the response is closed.
func (s *schedule) checkReleased() {
	if n := countFree(s.limits, limiter.Request{Service: "s", Priority: parser.Interactive}); n != scheduleSlots {
		s.t.Errorf("%d permits are free after the call, want %d", n, scheduleSlots)
	}
	for _, st := range s.picker.Stats("s") {
		if st.InFlight != 0 {
			s.t.Errorf("server %s has %d calls in flight after the call", st.InstanceID, st.InFlight)
		}
	}
}

// checkOutcome checks what the caller was told once all servers are done; the caller holds mu.
func (s *schedule) checkOutcome(res *Response, err error) {
	runs, unproven := 0, false
	for _, a := range s.attempts {
		runs += a.runs
		unproven = unproven || !a.proven
	}
	if most := s.call.Rule.Attempts; s.call.Rule.IsOnce() && runs > 1 || runs > most {
		s.t.Errorf("the call was run %d times", runs)
	}
	var e *Error
	switch {
	case err == nil:
		answered := slices.ContainsFunc(s.attempts, func(a *attemptRecord) bool {
			return a.returned && a.plan.status == res.Status && (a.plan.fate == ran || a.plan.fate == brokenOff && a.plan.large)
		})
		if res.Outcome != Ran || !answered {
			s.t.Error("the response is that of no attempt")
		}
	case !errors.As(err, &e):
		s.t.Errorf("error %v is no *Error", err)
	case e.Outcome == NotRun && runs > 0:
		s.t.Error("the caller was told that the call was not run")
	case e.Outcome == Unknown && !unproven:
		s.t.Error("the outcome is unknown although every attempt is proven not to have been run")
	case e.Outcome != NotRun && e.Outcome != Unknown:
		s.t.Errorf("outcome %q", e.Outcome)
	}
}
