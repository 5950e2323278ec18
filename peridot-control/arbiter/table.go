package arbiter

import (
	"cmp"
	"slices"
	"strings"
)

// ServerState is the state of a backend server.
type ServerState string

// The values of ServerState.
const (
	Ready    ServerState = "ready"
	Draining ServerState = "draining"
	// Left is the final state of an incarnation: the server has stopped or been replaced.
	Left ServerState = "left"
	// Lost is the state of a server whose lease has expired; its next announcement restores it.
	Lost ServerState = "lost"
)

// Server is one incarnation of a backend server: one run of its process.
type Server struct {
	Service          string `json:"service"`
	InstanceID       string `json:"instance-id"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	Slots            int    `json:"slots"`
	// Started is the Unix time in ms at which the incarnation started. It orders incarnations with the same id or address.
	Started int64 `json:"started"`
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64      `json:"sequence"`
	State    ServerState `json:"state"`
	WarmUpMS int         `json:"warm-up-ms,omitempty"`
	// Restarted is set in an announcement of an incarnation that is known to be later than the recorded one although its start time is earlier,
	// because the server's clock has gone back. Records don't have it.
	Restarted bool `json:"restarted,omitempty"`
	// Version is the table version in which this record last changed.
	Version uint64 `json:"version"`
}

// maxTombstones is the maximum number of left and lost servers that are kept, so that delayed announcements can't revive them.
const maxTombstones = 512

// Table holds the backend servers that have announced themselves. It is deterministic: the same commands result in the same table on
// every member.
type Table struct {
	// Version increases with each change of the table.
	Version uint64 `json:"version"`
	// CompactedVersion is the highest version of a tombstone that has been dropped.
	CompactedVersion uint64             `json:"floor"`
	Servers          map[string]*Server `json:"servers"`
}

// NeedsUpdate reports whether an announcement would change the table's record of its server. One that only renews the server's lease
// doesn't.
func (t *Table) NeedsUpdate(s *Server) bool {
	old := t.Servers[s.InstanceID]
	if old == nil {
		return s.State != Lost
	}
	switch {
	case s.State == Lost:
		// A later announcement than the one whose lease has expired renews the lease.
		return s.Started == old.Started && old.isLive() && s.Sequence >= old.Sequence
	case s.Started == 0 && s.State == Left:
		return old.State != Left
	case s.Started < old.Started:
		return s.Restarted && s.isLive() && !old.isLive()
	case s.Started > old.Started:
		return true
	case old.State == Left:
		return false
	case s.State == Left:
		return true
	case s.Sequence <= old.Sequence:
		return false
	}
	return s.State != old.State || s.Address != old.Address || s.Service != old.Service || s.Slots != old.Slots || s.AvailabilityZone != old.AvailabilityZone
}

func (t *Table) apply(servers []Server) {
	for i := range servers {
		t.applyServer(servers[i])
	}
}

func (t *Table) applyServer(s Server) {
	if !t.NeedsUpdate(&s) {
		return
	}
	if t.Servers == nil {
		t.Servers = make(map[string]*Server)
	}
	old, superseded := t.Servers[s.InstanceID], t.isSuperseded(&s)
	if superseded {
		// An earlier announcement that arrives once the address is free must not undo this one.
		s.State = Lost
	}
	if old != nil && !s.isLive() {
		s = old.ended(&s)
	}
	if !superseded || old != nil && old.isLive() {
		t.Version++
	}
	s.Version, s.Restarted = t.Version, false
	t.Servers[s.InstanceID] = &s
	t.supersedeOlder(&s)
	t.trimTombstones()
}

// ended returns the record of s after last, which says that the server has left or is lost. A leave without a start time ends the recorded
// incarnation, any other the one that it names, so that late announcements of that one change nothing.
func (s *Server) ended(last *Server) Server {
	out := *s
	out.State = last.State
	if last.Started > s.Started {
		out.Started, out.Sequence = last.Started, last.Sequence
	} else {
		out.Sequence = max(last.Sequence, s.Sequence)
	}
	return out
}

// isSuperseded reports whether a later incarnation is live at the address of s, which makes s out of date whenever it arrives.
func (t *Table) isSuperseded(s *Server) bool {
	if s.State != Ready && s.State != Draining {
		return false
	}
	for _, o := range t.Servers {
		if o.Address == s.Address && o.InstanceID != s.InstanceID && o.isLive() && o.Started > s.Started {
			return true
		}
	}
	return false
}

// supersedeOlder marks older incarnations at the address of s as left, since only one process can listen there.
func (t *Table) supersedeOlder(s *Server) {
	if !s.isLive() {
		return
	}
	for _, o := range t.Servers {
		if o.Address == s.Address && o.InstanceID != s.InstanceID && o.isLive() && o.Started <= s.Started {
			t.Version++
			left := *o
			left.State, left.Version = Left, t.Version
			t.Servers[o.InstanceID] = &left
		}
	}
}

func (s *Server) isLive() bool { return s.State == Ready || s.State == Draining }

// trimTombstones drops the oldest tombstones above maxTombstones.
func (t *Table) trimTombstones() {
	var tombstones []*Server
	for _, s := range t.Servers {
		if !s.isLive() {
			tombstones = append(tombstones, s)
		}
	}
	if len(tombstones) <= maxTombstones {
		return
	}
	slices.SortFunc(tombstones, compareVersions)
	for _, s := range tombstones[:len(tombstones)-maxTombstones] {
		t.CompactedVersion = max(t.CompactedVersion, s.Version)
		delete(t.Servers, s.InstanceID)
	}
}

// ChangesSince returns the servers that have changed after version, ordered by version. When tombstones after version have been
// dropped, or version is 0, it returns the live servers instead, and full is true.
func (t *Table) ChangesSince(version uint64) (changed []Server, full bool) {
	full = version < t.CompactedVersion || version == 0
	for _, s := range t.Servers {
		if s.Version > version && (!full || s.isLive()) {
			changed = append(changed, *s)
		}
	}
	slices.SortFunc(changed, func(a, b Server) int { return compareVersions(&a, &b) })
	return changed, full
}

// compareVersions orders records by version. Some share one; all members must drop the same tombstones.
func compareVersions(a, b *Server) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), strings.Compare(a.InstanceID, b.InstanceID))
}
