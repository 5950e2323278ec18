package quarantiner

import (
	"context"
	"time"

	"peridotswitch.example/peridot-entry/sender"
)

// serverLock lets one suspect at a time run at a backend server, so that only one suspect is in flight when the server crashes again.
type serverLock struct {
	held chan struct{}
	refs int
}

// lockServer waits for the lock of the request's backend server.
func (q *Quarantiner) lockServer(ctx context.Context, req *sender.Request) (unlock func(), err error) {
	inc := serverIncarnation{req.Server, req.Incarnation}
	q.mu.Lock()
	l := q.locks[inc]
	if l == nil {
		l = &serverLock{held: make(chan struct{}, 1)}
		q.locks[inc] = l
	}
	l.refs++
	q.mu.Unlock()
	unref := func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		if l.refs--; l.refs == 0 {
			delete(q.locks, inc)
		}
	}
	select {
	case l.held <- struct{}{}:
		return func() {
			<-l.held
			unref()
		}, nil
	case <-ctx.Done():
		unref()
		return nil, &sender.Error{Phase: sender.Connecting, Err: ctx.Err()}
	}
}

// staggerInterval is the time between the starts of two suspects of the same crash. It is longer than most calls take.
const staggerInterval = 80 * time.Millisecond

// stagger delays a suspect by staggerInterval for each suspect of the same crashes that sorts before it. All entries sort alike, so
// that no two suspects run at once, not even at different backend servers: if both of these crashed, nothing would tell the two apart.
// The delay shrinks when a suspect that sorts before this one is cleared.
func (q *Quarantiner) stagger(ctx context.Context, req *sender.Request) error {
	fingerprint := Fingerprint(req)
	began := q.cfg.Now()
	for {
		left := time.Duration(q.countBefore(fingerprint))*staggerInterval - q.cfg.Now().Sub(began)
		if left <= 0 {
			return nil
		}
		t := time.NewTimer(min(left, staggerInterval/8))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return &sender.Error{Phase: sender.Connecting, Err: ctx.Err()}
		}
	}
}

// countBefore counts the suspects of the same crashes that sort before a fingerprint and aren't refused.
func (q *Quarantiner) countBefore(fingerprint string) (n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[fingerprint]
	if s == nil {
		return 0
	}
	for _, other := range q.suspects {
		if other != s && other.fingerprint < s.fingerprint && len(other.crashes) > 0 && other.sharesCrash(s) && !q.cfg.Now().Before(q.refusedUntil(other)) {
			n++
		}
	}
	return n
}

func (s *suspect) sharesCrash(o *suspect) bool {
	for c := range s.crashes {
		if _, ok := o.crashes[c]; ok {
			return true
		}
	}
	return false
}
