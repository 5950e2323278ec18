package supervisor

import (
	"context"
	"slices"

	"github.com/rs/zerolog"

	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

type sendFunc func(context.Context, *sender.Request) (*sender.Response, error)

// evacuations tells which backend servers are in evacuated availability zones. The picker leaves these out; what was picked before a zone was
// evacuated and has waited since then is stopped here.
type evacuations struct {
	// zones returns the evacuated zones, find a backend server that is announced.
	zones func() []string
	find  func(registrar.Key) (registrar.Server, bool)
}

// has reports whether a backend server is in an evacuated zone.
func (e evacuations) has(k registrar.Key) bool {
	zones := e.zones()
	if len(zones) == 0 {
		return false
	}
	s, ok := e.find(k)
	return ok && slices.Contains(zones, s.AvailabilityZone)
}

// without returns the servers that are not in evacuated zones.
func (e evacuations) without(servers []registrar.Server) []registrar.Server {
	zones := e.zones()
	if len(zones) == 0 {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s registrar.Server) bool { return slices.Contains(zones, s.AvailabilityZone) })
}

// guard returns a function that sends what may be sent, and fails with picker.ErrEvacuated for the rest.
func (e evacuations) guard(send sendFunc) sendFunc {
	return func(ctx context.Context, req *sender.Request) (*sender.Response, error) {
		if e.has(req.Server) {
			return nil, picker.ErrEvacuated
		}
		return send(ctx, req)
	}
}

// maxLoggedZones bounds the zones that a log line names.
const maxLoggedZones = 16

func logEvacuated(log zerolog.Logger, zones []string) {
	log.Info().Strs("zones", zones[:min(len(zones), maxLoggedZones)]).Int("evacuated", len(zones)).Msg("evacuated availability zones changed")
}
