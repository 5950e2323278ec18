package quarantiner

import (
	"io"
	"slices"
	"time"

	"peridotswitch.example/peridot-entry/sender"
)

// possibleCrash is a lost connection to one incarnation of a backend server, until it is known whether the server crashed.
type possibleCrash struct {
	detected time.Time
	// requests were in flight at the server when the connection was lost, without those that have been answered since.
	requests  []*sender.Request
	confirmed bool
	// done is closed when the server's address has been dialed and, after a crash, the suspects have been shared with the other entries.
	done chan struct{}
}

// crashSpread is longer than the connections to a crashed server take to break. A connection that is lost later than that after another
// one, where the server had not crashed, may mean a crash again.
const crashSpread = 100 * time.Millisecond

// checkCrash checks whether the backend server crashed. The first call for an incarnation dials the server and records all
// requests in flight there; calls up to crashSpread after it wait for its result. When it returns, the crash has been shared with the other
// entries, unless that takes longer than Config.MaxCheck.
func (q *Quarantiner) checkCrash(req *sender.Request) (crashed bool) {
	inc := serverIncarnation{req.Server, req.Incarnation}
	q.mu.Lock()
	p := q.possibleCrashes[inc]
	if p != nil && (p.confirmed || q.cfg.Now().Sub(p.detected) < crashSpread) {
		added := p.add(req)
		q.mu.Unlock()
		q.await(p)
		q.mu.Lock()
		confirmed := p.confirmed
		q.mu.Unlock()
		if added && confirmed {
			q.recordCrash(inc, []*sender.Request{req}, p.detected)
		}
		return confirmed
	}
	p = &possibleCrash{detected: q.cfg.Now(), done: make(chan struct{})}
	for r := range q.inFlight[inc] {
		p.requests = append(p.requests, r)
	}
	q.possibleCrashes[inc] = p
	q.mu.Unlock()
	q.wakeUp()
	q.wg.Go(func() {
		defer close(p.done)
		if q.cfg.ConnectionRefused(req.Address) {
			q.confirmCrash(inc, p)
		}
	})
	q.await(p)
	q.mu.Lock()
	defer q.mu.Unlock()
	return p.confirmed
}

// await waits for the check of a possible crash.
func (q *Quarantiner) await(p *possibleCrash) {
	if q.cfg.MaxCheck <= 0 {
		<-p.done
		return
	}
	t := time.NewTimer(q.cfg.MaxCheck)
	defer t.Stop()
	select {
	case <-p.done:
	case <-t.C:
	}
}

// add adds req to the requests and reports whether it was missing. The caller holds Quarantiner.mu.
func (p *possibleCrash) add(req *sender.Request) bool {
	for _, r := range p.requests {
		if r == req {
			return false
		}
	}
	p.requests = append(p.requests, req)
	return true
}

// removeAnswered removes the requests with a fingerprint that has been answered since, unless the crash is confirmed.
// The caller holds Quarantiner.mu.
func (p *possibleCrash) removeAnswered(fingerprint string) {
	if p.confirmed {
		return
	}
	p.requests = slices.DeleteFunc(p.requests, func(r *sender.Request) bool { return Fingerprint(r) == fingerprint })
}

func (q *Quarantiner) confirmCrash(inc serverIncarnation, p *possibleCrash) {
	q.mu.Lock()
	p.confirmed = true
	requests := append([]*sender.Request(nil), p.requests...)
	q.mu.Unlock()
	if q.cfg.OnCrash != nil {
		q.cfg.OnCrash(inc.key, inc.incarnation, len(requests))
	}
	q.recordCrash(inc, requests, p.detected)
}

// confirmCrashes confirms the possible crashes of backend servers whose lease has ended or that run as a newer incarnation.
func (q *Quarantiner) confirmCrashes() {
	q.mu.Lock()
	now := q.cfg.Now()
	unconfirmed := make(map[serverIncarnation]*possibleCrash)
	for inc, p := range q.possibleCrashes {
		if now.Sub(p.detected) > confirmWithin {
			delete(q.possibleCrashes, inc)
		} else if !p.confirmed {
			unconfirmed[inc] = p
		}
	}
	q.mu.Unlock()
	for inc, p := range unconfirmed {
		if s, ok := q.cfg.Find(inc.key); !ok || s.Incarnation > inc.incarnation {
			q.confirmCrash(inc, p)
		}
	}
}

// trackedBody is a response body that reports whether it was read to its end.
type trackedBody struct {
	io.ReadCloser
	q   *Quarantiner
	req *sender.Request
	// notRun is set for a refusal: it doesn't tell what the request does to a server that runs it.
	notRun bool
	unlock func()
	done   bool
}

// Read reads the body and reports its end or failure to the Quarantiner.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || b.done {
		return n, err
	}
	b.done = true
	switch {
	case err == io.EOF && b.notRun:
		b.q.removeInFlight(b.req)
	case err == io.EOF:
		b.q.handleResponse(b.req)
	default:
		b.q.handleError(b.req, err)
	}
	b.unlock()
	return n, err
}

// Close closes the body; a request whose response was not read to its end counts neither as answered nor as failed.
func (b *trackedBody) Close() error {
	if !b.done {
		b.done = true
		b.q.removeInFlight(b.req)
		b.unlock()
	}
	return b.ReadCloser.Close()
}
