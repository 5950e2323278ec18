package prover

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"
)

// soakServer is a simulated backend server behind a proxy. All servers of a soak count arrivals and runs in it.
type soakServer struct {
	s           *soak
	id          string
	startedMs   int64
	serviceTime time.Duration
	proxy       *proxy
	announcing  atomic.Bool
	seq         atomic.Int64
	// full refuses calls as not executed, dropResponse executes calls and closes the connection without a response, slow takes longer
	// than the objective latency.
	full, dropResponse, slow atomic.Bool
	// leftAt is when the leave was acknowledged, in Unix nanoseconds; 0 before.
	leftAt atomic.Int64
	stop   func()
}

func (s *soak) addServer(serviceTime time.Duration) *soakServer {
	l, err := net.Listen("tcp", loopback+":0")
	Expect(err).NotTo(HaveOccurred())
	v := &soakServer{s: s, startedMs: time.Now().UnixMilli(), serviceTime: serviceTime}
	var closeProxy func()
	v.proxy, closeProxy = openProxy(l.Addr().String())
	v.announcing.Store(true)
	srv := &http.Server{Handler: v}
	go func() { _ = srv.Serve(s.withStrays(l)) }()
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = func() {
		cancel()
		_ = srv.Close()
		closeProxy()
	}
	s.mu.Lock()
	v.id = fmt.Sprintf("i-%d", len(s.servers))
	s.servers = append(s.servers, v)
	s.mu.Unlock()
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			if v.announcing.Load() {
				v.sendHeartbeat(s.control[i%soakControl], "ready")
			}
			select {
			case <-ctx.Done():
			case <-time.After(250 * time.Millisecond):
			}
		}
	}()
	return v
}

// withStrays returns a listener whose connections carry the stray responses that -soak-strays asks for.
func (s *soak) withStrays(l net.Listener) net.Listener {
	if *soakStrays == 0 {
		return l
	}
	s.mu.Lock()
	n := uint64(len(s.servers))
	s.mu.Unlock()
	rnd := rand.New(rand.NewPCG(s.seed, n))
	texts := strayTexts()
	names := slices.Sorted(maps.Keys(texts))
	name := names[rnd.IntN(len(names))]
	s.logEvent("server %d writes strays: %s", n, name)
	kind := &strays{afterCall: *soakStrays, afterProbe: *soakStrays, text: texts[name]}
	return &strayListener{Listener: l, play: func() *strays { return kind }, rand: rnd}
}

func (v *soakServer) sendHeartbeat(c *soakNode, state string) {
	postJSON(c.url(controlPort, "/instances/"+v.id+"/heartbeat"), fmt.Sprintf(
		`{"address":"%s","born":%d,"info":{"service":"s","version":"v1","zone":"a","concurrency":6},"status":{"state":"%s","seq":%d,"warmup_left_ms":0}}`,
		v.proxy.address, v.startedMs, state, v.seq.Add(1)))
}

