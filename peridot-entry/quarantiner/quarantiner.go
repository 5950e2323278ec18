package quarantiner

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// Config configures a Quarantiner; fields are required unless they say otherwise.
type Config struct {
	Now  func() time.Time
	Send func(context.Context, *sender.Request) (*sender.Response, error)
	// ConnectionRefused reports whether an address refuses connections because no process listens there.
	ConnectionRefused func(address string) bool
	// Find returns a backend server whose lease has not ended.
	Find func(registrar.Key) (registrar.Server, bool)
	// Expiry is how long a crash counts, and how long a request is refused after its last crash; DefaultExpiry when zero.
	Expiry time.Duration
	// Share sends the suspects with these fingerprints, which have changed, to the other entries and waits briefly for their acknowledgement.
	// It is nil for an entry that reports to control.
	Share func(fingerprints []string)
	// OnReport is called when there is something to report to control; nil for an entry that shares with the others.
	OnReport func()
	// Isolate makes suspects run one after the other at all entries, so that no harmless one is in flight in the next crash.
	Isolate bool
	// MaxCheck is how long a failed request waits for the check whether its backend server crashed; 0 for no limit.
	MaxCheck time.Duration
	// OnCrash is called for each crash with the number of this entry's requests in flight there; nil for no call.
	OnCrash func(key registrar.Key, incarnation uint64, requests int)
	// OnChange is called when a request begins to be refused and when it no longer is.
	OnChange func(c ContainedRequest, refused bool)
}

const (
	// DefaultExpiry is used when Config.Expiry is zero.
	DefaultExpiry = 10 * time.Minute
	// crashesToContain is the number of crashes after which a request is refused.
	crashesToContain = 2
	// sharedExpiry bounds how long a request is refused when another request was in flight in the same crashes: only one of them may be the cause.
	sharedExpiry = 30 * time.Second
	// confirmWithin is how long after a lost connection the end of the backend server's lease or a newer incarnation counts as its crash.
	confirmWithin   = 3 * time.Second
	confirmInterval = 50 * time.Millisecond
	// expireInterval is how often expired suspects are looked for.
	expireInterval = time.Second
	maxSuspects    = 1024
)

// ContainedRequest is a request that is refused.
type ContainedRequest struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	// Servers are the instance ids of the backend servers that crashed with the request in flight.
	Servers []string `json:"crashed"`
	// Until is when the request is no longer refused.
	Until time.Time `json:"until"`
}

// maxRetryAfter bounds Error.RetryAfter: the request may be released before the refusal would end.
const maxRetryAfter = time.Minute

// Error is the refusal of a request that crashes backend servers; no byte of the request was sent.
type Error struct {
	ContainedRequest
	// RetryAfter is how long the caller should wait before it sends the request again.
	RetryAfter time.Duration
}

// Error returns a message with the fingerprint, the backend servers that crashed and the end of the refusal.
func (e *Error) Error() string {
	return fmt.Sprintf("the request with fingerprint %s was in flight when backend servers %v crashed; it is refused until %s",
		e.Fingerprint, e.Servers, e.Until.UTC().Format(time.RFC3339))
}

// serverIncarnation is one run of a backend server's process.
type serverIncarnation struct {
	key         registrar.Key
	incarnation uint64
}

// Quarantiner sends requests, records which of them were in flight when backend servers crashed, and refuses those that caused it.
type Quarantiner struct {
	cfg Config

	mu              sync.Mutex
	inFlight        map[serverIncarnation]map[*sender.Request]bool
	possibleCrashes map[serverIncarnation]*possibleCrash
	// suspects are keyed by fingerprint.
	suspects map[string]*suspect
	locks    map[serverIncarnation]*serverLock
	// unreported holds what control has not acknowledged.
	unreported map[reportKey]*CrashReport

	wake   chan struct{}
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a Quarantiner; Close stops it.
func New(cfg Config) *Quarantiner {
	if cfg.Expiry == 0 {
		cfg.Expiry = DefaultExpiry
	}
	ctx, cancel := context.WithCancel(context.Background())
	q := &Quarantiner{
		cfg:             cfg,
		inFlight:        make(map[serverIncarnation]map[*sender.Request]bool),
		possibleCrashes: make(map[serverIncarnation]*possibleCrash),
		suspects:        make(map[string]*suspect),
		locks:           make(map[serverIncarnation]*serverLock),
		unreported:      make(map[reportKey]*CrashReport),
		wake:            make(chan struct{}, 1),
		cancel:          cancel,
	}
	q.wg.Go(func() {
		for ctx.Err() == nil {
			q.confirmCrashes()
			q.expire()
			q.sleep(ctx)
		}
	})
	return q
}

// sleep waits until the next check is due, which is never while there is nothing to check.
func (q *Quarantiner) sleep(ctx context.Context) {
	q.mu.Lock()
	var due <-chan time.Time
	switch {
	case len(q.possibleCrashes) > 0:
		due = time.After(confirmInterval)
	case len(q.suspects) > 0:
		due = time.After(expireInterval)
	}
	q.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-due:
	case <-q.wake:
	}
}

// wakeUp makes the background checks run now, since there is something to check.
func (q *Quarantiner) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Close stops the background checks and waits for them to end.
func (q *Quarantiner) Close() {
	q.cancel()
	q.wg.Wait()
}

