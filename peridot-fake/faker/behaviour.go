package faker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/parser"
)

// Distribution is the distribution of service times.
type Distribution string

// The values of Distribution.
const (
	Fixed       Distribution = "fixed"
	Exponential Distribution = "exponential"
	// HeavyTailed is a log-normal distribution whose 99th percentile is eight times its mean.
	HeavyTailed Distribution = "heavy-tailed"
)

// Behaviour configures the service times and the injected faults. POST /fake/behaviour changes the fields that its body contains.
type Behaviour struct {
	// ServiceTime is the mean service time.
	ServiceTime  parser.Duration `json:"service-time"`
	Distribution Distribution    `json:"distribution"`
	// Seed seeds the random source; changing it after the start has no effect.
	Seed uint64 `json:"seed"`
	// Queue is how many calls may wait for a slot; calls beyond that are shed.
	Queue int `json:"queue"`
	// Slowdown is a factor applied to service times.
	Slowdown float64 `json:"straggle"`
	// FailShare is the share of calls that fail immediately with status 500.
	FailShare float64 `json:"fail-share"`
	// ShedShare is the share of calls that are shed even if a slot or a place in the queue is free.
	ShedShare float64 `json:"shed-share"`
	// ReportEvery is how long the same load is reported before it is read again; 0 reports the current load.
	ReportEvery parser.Duration `json:"report-every"`
	// ReportInFlight is a false number of calls in flight to report; -1 reports the true number.
	ReportInFlight int `json:"report-in-flight"`
	// ColdFor is the duration of a simulated cold start, which begins when ColdFor or ColdFactor is set. Over this time the factor applied
	// to service times falls linearly from ColdFactor to 1.
	ColdFor    parser.Duration `json:"cold-for"`
	ColdFactor float64         `json:"cold-factor"`
	// Steal is how many slots a simulated noisy neighbour occupies, for 20 ms at a time; StealShare is the share of time for which it does.
	Steal      int     `json:"steal"`
	StealShare float64 `json:"steal-share"`
	// Drain makes the backend server report that it is draining.
	Drain bool `json:"drain"`

	coldSince time.Time
}

const (
	defaultQueue      = 1_000_000
	maxFactor         = 1000
	stealDuration     = 20 * time.Millisecond
	heavyTailedSigma  = 1.2
	maxBehaviourBytes = 64 << 10
)

// DefaultBehaviour returns the behaviour of a healthy backend server, whose queue is long enough that no call is shed.
func DefaultBehaviour() Behaviour {
	return Behaviour{
		ServiceTime:    parser.Duration(2 * time.Millisecond),
		Distribution:   Fixed,
		Seed:           1,
		Queue:          defaultQueue,
		Slowdown:       1,
		ReportInFlight: -1,
		ColdFactor:     1,
	}
}

// Merge sets the fields that a JSON object contains. It changes nothing if the object is invalid.
func (b *Behaviour) Merge(data []byte) (err error) {
	defer func() { err = errors.WithMessage(err, "read behaviour") }()
	next := *b
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err = d.Decode(&next); err != nil {
		return err
	}
	if err = next.validate(); err != nil {
		return err
	}
	*b = next
	return nil
}

func (b *Behaviour) validate() error {
	switch b.Distribution {
	case Fixed, Exponential, HeavyTailed:
	default:
		return errors.Errorf("distribution is %q, want fixed, exponential or heavy-tailed", b.Distribution)
	}
	share := func(v float64) bool { return v >= 0 && v <= 1 }
	factor := func(v float64) bool { return v > 0 && v <= maxFactor }
	if b.ServiceTime < 0 || b.ReportEvery < 0 || b.ColdFor < 0 || b.Queue < 0 || b.Steal < 0 || b.ReportInFlight < -1 {
		return errors.New("a duration or number is negative")
	}
	if !share(b.FailShare) || !share(b.ShedShare) || !share(b.StealShare) || !factor(b.Slowdown) || !factor(b.ColdFactor) {
		return errors.Errorf("want shares from 0 to 1 and factors above 0, up to %d", maxFactor)
	}
	return nil
}

func (f *Faker) setBehaviour(b Behaviour) {
	if old := f.behaviour.Load(); old == nil || old.ColdFor != b.ColdFor || old.ColdFactor != b.ColdFactor {
		b.coldSince = time.Now()
	}
	f.behaviour.Store(&b)
}

func (f *Faker) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBehaviourBytes))
	b := *f.behaviour.Load()
	if err == nil && r.Method == http.MethodPost {
		err = b.Merge(body)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		f.setBehaviour(b)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(b)
}

// sampler draws random values from a seeded source.
type sampler struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

func newSampler(seed uint64) *sampler {
	return &sampler{rnd: rand.New(rand.NewPCG(seed, seed))}
}

func (s *sampler) chance(share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.Float64() < share
}

func (s *sampler) serviceTime(b *Behaviour) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := 1.0
	switch b.Distribution {
	case Exponential:
		x = s.rnd.ExpFloat64()
	case HeavyTailed:
		x = math.Exp(heavyTailedSigma*s.rnd.NormFloat64() - heavyTailedSigma*heavyTailedSigma/2)
	}
	return time.Duration(x * b.Slowdown * b.coldFactorAt(time.Now()) * float64(b.ServiceTime))
}

// coldFactorAt returns the factor that a cold start applies to service times at now.
func (b *Behaviour) coldFactorAt(now time.Time) float64 {
	age := now.Sub(b.coldSince)
	if age >= b.ColdFor.Std() {
		return 1
	}
	return b.ColdFactor + (1-b.ColdFactor)*float64(age)/float64(b.ColdFor)
}

// loadCache returns the same load until it is older than a given age, so that load reports are out of date.
type loadCache struct {
	mu     sync.Mutex
	value  int64
	readAt time.Time
}

func (l *loadCache) get(maxAge time.Duration, read func() int64) int64 {
	if maxAge == 0 {
		return read()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.readAt) >= maxAge {
		l.value, l.readAt = read(), time.Now()
	}
	return l.value
}

// stealSlots simulates a noisy neighbour: it occupies slots for 20 ms at a time.
func (f *Faker) stealSlots(ctx context.Context) {
	for ctx.Err() == nil {
		b := f.behaviour.Load()
		n := 0
		if b.Steal > 0 && f.sampler.chance(b.StealShare) {
			n = f.takeSlots(b.Steal)
		}
		sleep(ctx, stealDuration)
		for ; n > 0; n-- {
			<-f.slots
		}
	}
}

// takeSlots occupies up to n free slots and returns how many it got.
func (f *Faker) takeSlots(n int) int {
	for i := range n {
		select {
		case f.slots <- struct{}{}:
		default:
			return i
		}
	}
	return n
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
