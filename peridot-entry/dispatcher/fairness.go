package dispatcher

import (
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/limiter"
	"peridotswitch.example/peridot-entry/picker"
)

// yielding is why a call takes only the capacity that others leave: it doesn't wait for a slot, and the picker gives it none that a call in
// time could use.
type yielding int

const (
	yieldsToNone yielding = iota
	// yieldsToAccounts is that of a call beyond the fair share of its account.
	yieldsToAccounts
	// yieldsToOthers is that of a call whose caller has returned before any refusal would have asked it to.
	yieldsToOthers
)

// countFairShare counts the call among those of its account.
func (x *execution) countFairShare() {
	if x.call.Rule.Objective <= 0 || x.call.Rule.Priority == parser.Deferrable {
		return
	}
	weight := 0.0
	if x.call.LimitedBy != nil {
		weight = x.call.LimitedBy.Rate
	}
	x.fair = x.d.shares.Begin(x.call.Service, x.call.Rule.Rank, x.call.Account, weight, time.Now())
	x.draw = x.d.draw()
}

// updateYielding decides anew whether the call takes only the capacity that others leave.
func (x *execution) updateYielding(now time.Time) {
	x.yielding = yieldsToNone
	switch {
	case x.fair == nil:
	case x.fair.IsBeyond(x.draw, now):
		x.yielding = yieldsToAccounts
	case x.d.cfg.ScheduleReturns(x.call.Service) && x.fair.IsShort(now) && limiter.IsEarlyReturn(x.call.Waited, x.call.Rule.Objective.Std()):
		x.yielding = yieldsToOthers
	}
}

// mustYield reports whether the call takes only the capacity that others leave, because it is late or for a reason of updateYielding.
func (x *execution) mustYield() bool { return x.yielding != yieldsToNone || x.isLate() }

// lacksCapacity reports whether err is a refusal because all servers that could take the call had as many calls as they take.
func lacksCapacity(err error) bool {
	return errors.Is(err, picker.ErrFull) || errors.Is(err, picker.ErrRateLimited) || errors.Is(err, errShed)
}

// recordFull records that the call found no capacity. That of a call that must yield proves no shortage, nor does a pick among fast servers.
func (x *execution) recordFull(err error) {
	if x.fair != nil && lacksCapacity(err) && !x.mustYield() {
		x.fair.RecordFull(time.Now())
	}
}

// recordRefused records that the call is refused with err.
func (x *execution) recordRefused(err error) {
	if x.fair != nil && lacksCapacity(err) {
		x.fair.RecordRefused(time.Now())
	}
}

// returnDelay returns the Retry-After of a refusal for lack of capacity: for a call with an objective, when capacity is expected for its
// caller.
func (x *execution) returnDelay(now time.Time) time.Duration {
	objective := x.call.Rule.Objective.Std()
	most := x.call.remaining() - x.serviceTime()
	if x.fair == nil || !x.d.cfg.ScheduleReturns(x.call.Service) || most <= limiter.LeastReturnDelay(objective) {
		return x.retryAfterDelay()
	}
	return x.d.returns.Delay(limiter.ReturnRequest{
		Service: x.call.Service, Least: limiter.LeastReturnDelay(objective), Most: most, Beyond: x.yielding == yieldsToAccounts, Draw: x.d.draw(),
	}, now)
}

// serviceTime returns about how long an attempt takes: the 95th percentile of recent ones, once there are enough.
func (x *execution) serviceTime() time.Duration {
	if p95, ok := x.service.latency.value(); ok {
		return p95
	}
	return time.Duration(serviceTimeShare * float64(x.call.Rule.Objective))
}
