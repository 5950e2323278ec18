package picker

import (
	"time"

	"peridotswitch.example/peridot-entry/registrar"
)

// MarkDraining records that the server has said in the header of its response that it drains. The attempt need not have ended.
func (c *Choice) MarkDraining() {
	if c.group == nil {
		return
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.group.markDraining(c.server)
}

// MarkDraining records that a server has said in its response to a probe that it drains.
func (p *Picker) MarkDraining(probed *registrar.Server) {
	p.updateProbed(probed, func(g *group, s *server, _ time.Time) { g.markDraining(s) })
}

// markDraining keeps calls away from an incarnation of a server. Its own word counts beside its announcements, which may reach this entry
// late or, while control is out of reach, not at all.
func (g *group) markDraining(s *server) {
	if s.drains {
		return
	}
	s.drains = true
	if g.onDraining != nil {
		g.onDraining(s.announced.Key())
	}
}

// endsDraining reports whether an announcement takes back an earlier one that said that the server drains.
func (s *server) endsDraining(next *registrar.Server) bool {
	return s.announced.State == registrar.Draining && next.State == registrar.Ready && next.Sequence > s.announced.Sequence
}
