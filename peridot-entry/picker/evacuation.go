package picker

import (
	"slices"

	"peridotswitch.example/peridot-entry/registrar"
)

func (cfg *Config) evacuatedZones() []string {
	if cfg.EvacuatedZones == nil {
		return nil
	}
	return cfg.EvacuatedZones()
}

// announced returns all servers of the service, also those in evacuated availability zones: their calls in flight still end.
func (g *group) announced() []*server {
	if len(g.evacuated) == 0 {
		return g.servers
	}
	return slices.Concat(g.servers, g.evacuated)
}

// areEvacuated reports whether all of the keys are of servers in evacuated availability zones. A call that has probed them before the
// evacuation picks among the others.
func (g *group) areEvacuated(keys []registrar.Key) bool {
	if len(g.evacuated) == 0 {
		return false
	}
	return !slices.ContainsFunc(keys, func(k registrar.Key) bool {
		return !slices.ContainsFunc(g.evacuated, func(s *server) bool { return s.announced.InstanceID == k.InstanceID })
	})
}

// isSameList reports whether two lists that are replaced on each change are the same one.
func isSameList(a, b []string) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
