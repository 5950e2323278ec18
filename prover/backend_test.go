package prover

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// backend is an in-process backend server that records when each call and probe arrives.
type backend struct {
	service, id, zone, address string
	incarnation                uint64
	sequence                   atomic.Uint64
	handler                    http.HandlerFunc

	mu     sync.Mutex
	calls  []time.Time
	probes []time.Time
}

// newBackend starts a backend server without announcing it.
func newBackend(service, id, zone string) *backend {
	l, err := net.Listen("tcp", newAddress())
	Expect(err).NotTo(HaveOccurred())
	b := &backend{service: service, id: id, zone: zone, address: l.Addr().String(), incarnation: uint64(time.Now().UnixNano())}
	srv := &http.Server{Handler: b}
	go func() { _ = srv.Serve(l) }()
	DeferCleanup(func() { srv.Close() })
	return b
}

// ServeHTTP records when a call or probe arrives and answers it.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	if r.URL.Path == "/peridot/health" {
		b.probes = append(b.probes, time.Now())
	} else {
		b.calls = append(b.calls, time.Now())
	}
	b.mu.Unlock()
	w.Header().Set("Peridot-Load", "in-flight=0,slots=6")
	if b.handler != nil && r.URL.Path != "/peridot/health" {
		b.handler(w, r)
		return
	}
	fmt.Fprintf(w, "%s %s", b.id, r.URL.RequestURI())
}

// callsAfter counts the calls that arrived after t.
func (b *backend) callsAfter(t time.Time) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.calls {
		if c.After(t) {
			n++
		}
	}
	return n
}

// announcement returns the JSON of the next announcement.
func (b *backend) announcement(state string) []byte {
	text, err := json.Marshal(map[string]any{
		"service": b.service, "instance-id": b.id, "incarnation": b.incarnation, "sequence": b.sequence.Add(1),
		"address": b.address, "availability-zone": b.zone, "slots": 6, "connections": 250, "state": state,
	})
	Expect(err).NotTo(HaveOccurred())
	return text
}

// postAnnouncement sends an announcement to an entry.
func postAnnouncement(entry string, text []byte) error {
	r, err := call(entry, http.MethodPost, "/peridot/announce", string(bytes.TrimSpace(text)), nil)
	if err == nil && r.status != http.StatusOK {
		err = fmt.Errorf("announce: %d %s", r.status, r.body)
	}
	return err
}

// announce renews the announcement at each of the entries until stop is called; stop returns once the last one has been sent.
func (b *backend) announce(entries ...string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, e := range entries {
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = postAnnouncement(e, b.announcement("ready"))
				select {
				case <-ctx.Done():
				case <-time.After(300 * time.Millisecond):
				}
			}
		})
	}
	stop = sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})
	DeferCleanup(stop)
	return stop
}

// leave withdraws the backend server's announcement through one entry.
func (b *backend) leave(entry string) {
	r, err := call(entry, http.MethodDelete, "/peridot/announce/"+b.service+"/"+b.id, "", nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(r.status).To(Equal(http.StatusNoContent), r.body)
}

// callContinuously makes idempotent calls, one at a time through each of the entries, until stop is called.
func callContinuously(service string, entries ...*entryProcess) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, e := range entries {
		wg.Go(func() {
			for ctx.Err() == nil {
				_, _ = call(e.address, http.MethodGet, "/call/"+service+"/item", "", nil)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	stop = sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})
	DeferCleanup(stop)
	return stop
}
