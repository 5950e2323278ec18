package picker

import (
	"time"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// updateProbed calls f with the state of the incarnation that was probed, unless the list has dropped or replaced it since.
func (p *Picker) updateProbed(probed *registrar.Server, f func(g *group, s *server, now time.Time)) {
	g := p.group(probed.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.announced() {
		if s.announced.InstanceID == probed.InstanceID && s.announced.Incarnation == probed.Incarnation {
			f(g, s, p.cfg.Now())
		}
	}
}

// ObserveProbe records the load report in a server's response to a probe.
func (p *Picker) ObserveProbe(probed *registrar.Server, load sender.Load) {
	p.updateProbed(probed, func(g *group, s *server, now time.Time) { g.observe(s, load, now) })
}

// observe records a load report that did not come with the response to a call.
func (g *group) observe(s *server, load sender.Load, now time.Time) {
	s.recordLoad(load, 0, now)
	g.endSilence(s, now)
	if s.unreachable {
		s.restore()
	}
}
