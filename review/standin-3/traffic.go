package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// service and host of the only service of the deployment.
const (
	service = "kasa"
	host    = "kasa.example"
)

// configText returns a config with a safe and an unsafe route to the service.
func configText(version int) string {
	return fmt.Sprintf(`{"version":"%08x","resources":[
{"type":"routes","metadata":{"name":"r-lookup"},"spec":{"host":%q,"path_prefix":"/s/","kind":"safe","timeout_ms":2500,"slo_ms":300,"priority":2,"service":%q,"attempts":2}},
{"type":"routes","metadata":{"name":"r-charge"},"spec":{"host":%q,"path_prefix":"/o/","kind":"unsafe","timeout_ms":1500,"slo_ms":250,"priority":1,"service":%q,"attempts":2}},
{"type":"services","metadata":{"name":%q},"spec":{"health_path":"/health","max_conns":220,"protocol":"h1","tls":false}},
{"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}`,
		version, host, service, host, service, service)
}

// backend is a sound backend server of the service.
type backend struct {
	p        *platform
	id, addr string
	born     int64
	seq      atomic.Int64
	running  atomic.Int64
	// runs counts the requests that the server has begun to run, answered those of them whose answer was written before its exit.
	runs, answered atomic.Int64
	srv            *http.Server
	cancel         context.CancelFunc
}

const (
	slots        = 6
	safeTime     = 120 * time.Millisecond
	unsafeTime   = 84 * time.Millisecond
	heartbeatGap = 1500 * time.Millisecond
)

func (p *platform) startBackend(i int) error {
	b := &backend{p: p, id: fmt.Sprintf("i-%08x", time.Now().UnixNano()&0xffffff<<8|int64(i)), addr: fmt.Sprintf("%s.%d:%d", p.net, 100+i, backendPort), born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	b.srv = &http.Server{Handler: b}
	go func() { _ = b.srv.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	go func() {
		for ctx.Err() == nil {
			b.beat()
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatGap):
			}
		}
	}()
	p.backends = append(p.backends, b)
	return nil
}

func (b *backend) stop() {
	b.cancel()
	_ = b.srv.Close()
}

// beat sends a heartbeat to the control members in turn until one acknowledges it.
func (b *backend) beat() {
	for _, c := range b.p.withRole("control") {
		body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"dolina","concurrency":%d},"status":{"state":"ready","seq":%d,"warmup_left_ms":0}}`,
			b.addr, b.born, service, slots, b.seq.Add(1))
		if status, _ := call(http.MethodPost, fmt.Sprintf("http://%s:%d/instances/%s/heartbeat", c.ip, controlPort, b.id), body); status/100 == 2 {
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	id := req.Header.Get("Request-Id")
	n := b.running.Add(1)
	defer b.running.Add(-1)
	if req.URL.Path == "/health" {
		h.Set("Instance-Id", b.id)
		h.Set("Backend-Load", fmt.Sprintf("%d,0,%d,100", n-1, slots))
		return
	}
	h.Set("Backend-Load", fmt.Sprintf("%d,0,%d,100", n-1, slots))
	h.Set("Request-Id", id)
	if e := req.Header.Get("Expect-Instance"); e != "" && e != b.id {
		h.Set("Instance-Id", b.id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.runs.Add(1)
	b.p.log("backend %s: runs %s %s, id %s", b.id, req.Method, req.URL.Path, id)
	work := safeTime
	if req.Method != http.MethodGet {
		work = unsafeTime
	}
	select {
	case <-time.After(work):
	case <-req.Context().Done():
		b.p.log("backend %s: request %s is cut off at work", b.id, id)
		return
	}
	h.Set("Server-Stamp", "stamp-"+id)
	if json.NewEncoder(w).Encode(id) == nil {
		b.answered.Add(1)
	}
}

// client sends requests to the entries in turn.
type client struct {
	p    *platform
	http *http.Client
	n    atomic.Int64
}

func newClient(p *platform) *client {
	return &client{p: p, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second}}}
}

// counts are the results of requests.
type counts struct{ sent, served int }

// sendFor sends one request each gap for some time and waits for the answers.
func (c *client) sendFor(d, gap time.Duration) (total counts) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	entries := c.p.withRole("entry")
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(gap) {
		n := c.n.Add(1)
		wg.Go(func() {
			ok := c.send(entries[int(n)%len(entries)], n)
			mu.Lock()
			defer mu.Unlock()
			total.sent++
			if ok {
				total.served++
			}
		})
	}
	wg.Wait()
	return total
}

func (c *client) send(e *machine, n int64) (served bool) {
	id := fmt.Sprintf("%016x", n)
	method, path, deadline := http.MethodGet, "/s/"+id, 2500
	if n%2 == 0 {
		method, path, deadline = http.MethodPut, "/o/"+id, 1500
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(deadline)*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", e.ip, frontPort, path), strings.NewReader(""))
	if err != nil {
		return false
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline))
	res, err := c.http.Do(req)
	if err != nil {
		c.p.log("client: %s %s at %s: %v", method, path, e.name, err)
		return false
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	served = err == nil && res.StatusCode/100 == 2 && res.Header.Get("Server-Stamp") == "stamp-"+id && strings.TrimSpace(string(body)) == fmt.Sprintf("%q", id)
	c.p.log("client: %s %s at %s: status %d, served %t", method, path, e.name, res.StatusCode, served)
	return served
}
