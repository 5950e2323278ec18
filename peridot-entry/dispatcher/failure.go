package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/limiter"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/quarantiner"
	"peridotswitch.example/peridot-entry/sender"
)

const (
	// defaultRetryAfter is the Retry-After of calls without an objective, and its upper bound for calls with one.
	defaultRetryAfter    = time.Second
	deferrableRetryAfter = 5 * time.Second
)

var errShed = errors.New("the backend server shed the call")

// errWrongServer is the error for a response that another server seems to have sent, which doesn't prove that the picked one hasn't run the call.
var errWrongServer = errors.New("another backend server seems to have the address")

var errRevoked = errors.New("the key of the call has been withdrawn")

var errStopping = errors.New("this entry stops before the call could end")

// provesNotRun reports whether err proves that no backend server ran the attempt.
func provesNotRun(err error) bool {
	var se *sender.Error
	if errors.As(err, &se) {
		return !se.Written
	}
	var shed *limiter.ShedError
	var paused *picker.PausedError
	return isContained(err) || errors.Is(err, picker.ErrEvacuated) || errors.Is(err, errStopping) || errors.Is(err, errRevoked) || errors.As(err, &paused) || errors.Is(err, errShed) || errors.Is(err, picker.ErrNoServer) || errors.Is(err, picker.ErrFull) || errors.Is(err, picker.ErrRateLimited) || errors.As(err, &shed)
}

// isStopping reports whether a call failed because this entry stops.
func isStopping(ctx context.Context, err error) bool {
	return errors.Is(err, errStopping) || errors.Is(context.Cause(ctx), errStopping)
}

// isContained reports whether the request was refused because requests like it crash backend servers.
func isContained(err error) bool {
	var contained *quarantiner.Error
	return errors.As(err, &contained)
}

// retryAfterDelay returns the Retry-After of a refusal that tells nothing of when there will be capacity. For a call with an objective it is random, so that refused callers don't
// return all at once, and short enough to leave time before the deadline.
func (x *execution) retryAfterDelay() time.Duration {
	if x.call.Rule.Objective <= 0 {
		return defaultRetryAfter
	}
	maxDelay := min(time.Duration(maxRetryAfterShare*float64(x.call.remaining())), defaultRetryAfter)
	return maxDelay/4 + rand.N(max(maxDelay/2, 1))
}

// maxRetryAfterShare bounds Retry-After to a share of the time until the deadline.
const maxRetryAfterShare = 1.0 / 3

// refusalCause returns why no backend server ran the call, as the metrics and the log name it.
func (x *execution) refusalCause(ctx context.Context, err error) string {
	var shed *limiter.ShedError
	var paused *picker.PausedError
	switch {
	case isStopping(ctx, err):
		return "stopping"
	case errors.Is(err, errRevoked):
		return "key-withdrawn"
	case isContained(err):
		return "crashes-servers"
	case errors.As(err, &shed):
		return "entry-limit"
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "deadline"
	case errors.Is(ctx.Err(), context.Canceled):
		return "caller-left"
	case errors.Is(err, errShed):
		return "servers-shed"
	case errors.Is(err, picker.ErrEvacuated):
		return "servers-evacuated"
	case errors.Is(err, picker.ErrNoServer):
		return "no-server"
	case x.yielding == yieldsToAccounts && lacksCapacity(err):
		return "account-share"
	case errors.Is(err, picker.ErrFull):
		return "servers-full"
	case errors.Is(err, picker.ErrRateLimited):
		return "servers-limited"
	case errors.As(err, &paused):
		return "servers-paused"
	}
	return "no-connection"
}

// fail returns the error of a call that got no response, and releases the permit.
func (x *execution) fail(ctx context.Context, err error) *Error {
	x.releasePermit(errors.Is(err, errShed) || errors.Is(err, picker.ErrFull))
	x.call.Trace.Unlisted = x.attemptCount - len(x.call.Trace.Attempts)
	e := &Error{Outcome: x.outcome, Status: http.StatusBadGateway, Err: err}
	if x.outcome == NotRun {
		x.call.Trace.Cause = x.refusalCause(ctx, err)
		x.recordRefused(err)
	}
	var shed *limiter.ShedError
	var contained *quarantiner.Error
	var paused *picker.PausedError
	switch {
	case errors.As(err, &contained):
		e.Status, e.RetryAfter = http.StatusUnprocessableEntity, contained.RetryAfter
	case isStopping(ctx, err) && x.outcome == NotRun, errors.Is(err, errRevoked):
		e.Status = http.StatusServiceUnavailable
	case errors.As(err, &shed):
		e.Status, e.RetryAfter = http.StatusServiceUnavailable, shed.RetryAfter
	case errors.As(err, &paused):
		e.Status, e.RetryAfter = http.StatusServiceUnavailable, paused.RetryAfter+x.retryAfterDelay()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Status = http.StatusGatewayTimeout
	case lacksCapacity(err):
		e.Status, e.RetryAfter = http.StatusServiceUnavailable, x.returnDelay(time.Now())
	case errors.Is(err, picker.ErrNoServer), errors.Is(err, picker.ErrEvacuated):
		e.Status, e.RetryAfter = http.StatusServiceUnavailable, x.retryAfterDelay()
	}
	return e
}
