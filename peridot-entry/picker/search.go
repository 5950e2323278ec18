package picker

import "math"

// Search says how long a call looks for a server with room before it is refused or goes to a slow one.
type Search struct {
	// Waits is how many times the call may wait shortly and pick again while its objective allows it.
	Waits int
	// ExtraProbes is how many servers may be probed for a call beyond the first round, on average over the entry's calls.
	ExtraProbes float64
	// ScheduleReturns says that callers that are refused get a time to return at the rate that can be served. Services of servers with more
	// slots keep the delays that they had: there, fewer calls are refused, and the schedule was not measured.
	ScheduleReturns bool
}

const (
	// fewSlots is the number of slots up to which one call more or less decides whether a server has room below its knee. At half of its
	// capacity a service of such servers has room at fewer than one in three: the others are slowed or hold a call already.
	fewSlots = 3
)

// defaultSearch suits servers with more slots, of which nearly all have room at moderate load; fewSlotsSearch those with few.
var (
	defaultSearch  = Search{Waits: 2, ExtraProbes: 4}
	fewSlotsSearch = Search{Waits: 6, ExtraProbes: 8, ScheduleReturns: true}
)

// Search returns how long a call looks for a server of a service.
func (p *Picker) Search(service string) Search {
	g := p.group(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fewSlots {
		return fewSlotsSearch
	}
	return defaultSearch
}

// hasFewSlots reports whether no server of the service has more than fewSlots slots.
func (g *group) hasFewSlots() bool {
	for _, s := range g.servers {
		if s.announced.Slots > fewSlots {
			return false
		}
	}
	return len(g.servers) > 0
}

// suitableLimit is how many calls a server may hold, the new one included, for the search to end there. A server with few slots that holds a
// call already is chosen only when the search has found none that is idle or below its knee.
func (g *group) suitableLimit(r *Request, s *server) float64 {
	limit := g.callLimit(r, s)
	if s.announced.Slots > fewSlots {
		return limit
	}
	return min(limit, max(math.Floor(kneeUtilization*float64(s.announced.Slots)), 1))
}
