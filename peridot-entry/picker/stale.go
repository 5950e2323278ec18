package picker

import (
	"math"
	"time"

	"peridotswitch.example/peridot-entry/registrar"
)

// Estimates that keep calls away from a server must end without calls, which alone could correct them: by themselves or by probes.
const (
	// reportTrust is the age up to which a load report counts fully in the mean load of a service's servers; from then on its weight halves
	// with each reportTrustHalfLife. Without that, servers that were all full at their last reports would count as full for good.
	reportTrust         = time.Second
	reportTrustHalfLife = time.Second
	// A server that has refused a call and closed the connection gets no calls for closingTime and up to closingSpread more, so that the
	// calls of all entries don't return at once. Control lists a server that stops sooner than that.
	closingTime   = 3 * time.Second
	closingSpread = time.Second
	// trialTimeout is how long an ejected server waits for a trial call before it gets calls like the others. Calls that may run only once
	// are no trials, and there may be no others.
	trialTimeout = 10 * time.Second
)

// meanWeight is the weight of others, the load that other entries cause, in the mean over the service's servers. Refusals, which only servers
// without a free place give, don't count in it: a mean of them alone would say that all servers are full.
func (s *server) meanWeight(now time.Time) float64 {
	return math.Exp2(-float64(max(now.Sub(s.reportedAt)-reportTrust, 0)) / float64(reportTrustHalfLife))
}

// endLapsedEjection ends an ejection if calls have been picked for trialTimeout and none of them was the trial that is due. The next ejection
// lasts as long as if it had not ended.
func (s *server) endLapsedEjection(now time.Time) {
	switch {
	case !s.isTrialDue(now):
	case s.trialDueAt.IsZero():
		s.trialDueAt = now
	case now.Sub(s.trialDueAt) >= trialTimeout:
		s.ejectedUntil, s.trialDueAt, s.unreachable = time.Time{}, time.Time{}, false
		s.failures = min(s.failures, ejectionThreshold/2)
	}
}

// MarkReachable ends the ejection of a server to which no connection could be opened, after a response from it to a probe.
func (p *Picker) MarkReachable(probed *registrar.Server) {
	p.updateProbed(probed, func(_ *group, s *server, _ time.Time) {
		if s.unreachable {
			s.restore()
		}
	})
}
