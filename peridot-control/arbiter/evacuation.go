package arbiter

import "slices"

// EvacuationChange evacuates an availability zone, or ends its evacuation.
type EvacuationChange struct {
	Zone string `json:"zone"`
	End  bool   `json:"end,omitempty"`
	// Version is the version of the list that the change was made from; nil for any, as in the logs of earlier builds.
	Version *uint64 `json:"version,omitempty"`
}

// maxEvacuatedZones limits the list, which is sent to every entry. It is far above the number of zones of a region; names that no server
// has are accepted too.
const maxEvacuatedZones = 256

// Evacuations lists the evacuated availability zones, sorted by name.
type Evacuations struct {
	// Version increases with each change of the list.
	Version uint64   `json:"version"`
	Zones   []string `json:"zones,omitempty"`
}

// Contains reports whether a zone is evacuated.
func (e *Evacuations) Contains(zone string) bool {
	_, found := slices.BinarySearch(e.Zones, zone)
	return found
}

// apply replaces Zones rather than change it, because readers may hold it. A repeated change is accepted and changes nothing. A change made
// from an earlier version is refused, because it may have been delayed and would undo later ones.
func (e *Evacuations) apply(c *EvacuationChange) ChangeResult {
	if c.Version != nil && *c.Version != e.Version {
		return ChangeResult{Outdated: true, Refusal: "the list of evacuated availability zones has changed"}
	}
	i, found := slices.BinarySearch(e.Zones, c.Zone)
	switch {
	case found != c.End:
		return ChangeResult{Accepted: true}
	case c.End:
		e.Zones = slices.Delete(slices.Clone(e.Zones), i, i+1)
	case len(e.Zones) >= maxEvacuatedZones:
		return ChangeResult{Refusal: "too many availability zones are evacuated; restore one first"}
	default:
		e.Zones = slices.Insert(slices.Clone(e.Zones), i, c.Zone)
	}
	e.Version++
	return ChangeResult{Accepted: true}
}

// ValidateZone returns an error for a name that can't be the name of an availability zone.
func ValidateZone(zone string) error { return validateName("availability zone", zone) }
