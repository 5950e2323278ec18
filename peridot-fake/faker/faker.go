package faker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Config configures a Faker.
type Config struct {
	Service          string
	InstanceID       string
	AvailabilityZone string
	Listen           string
	// AnnounceAddress is the address to announce to entries; the listen address when empty.
	AnnounceAddress string
	// Entries lists the entries to announce to until a response names others, as ip:port.
	Entries     []string
	Slots       int
	Connections int
	// Behaviour is the initial behaviour.
	Behaviour Behaviour
	// CrashOn makes the process exit when the body of a call contains this string; empty for never.
	CrashOn string
	// Ledger is a file to which a line is appended before each run of a call; empty for none.
	Ledger string
}

const (
	maxBodyBytes = 8 << 20
	exitCrashed  = 3
)

// Faker is a running fake backend server.
type Faker struct {
	cfg          Config
	srv          *http.Server
	address      string
	incarnation  uint64
	slots        chan struct{}
	inFlight     atomic.Int64
	draining     atomic.Bool
	behaviour    atomic.Pointer[Behaviour]
	counters     counters
	sampler      *sampler
	reportedLoad loadCache
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu       sync.Mutex
	ledger   *os.File
	entries  []string
	sequence uint64
}

// New starts a fake backend server.
func New(cfg Config) (f *Faker, err error) {
	defer func() { err = errors.WithMessage(err, "start backend server") }()
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f = &Faker{
		cfg:         cfg,
		address:     l.Addr().String(),
		incarnation: uint64(time.Now().UnixNano()),
		slots:       make(chan struct{}, cfg.Slots),
		entries:     cfg.Entries,
		sampler:     newSampler(cfg.Behaviour.Seed),
		cancel:      cancel,
	}
	f.setBehaviour(cfg.Behaviour)
	if cfg.Ledger != "" {
		if f.ledger, err = os.OpenFile(cfg.Ledger, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return nil, err
		}
	}
	f.srv = &http.Server{Handler: f.routes(), ConnState: f.counters.trackConn, ReadHeaderTimeout: time.Minute}
	f.wg.Go(func() { _ = f.srv.Serve(l) })
	f.wg.Go(func() { f.announcePeriodically(ctx) })
	f.wg.Go(func() { f.stealSlots(ctx) })
	return f, nil
}

func (f *Faker) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/peridot/health", func(w http.ResponseWriter, _ *http.Request) {
		f.counters.probes.Add(1)
		f.writeLoad(w)
	})
	mux.HandleFunc("/fake/behaviour", f.serveBehaviour)
	mux.HandleFunc("/fake/counters", f.serveCounters)
	mux.HandleFunc("/chain/{depth}", f.chain)
	mux.HandleFunc("/", f.call)
	return mux
}

// Address returns the address that the backend server listens on, as ip:port.
func (f *Faker) Address() string { return f.address }

// Close announces that the backend server is draining, stops listening, waits for the running calls and withdraws the announcement.
func (f *Faker) Close(ctx context.Context) error {
	f.draining.Store(true)
	f.announce(ctx)
	f.cancel()
	err := f.srv.Shutdown(ctx)
	f.wg.Wait()
	f.leave(ctx)
	return err
}

func (f *Faker) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.counters.recordCall(r)
	b := f.behaviour.Load()
	inFlight := f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if inFlight > int64(f.cfg.Slots+b.Queue) || f.sampler.chance(b.ShedShare) {
		f.shed(w, r)
		return
	}
	f.appendLedger(r, body)
	if f.cfg.CrashOn != "" && bytes.Contains(body, []byte(f.cfg.CrashOn)) {
		os.Exit(exitCrashed)
	}
	if f.sampler.chance(b.FailShare) {
		f.counters.failed.Add(1)
		f.writeLoad(w)
		http.Error(w, "failed on demand", http.StatusInternalServerError)
		return
	}
	if !f.run(r.Context(), b) {
		f.counters.canceled.Add(1)
		return
	}
	f.counters.finished.Add(1)
	f.writeLoad(w)
	w.Header().Set("X-Run", fmt.Sprintf("%s-%d-%d", f.cfg.InstanceID, f.incarnation, f.counters.finished.Load()))
	fmt.Fprintf(w, "%s %s %s %s", f.cfg.InstanceID, r.Method, r.URL.RequestURI(), body)
}

// run occupies a slot for the service time. It returns false if the entry closes the connection before that time has passed.
func (f *Faker) run(ctx context.Context, b *Behaviour) bool {
	select {
	case f.slots <- struct{}{}:
		defer func() { <-f.slots }()
	case <-ctx.Done():
		return false
	}
	select {
	case <-time.After(f.sampler.serviceTime(b)):
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *Faker) shed(w http.ResponseWriter, r *http.Request) {
	f.counters.shed.Add(1)
	f.writeLoad(w)
	w.Header().Set("Peridot-Shed", "true")
	if id := r.Header.Get("Peridot-Request-Id"); id != "" {
		w.Header().Set("Peridot-Request-Id", id)
	}
	http.Error(w, "all slots and the queue are full", http.StatusServiceUnavailable)
}

func (f *Faker) writeLoad(w http.ResponseWriter) {
	b := f.behaviour.Load()
	inFlight := f.reportedLoad.get(b.ReportEvery.Std(), f.inFlight.Load)
	if b.ReportInFlight >= 0 {
		inFlight = int64(b.ReportInFlight)
	}
	w.Header().Set("Peridot-Load", fmt.Sprintf("in-flight=%d,slots=%d", inFlight, f.cfg.Slots))
	if f.isDraining() {
		w.Header().Set("Peridot-Draining", "true")
	}
}

func (f *Faker) isDraining() bool { return f.draining.Load() || f.behaviour.Load().Drain }

// LedgerLine records the start of a run of a call.
type LedgerLine struct {
	Key       string `json:"key"`
	RequestID string `json:"request-id"`
	Path      string `json:"path"`
	Body      string `json:"body"`
	Instance  string `json:"instance"`
}

// appendLedger appends a ledger line. It is called before the run starts, so that a run that crashes the process is recorded too.
func (f *Faker) appendLedger(r *http.Request, body []byte) {
	if f.ledger == nil {
		return
	}
	line, _ := json.Marshal(LedgerLine{
		Key:       r.Header.Get("Idempotency-Key"),
		RequestID: r.Header.Get("Peridot-Request-Id"),
		Path:      r.URL.RequestURI(),
		Body:      string(body),
		Instance:  f.cfg.InstanceID,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = f.ledger.Write(append(line, '\n'))
}