// leave sends a leave to control until it is acknowledged. The server keeps serving, so that late calls are detected.
func (v *soakServer) leave(control []*soakNode) {
	v.announcing.Store(false)
	end := time.Now().Add(soakRecovery)
	for i := 0; time.Now().Before(end); i++ {
		if postJSON(control[i%len(control)].url(controlPort, "/instances/"+v.id+"/leave"), fmt.Sprintf(`{"born":%d}`, v.startedMs)) == http.StatusOK {
			v.leftAt.Store(time.Now().UnixNano())
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	v.s.recordViolation("leave of server %s was not acknowledged within %v", v.id, soakRecovery)
}

// ServeHTTP implements http.Handler.
func (v *soakServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	h.Set("Backend-Load", "1,0,6,100")
	if req.URL.Path == "/health" {
		h.Set("Instance-Id", v.id)
		return
	}
	v.checkDrained()
	if req.Header.Get("Expect-Instance") != v.id {
		h.Set("Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get("Request-Id")
	full := v.full.Load()
	v.s.mu.Lock()
	v.s.arrivals[id]++
	if !full {
		v.s.runs[id]++
	}
	v.s.mu.Unlock()
	if full {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(v.serviceTime)
	if v.slow.Load() {
		time.Sleep(400 * time.Millisecond)
	}
	if v.dropResponse.Load() {
		panic(http.ErrAbortHandler)
	}
	h.Set("Request-Id", id)
	h.Set("Server-Stamp", "stamp-"+id)
	_ = json.NewEncoder(w).Encode(id)
}

// checkDrained records a violation if a call arrives more than soakDrain after the leave was acknowledged, unless a disruptive
// fault may have kept entries from learning of it.
func (v *soakServer) checkDrained() {
	left := v.leftAt.Load()
	if left == 0 {
		return
	}
	v.s.mu.Lock()
	reconnected := v.s.lastDisruption.Add(soakReconnect)
	stable := v.s.activeDisruptions == 0 && time.Now().After(reconnected)
	v.s.mu.Unlock()
	if since := time.Since(time.Unix(0, left)); stable && since > soakDrain {
		v.s.recordViolation("server %s got a call %v after its leave was acknowledged", v.id, since)
	}
}

// soakResponse is what a caller received; status is 0 when the connection broke.
type soakResponse struct {
	status     int
	retryAfter string
	stamp      string
	body       string
}

func (s *soak) send(e *soakNode, client *http.Client, method, path, id string) (r soakResponse) {
	req, err := http.NewRequest(method, e.url(frontPort, path), nil)
	if err != nil {
		s.recordViolation("test harness: build request for call %s: %v", id, err)
		return r
	}
	req.Host = "shop.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")
	res, err := client.Do(req)
	if err != nil {
		return r
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return r
	}
	return soakResponse{res.StatusCode, res.Header.Get("Retry-After"), res.Header.Get("Server-Stamp"), strings.TrimSpace(string(text))}
}

// runCaller sends calls to random entries over keep-alive connections, which stay open until the process of the entry exits.
func (s *soak) runCaller(caller int, rnd *rand.Rand) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-s.done:
			return
		case <-time.After(time.Duration(5+rnd.IntN(40)) * time.Millisecond):
		}
		method, path, id := http.MethodGet, "/s/", fmt.Sprintf("look-%d-%d", caller, n)
		if rnd.IntN(2) == 0 {
			method, path, id = http.MethodPost, "/o/", fmt.Sprintf("order-%d-%d", caller, n)
		}
		e := s.entries[rnd.IntN(len(s.entries))]
		s.checkResponse(e, id, s.send(e, client, method, path+id, id))
	}
}

// checkResponse checks a response and records what the caller was told.
func (s *soak) checkResponse(e *soakNode, id string, r soakResponse) {
	outcome := "unknown"
	switch r.status {
	case http.StatusOK:
		outcome = "answered"
		if r.stamp != "stamp-"+id || r.body != fmt.Sprintf("%q", id) {
			s.recordViolation("call %s got the response of another call from %s: stamp %q, body %q", id, e.id, r.stamp, r.body)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		outcome = "not-run"
		if r.retryAfter == "" {
			s.recordViolation("call %s was refused with status %d by %s without Retry-After", id, r.status, e.id)
		}
	case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		s.recordViolation("call %s got status %d from %s", id, r.status, e.id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[id] = outcome
	s.sent++
	if strings.HasPrefix(id, "order-") {
		s.orders++
	}
	if outcome == "answered" {
		s.answered++
	}
}

// soakConfig returns a configuration with a marker route for every version up to its own, by which a call finds out whether an
// entry has an older configuration in force.
func soakConfig(version int) string {
	var markers strings.Builder
	for v := 1; v <= version; v++ {
		fmt.Fprintf(&markers, `{"type":"routes","metadata":{"name":"m%d"},"spec":{"host":"shop.example","path_prefix":"/m/%d/","kind":"safe","timeout_ms":2000,"slo_ms":300,"priority":2,"service":"s","attempts":1}},
`, v, v)
	}
	return strings.Replace(configJSON(version), `"resources":[`, `"resources":[`+markers.String(), 1)
}

// markerStatus returns the status of a call to the marker route of version; 404 means that an older configuration is in force.
func (s *soak) markerStatus(e *soakNode, version int) int {
	id := fmt.Sprintf("marker-%s-%d-%d", e.id, version, time.Now().UnixNano())
	return s.send(e, platformClient, http.MethodGet, fmt.Sprintf("/m/%d/x", version), id).status
}

// watchConfiguration checks that an entry never returns to an older configuration than it has had in force.
func (s *soak) watchConfiguration(e *soakNode) {
	seen := 0
	for {
		select {
		case <-s.done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if seen > 0 && s.markerStatus(e, seen) == http.StatusNotFound {
			s.recordViolation("%s has an older configuration in force than version %d, which was in force before", e.id, seen)
			return
		}
		if newest := s.newestAcked(); newest > seen && s.markerStatus(e, newest) == http.StatusOK {
			seen = newest
		}
	}
}

func (s *soak) nextVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastVersion++
	return s.lastVersion
}

func (s *soak) newestAcked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highestAcked
}

func (s *soak) acknowledge(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.highestAcked = max(s.highestAcked, version)
	s.acknowledged++
}

func (s *soak) putOnce(c *soakNode, version int) int {
	return postJSON(c.url(controlPort, "/config/put"), soakConfig(version))
}

// putFirst sends the first configuration until it is acknowledged.
func (s *soak) putFirst(version int) {
	s.mu.Lock()
	s.lastVersion = version
	s.mu.Unlock()
	for i := range 200 {
		if s.putOnce(s.control[i%soakControl], version) == http.StatusOK {
			s.acknowledge(version)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.recordViolation("the first configuration was not acknowledged in 200 attempts")
}

// runOperator changes the configuration, at times with two concurrent or an invalid change, and sends a change that was not
// acknowledged to the next member.
func (s *soak) runOperator(rnd *rand.Rand) {
	send := func(version, first int) {
		for i := range 3 {
			if status := s.putOnce(s.control[(first+i)%soakControl], version); status == http.StatusOK {
				s.acknowledge(version)
				return
			} else if status == http.StatusBadRequest {
				s.recordViolation("change %d was refused as invalid", version)
				return
			}
		}
	}
	for {
		select {
		case <-s.done:
			return
		case <-time.After(time.Duration(100+rnd.IntN(600)) * time.Millisecond):
		}
		switch first := rnd.IntN(soakControl); rnd.IntN(5) {
		case 0:
			versionA, versionB := s.nextVersion(), s.nextVersion()
			done := make(chan struct{})
			go func() {
				defer close(done)
				send(versionB, first+1)
			}()
			send(versionA, first)
			<-done
		case 1:
			version := s.nextVersion()
			if postJSON(s.control[first].url(controlPort, "/config/put"), strings.Replace(soakConfig(version), `"attempts":2`, `"attempts":0`, 1)) == http.StatusOK {
				s.recordViolation("the invalid change %d was acknowledged", version)
			}
		default:
			send(s.nextVersion(), first)
		}
	}
}

// readVersion returns the configuration version that a member returns, or 0 when it refuses.
func (s *soak) readVersion(c *soakNode) int {
	status, body := get(c.url(controlPort, "/config/get"))
	var reply struct {
		Version string `json:"version"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &reply) != nil {
		return 0
	}
	var version int
	_, _ = fmt.Sscanf(reply.Version, "%x", &version)
	return version
}

// runReader checks that no member returns an older configuration than was acknowledged before the read.
func (s *soak) runReader(rnd *rand.Rand) {
	for {
		select {
		case <-s.done:
			return
		case <-time.After(time.Duration(50+rnd.IntN(200)) * time.Millisecond):
		}
		acked := s.newestAcked()
		c := s.control[rnd.IntN(soakControl)]
		if got := s.readVersion(c); got > 0 && got < acked {
			s.recordViolation("%s returned configuration version %d after %d was acknowledged", c.id, got, acked)
		}
	}
}
