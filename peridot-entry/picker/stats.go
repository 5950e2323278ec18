package picker

import "time"

// Reading is the load of one backend server as this entry knows it.
type Reading struct {
	InstanceID string
	// InFlight is the exact number of this entry's own calls in flight.
	InFlight int
	// Reported is the number of calls in flight that the backend server reported last. ReportedAt is when it last reported its load
	// or shed a call, zero before that.
	Reported   int
	ReportedAt time.Time
	// Ejected is true while the backend server gets no calls but trials.
	Ejected bool
}

// Readings returns the load of the service's backend servers, as of the last call to the service.
func (p *Picker) Readings(service string) (readings []Reading) {
	g := p.group(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := p.cfg.Now()
	for _, s := range g.servers {
		readings = append(readings, Reading{
			InstanceID: s.announced.InstanceID,
			InFlight:   s.inFlight,
			Reported:   s.reportedInFlight,
			ReportedAt: s.reportedAt,
			Ejected:    now.Before(s.ejectedUntil),
		})
	}
	return readings
}
