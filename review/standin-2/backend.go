package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	backendSlots     = 6
	backendQueue     = 6
	heartbeatSpacing = 1500 * time.Millisecond
)

// backend is a backend server. It does what PROTOCOL.md says of one that is sound.
type backend struct {
	id, service, zone, address string
	born                       int64
	work                       time.Duration
	rec                        *recorder
	control                    []string
	// needy is set while the server is in need and names the requests per second that it takes.
	needy atomic.Bool
	// onRun is called when the server begins to run a request.
	onRun atomic.Pointer[func(b *backend, r *http.Request)]

	seq        atomic.Int64
	state      atomic.Pointer[string]
	slots      chan struct{}
	waiting    atomic.Int64
	inFlight   atomic.Int64
	warmupLeft atomic.Int64
	srv        *http.Server
	stop       context.CancelFunc
	mu         sync.Mutex
	target     string
	next       int
	// limitValue is what limit returned last, computed at limitAt.
	limitValue float64
	limitAt    time.Time
	// limitEvery is how often the server decides anew how many requests it takes; limitInterval when 0.
	limitEvery time.Duration
	acked      atomic.Bool
}

func newBackend(rec *recorder, control []string, id, service, zone, address string, work time.Duration) *backend {
	l, err := net.Listen("tcp", address)
	check(err)
	b := &backend{
		id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), work: work, rec: rec, control: control,
		slots: make(chan struct{}, backendSlots),
	}
	ready := "ready"
	b.state.Store(&ready)
	b.srv = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go func() { _ = b.srv.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = func() {
		cancel()
		_ = b.srv.Close()
	}
	go func() {
		for ctx.Err() == nil {
			b.beat()
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatSpacing):
			}
		}
	}()
	return b
}

func (b *backend) setOnRun(f func(b *backend, r *http.Request)) { b.onRun.Store(&f) }

// addBackends starts n backends of a service, in the zones in turn.
func (f *fleet) addBackends(w *world, service string, n int, work time.Duration) (list []*backend) {
	var addresses []string
	for _, m := range f.control {
		addresses = append(addresses, m.at(controlPort))
	}
	for i := range n {
		f.backends++
		b := newBackend(w.rec, addresses, fmt.Sprintf("i-%d", f.backends), service, zones[i%3], fmt.Sprintf("%s.3.%d:9000", f.network, f.backends), work)
		w.defer_(b.stop)
		list = append(list, b)
	}
	return list
}

// beat sends a heartbeat to the node that the last response named, or else to the next one until one acknowledges it.
func (b *backend) beat() {
	for range b.control {
		b.mu.Lock()
		target := b.target
		if target == "" {
			target = b.control[b.next%len(b.control)]
			b.next++
		}
		b.mu.Unlock()
		if b.beatAt(target) {
			b.acked.Store(true)
			return
		}
		b.mu.Lock()
		b.target = ""
		b.mu.Unlock()
	}
}

func (b *backend) beatAt(target string) bool {
	body := map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "concurrency": backendSlots},
		"status": map[string]any{"state": *b.state.Load(), "seq": b.seq.Add(1), "warmup_left_ms": b.warmupLeft.Load()},
	}
	status, reply := post(target, "/instances/"+b.id+"/heartbeat", body, time.Second)
	if status/100 != 2 {
		return false
	}
	var r struct {
		URL string `json:"heartbeat_url"`
	}
	_ = json.Unmarshal(reply, &r)
	if r.URL != "" {
		b.mu.Lock()
		b.target = r.URL
		b.mu.Unlock()
	}
	return true
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	load := func() {
		h.Set("Backend-Load", fmt.Sprintf("%d,%d,%d,100", b.inFlight.Load(), b.waiting.Load(), backendSlots))
	}
	load()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", b.id)
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if e := r.Header.Get("Expect-Instance"); e != "" && e != b.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case b.slots <- struct{}{}:
	default:
		if b.waiting.Add(1) > backendQueue {
			b.waiting.Add(-1)
			h.Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case b.slots <- struct{}{}:
			b.waiting.Add(-1)
		case <-r.Context().Done():
			b.waiting.Add(-1)
			return
		}
	}
	defer func() { <-b.slots }()
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	if f := b.onRun.Load(); f != nil {
		(*f)(b, r)
	}
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	load()
	if b.needy.Load() {
		h.Set("Server-Limit", fmt.Sprintf("%.2f", b.limit()))
	}
	h.Set("Server-Stamp", "stamp-"+b.id+"-"+id)
	fmt.Fprintf(w, "%s ran %s with %d bytes", b.id, id, len(body))
}

const (
	// limitInterval is how often a server in need decides anew how many requests it takes, unless the case says otherwise.
	limitInterval = 100 * time.Millisecond
	// limitShare is the share of its capacity that it takes, and limitSpread by how much its machine's speed varies.
	limitShare, limitSpread = 0.8, 0.05
)

// limit returns the requests per second that a server in need takes: a share of what its slots complete at the present speed of its machine,
// which it shares with others.
func (b *backend) limit() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); now.Sub(b.limitAt) >= cmp.Or(b.limitEvery, limitInterval) {
		speed := 1 + limitSpread*(2*rand.Float64()-1)
		b.limitAt, b.limitValue = now, limitShare*speed*backendSlots*float64(time.Second)/float64(b.work)
	}
	return b.limitValue
}

// httpClient makes one request on each connection, which it closes when it gives up.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// post sends one POST request; the status is 0 without a response in time.
func post(address, path string, body any, timeout time.Duration) (status int, reply []byte) {
	var text []byte
	if body != nil {
		var err error
		text, err = json.Marshal(body)
		check(err)
	}
	return do(http.MethodPost, "http://"+address+path, text, timeout)
}

func do(method, url string, body []byte, timeout time.Duration) (status int, reply []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var r io.Reader
	if len(body) > 0 {
		r = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, r)
	check(err)
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := httpClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	reply, err = io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, reply
}