// Send sends one attempt, or returns an *Error when the request is refused. The caller must close the response's body.
func (q *Quarantiner) Send(ctx context.Context, req *sender.Request) (*sender.Response, error) {
	suspected, err := q.admit(req)
	if err != nil {
		return nil, err
	}
	unlock := func() {}
	if suspected && q.cfg.Isolate {
		if err = q.stagger(ctx, req); err != nil {
			return nil, err
		}
		if unlock, err = q.lockServer(ctx, req); err != nil {
			return nil, err
		}
		// Another entry may have recorded the second crash during the wait.
		if _, err = q.admit(req); err != nil {
			unlock()
			return nil, err
		}
	}
	q.addInFlight(req)
	res, err := q.cfg.Send(ctx, req)
	if err != nil {
		q.handleError(req, err)
		unlock()
		return nil, err
	}
	res.Body = &trackedBody{ReadCloser: res.Body, q: q, req: req, notRun: res.Shed || res.WrongServer, unlock: unlock}
	return res, nil
}

// List returns the requests that are refused now, sorted by Until with the latest first.
func (q *Quarantiner) List() []ContainedRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	out := []ContainedRequest{}
	for _, s := range q.suspects {
		if until := q.refusedUntil(s); now.Before(until) {
			out = append(out, s.contained(until))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Until.After(out[j].Until) })
	return out
}

// Lift ends the refusal of a request at every entry; it returns false when the request isn't refused here.
func (q *Quarantiner) Lift(fingerprint string) bool {
	q.mu.Lock()
	s := q.suspects[fingerprint]
	lifted := s != nil && q.cfg.Now().Before(q.refusedUntil(s))
	if lifted {
		s.clear(q.cfg.Now())
	}
	q.mu.Unlock()
	if lifted {
		q.share([]string{fingerprint})
		q.notifyChange(s)
	}
	return lifted
}

// share shares suspects that have changed, or tells that they are to be reported.
func (q *Quarantiner) share(fingerprints []string) {
	if len(fingerprints) == 0 {
		return
	}
	if q.cfg.Share != nil {
		q.cfg.Share(fingerprints)
	}
	if q.cfg.OnReport != nil {
		q.cfg.OnReport()
	}
}

// Admit returns an *Error when the request is refused. Send does the same for the requests that it sends.
func (q *Quarantiner) Admit(req *sender.Request) error {
	_, err := q.admit(req)
	return err
}

// admit returns an *Error when the request is refused; suspected reports whether it was in flight in a crash that counts.
func (q *Quarantiner) admit(req *sender.Request) (suspected bool, err error) {
	q.mu.Lock()
	hasSuspects := len(q.suspects) > 0
	q.mu.Unlock()
	if !hasSuspects {
		return false, nil
	}
	fingerprint := Fingerprint(req)
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[fingerprint]
	if s == nil {
		return false, nil
	}
	if until, now := q.refusedUntil(s), q.cfg.Now(); now.Before(until) {
		return true, &Error{s.contained(until), min(until.Sub(now), maxRetryAfter)}
	}
	return len(s.crashes) > 0, nil
}

func (q *Quarantiner) addInFlight(req *sender.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	inc := serverIncarnation{req.Server, req.Incarnation}
	if q.inFlight[inc] == nil {
		q.inFlight[inc] = make(map[*sender.Request]bool)
	}
	q.inFlight[inc][req] = true
}

func (q *Quarantiner) removeInFlight(req *sender.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	inc := serverIncarnation{req.Server, req.Incarnation}
	delete(q.inFlight[inc], req)
	if len(q.inFlight[inc]) == 0 {
		delete(q.inFlight, inc)
	}
}

// handleError ends a request that failed. After a lost connection it returns only once the backend server has been checked for a crash,
// so that a retry is already sent as a suspect's.
func (q *Quarantiner) handleError(req *sender.Request, err error) {
	var se *sender.Error
	if errors.As(err, &se) && se.IsConnectionLost() && q.checkCrash(req) {
		se.Err = errors.WithMessagef(se.Err, "backend server %s crashed, the request's fingerprint is %s", req.Server.InstanceID, Fingerprint(req))
	}
	q.removeInFlight(req)
}

// handleResponse ends a request that a server has run and whose response was read to its end. Such a request doesn't crash servers, so it is
// no longer a suspect.
func (q *Quarantiner) handleResponse(req *sender.Request) {
	q.removeInFlight(req)
	q.mu.Lock()
	hasSuspects := len(q.suspects) > 0 || len(q.possibleCrashes) > 0
	q.mu.Unlock()
	if !hasSuspects {
		return
	}
	fingerprint := Fingerprint(req)
	q.mu.Lock()
	for _, p := range q.possibleCrashes {
		p.removeAnswered(fingerprint)
	}
	s := q.suspects[fingerprint]
	cleared := s != nil && (len(s.crashes) > 0 || s.listed)
	if cleared {
		q.reportCleared(s)
		s.clear(q.cfg.Now())
	}
	q.mu.Unlock()
	if cleared {
		q.share([]string{fingerprint})
		q.notifyChange(s)
	}
}
