package picker

import "time"

// ServerStats is the load of one backend server as this entry knows it.
type ServerStats struct {
	InstanceID string
	// InFlight is the exact number of this entry's own calls in flight.
	InFlight int
	// ReportedInFlight is the number of calls in flight that the backend server reported last. ReportedAt is when it last reported its
	// load or shed a call, zero before that.
	ReportedInFlight int
	ReportedAt       time.Time
	// Ejected is true while the backend server gets no calls but trials.
	Ejected bool
}

// Stats returns the load of the service's backend servers, as of the last call to the service.
func (p *Picker) Stats(service string) (stats []ServerStats) {
	g := p.group(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := p.cfg.Now()
	for _, s := range g.announced() {
		stats = append(stats, ServerStats{
			InstanceID:       s.announced.InstanceID,
			InFlight:         s.inFlight,
			ReportedInFlight: s.reportedInFlight,
			ReportedAt:       s.reportedAt,
			Ejected:          now.Before(s.ejectedUntil),
		})
	}
	return stats
}
