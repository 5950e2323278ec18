package supervisor

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-control/arbiter"
	"peridotswitch.example/peridot-control/deliverer"
)

// store is the state machine to which committed log entries are applied; it is safe for concurrent use.
type store struct {
	mu      sync.Mutex
	arbiter *arbiter.Arbiter
	// listed is the set of entries in the current inventory.
	listed map[string]bool
	// changed is closed and replaced when the configuration, the table of backend servers, the list of contained requests or that of evacuated
	// availability zones changes.
	changed chan struct{}
	// routings are the most recent routing documents in the order in which they came into force, without gaps.
	routings []routingVersion
}

// routingVersion is a routing document and the revision that introduced it.
type routingVersion struct {
	since    uint64
	document []byte
}

// maxRoutingVersions is the number of routing documents kept as bases for delta encodings of the current one.
const maxRoutingVersions = 16

func newStore() *store {
	return &store{arbiter: arbiter.New(), changed: make(chan struct{})}
}

// apply applies a committed command and returns its arbiter.ChangeResult, or an error.
func (s *store) apply(command []byte) any {
	var cmd arbiter.Command
	if err := json.Unmarshal(command, &cmd); err != nil {
		return errors.WithMessage(err, "decode command from the log")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.versions()
	result := s.arbiter.Apply(cmd)
	s.recordRouting()
	switch now := s.versions(); {
	case now.Revision != before.Revision:
		s.refreshListed()
	case now != before:
		s.notifyWaiters()
	}
	return result
}

// versions returns the versions of the state; the caller holds mu.
func (s *store) versions() deliverer.Versions {
	return deliverer.Versions{
		Revision: s.arbiter.Current().Revision, Servers: s.arbiter.Servers().Version,
		Quarantine: s.arbiter.Quarantine().Version, Evacuations: s.arbiter.Evacuations().Version,
	}
}

// refreshListed rebuilds the set of listed entries and notifies the waiters; the caller holds mu.
func (s *store) refreshListed() {
	s.listed = make(map[string]bool)
	for _, id := range s.arbiter.EntryIDs() {
		s.listed[id] = true
	}
	s.notifyWaiters()
}

// notifyWaiters wakes the goroutines that wait for a change; the caller holds mu.
func (s *store) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arbiter.Snapshot()
}

func (s *store) restore(snapshot []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.arbiter.Restore(snapshot); err != nil {
		return err
	}
	s.routings = nil
	s.recordRouting()
	s.refreshListed()
	return nil
}

func (s *store) current() arbiter.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arbiter.Current()
}

func (s *store) history() []arbiter.HistoryEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arbiter.History()
}

func (s *store) quorumEntries() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arbiter.QuorumEntries()
}

func (s *store) isRegistered(instanceID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arbiter.IsRegistered(instanceID)
}

func (s *store) isListed(instanceID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed[instanceID]
}

// servers returns the backend servers that have changed since version, whether these are the full table, and the table's current
// version.
func (s *store) servers(version uint64) (changed []arbiter.Server, full bool, now uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.arbiter.Servers()
	if t.Version <= version {
		return nil, false, t.Version
	}
	changed, full = t.ChangesSince(version)
	return changed, full, t.Version
}

// needsUpdate reports whether an announcement would change the table of backend servers.
func (s *store) needsUpdate(server *arbiter.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arbiter.Servers().NeedsUpdate(server)
}

// quarantine returns the contained requests.
func (s *store) quarantine() arbiter.Quarantine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arbiter.Quarantine()
}

// evacuations returns the evacuated availability zones.
func (s *store) evacuations() arbiter.Evacuations {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arbiter.Evacuations()
}

// recordRouting appends the routing document in force to routings if it is new; the caller holds mu.
func (s *store) recordRouting() {
	cur := s.arbiter.Current()
	if n := len(s.routings); cur.RoutingSince == 0 || n > 0 && s.routings[n-1].since == cur.RoutingSince {
		return
	}
	s.routings = append(s.routings, routingVersion{cur.RoutingSince, cur.Routing})
	if n := len(s.routings) - maxRoutingVersions; n > 0 {
		s.routings = slices.Clone(s.routings[n:])
	}
}

// routingAt returns the routing document that was in force at a revision and the revision that introduced it, or 0 if the document
// is no longer kept.
func (s *store) routingAt(revision uint64) (document []byte, since uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range slices.Backward(s.routings) {
		if r.since <= revision {
			return r.document, r.since
		}
	}
	return nil, 0
}

// changedSince returns a channel that is closed once something is newer than the given versions.
func (s *store) changedSince(v deliverer.Versions) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions().IsNewerThan(v) {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return s.changed
}
