package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a backend began to work on.
type run struct {
	id, path, service, instance string
	at                          time.Time
}

// backend is a backend server of the platform. It works on up to six requests at a time.
type backend struct {
	f                            *fleet
	service, instance, address   string
	work                         time.Duration
	born                         int64
	srv                          *http.Server
	cancel                       context.CancelFunc
	seq                          atomic.Int64
	running                      atomic.Int64
	draining, sayLeaving, silent atomic.Bool
	mu                           sync.Mutex
	runs                         []run
	conns                        map[net.Conn]bool
	heartbeatURL                 string
	// onRun is called when the backend begins to work on a request; nil for no call.
	onRun func(b *backend, req *http.Request)
	// handle answers in place of the backend and returns true; nil for a backend without faults.
	handle func(b *backend, w http.ResponseWriter, req *http.Request) bool
}

const slots = 6

var lastInstance atomic.Int64

// addBackend starts a backend; with an empty address it picks a free port.
func (f *fleet) addBackend(service, address string, work time.Duration, prepare func(*backend)) *backend {
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	must(err)
	b := &backend{
		f: f, service: service, instance: fmt.Sprintf("i-%08x", lastInstance.Add(1)), address: l.Addr().String(), work: work,
		born: time.Now().UnixMilli(), conns: make(map[net.Conn]bool),
	}
	if prepare != nil {
		prepare(b)
	}
	b.srv = &http.Server{Handler: b, ConnState: func(c net.Conn, s http.ConnState) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.conns[c] = true; s == http.StateClosed || s == http.StateHijacked {
			delete(b.conns, c)
		}
	}}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	f.mu.Lock()
	ending := f.ending
	if !ending {
		f.backends = append(f.backends, b)
	}
	f.mu.Unlock()
	if ending {
		l.Close()
		return b
	}
	f.rec.log("backend %s of %s starts at %s", b.instance, service, b.address)
	go func() { _ = b.srv.Serve(l) }()
	go func() {
		for ctx.Err() == nil {
			if !b.draining.Load() && !b.silent.Load() {
				b.beat("ready")
			}
			select {
			case <-ctx.Done():
			case <-time.After(heartbeat):
			}
		}
	}()
	return b
}

// beat sends a heartbeat to the members in turn until one acknowledges it.
func (b *backend) beat(state string) bool {
	body, err := json.Marshal(map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": "a", "concurrency": slots},
		"status": map[string]any{"state": state, "seq": b.seq.Add(1), "warmup_left_ms": 0},
	})
	must(err)
	return b.tell("heartbeat", body)
}

func (b *backend) tell(action string, body []byte) bool {
	b.mu.Lock()
	next := b.heartbeatURL
	b.mu.Unlock()
	addresses := []string{}
	if next != "" {
		addresses = append(addresses, next)
	}
	for _, c := range shuffled(b.f.controls) {
		addresses = append(addresses, c.addr(controlPort))
	}
	for _, a := range addresses {
		status, reply := post("http://"+a+"/instances/"+b.instance+"/"+action, body)
		if status == http.StatusOK {
			var r struct {
				HeartbeatURL string `json:"heartbeat_url"`
			}
			_ = json.Unmarshal(reply, &r)
			b.mu.Lock()
			b.heartbeatURL = r.HeartbeatURL
			b.mu.Unlock()
			return true
		}
	}
	b.mu.Lock()
	b.heartbeatURL = ""
	b.mu.Unlock()
	return false
}

// drain reports that the backend leaves and returns when that was acknowledged, or false without an ack.
func (b *backend) drain() bool {
	b.draining.Store(true)
	acked := b.beat("draining")
	b.f.rec.log("backend %s of %s reports draining: acknowledged %t", b.instance, b.service, acked)
	return acked
}

// crash resets all connections and ends the backend without a word.
func (b *backend) crash() {
	b.f.rec.log("backend %s of %s crashes", b.instance, b.service)
	b.mu.Lock()
	for c := range b.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	b.mu.Unlock()
	b.shut()
}

// shut ends the backend.
func (b *backend) shut() {
	b.cancel()
	_ = b.srv.Close()
}

// exit ends the backend once the requests in work are answered.
func (b *backend) exit(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	b.cancel()
	_ = b.srv.Shutdown(ctx)
	_ = b.srv.Close()
	b.f.rec.log("backend %s of %s has ended", b.instance, b.service)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	h.Set("Backend-Load", fmt.Sprintf("%d,0,%d,100", b.running.Load(), slots))
	if b.sayLeaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if req.URL.Path == "/health" {
		h.Set("Instance-Id", b.instance)
		if b.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := req.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if e := req.Header.Get("Expect-Instance"); e != "" && e != b.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.handle != nil && b.handle(b, w, req) {
		return
	}
	if b.running.Add(1) > slots {
		b.running.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	b.mu.Lock()
	b.runs = append(b.runs, run{id, req.RequestURI, b.service, b.instance, time.Now()})
	b.mu.Unlock()
	b.f.rec.log("backend %s of %s runs %s %s %q", b.instance, b.service, id, req.Method, req.RequestURI)
	if b.onRun != nil {
		b.onRun(b, req)
	}
	select {
	case <-time.After(b.work):
	case <-req.Context().Done():
		b.f.rec.log("backend %s of %s drops %s: its connection was closed", b.instance, b.service, id)
		return
	}
	h.Set("Server-Stamp", fmt.Sprintf("%s.%s.%s", b.service, b.instance, id))
	_, _ = fmt.Fprintf(w, "%s by %s\n", id, b.service)
}

// allRuns returns the runs of all backends.
func (f *fleet) allRuns() (runs []run) {
	f.mu.Lock()
	backends := append([]*backend{}, f.backends...)
	f.mu.Unlock()
	for _, b := range backends {
		b.mu.Lock()
		runs = append(runs, b.runs...)
		b.mu.Unlock()
	}
	return runs
}
