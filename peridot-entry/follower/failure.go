package follower

import (
	"strings"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
)

// Cause is the kind of a failed watch.
type Cause string

// Causes of failed watches. The last two are not expected to end by a retry.
const (
	// Unreachable: no response, or the member can't reply now.
	Unreachable Cause = "unreachable"
	// Request: the request can't be encoded, or control refuses it.
	Request Cause = "request"
	// Reply: control can't encode the reply, or this entry can't read it.
	Reply Cause = "reply"
)

// failuresUntilStuck is how many watches in a row fail by their request or reply until that counts as lasting: a single member may have
// an earlier version, or no memory for a request at the moment.
const failuresUntilStuck = 3

// causeOf returns the cause of a failed watch.
func causeOf(err error) Cause {
	var encoding *encodingError
	if errors.As(err, &encoding) {
		return Request
	}
	var te twirp.Error
	if !errors.As(err, &te) {
		return Reply
	}
	switch te.Code() {
	case twirp.Malformed, twirp.InvalidArgument, twirp.OutOfRange, twirp.BadRoute, twirp.Unimplemented, twirp.PermissionDenied, twirp.Unauthenticated:
		return Request
	case twirp.Internal:
		// The generated code has no other sign that a message could not be encoded or decoded.
		if strings.HasPrefix(te.Msg(), "failed to marshal") || strings.HasPrefix(te.Msg(), "failed to unmarshal") {
			return Reply
		}
	}
	return Unreachable
}

// encodingError reports a watch request that can't be encoded.
type encodingError struct{ err error }

func (e *encodingError) Error() string { return "encode the request: " + e.err.Error() }

// stuck counts the watches since the last answered one that retries can't mend.
type stuck struct {
	count int
	err   error
}

// add counts a failed watch. It returns true when the failures become lasting.
func (s *stuck) add(cause Cause, err error) (began bool) {
	if cause == Unreachable {
		return false
	}
	s.count, s.err = s.count+1, err
	return s.count == failuresUntilStuck
}

// recordFailure tells the callbacks of a failed watch, and of failures that last.
func (w *watcher) recordFailure(err error) {
	f := w.f
	f.cfg.OnError(errors.WithMessage(err, "watch configuration"))
	cause := causeOf(err)
	if f.cfg.OnWatchFailure != nil {
		f.cfg.OnWatchFailure(cause)
	}
	began := w.stuck.add(cause, err)
	if began {
		f.setStuck(errors.WithMessagef(err, "watches fail for a reason that retries can't mend (%s)", cause))
	}
	if cause == Request && w.stuck.count >= failuresUntilStuck && f.cfg.OnRejected != nil {
		f.cfg.OnRejected()
	}
}

// recordSuccess ends a series of failures.
func (w *watcher) recordSuccess() {
	w.lastWatchFailed = false
	w.backoff.reset()
	clear(w.failedMembers)
	if w.stuck.count >= failuresUntilStuck {
		w.f.setStuck(nil)
	}
	w.stuck = stuck{}
}

func (f *Follower) setStuck(err error) {
	f.stuck.Store(&err)
	if f.cfg.OnStuck != nil {
		f.cfg.OnStuck(err)
	}
}

// Stuck returns why this entry can't follow control although control responds, or nil if it can. Such an entry goes on with the
// configuration that it has.
func (f *Follower) Stuck() error {
	if err := f.stuck.Load(); err != nil {
		return *err
	}
	return nil
}
