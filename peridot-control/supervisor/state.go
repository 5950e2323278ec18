package supervisor

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-control/arbiter"
)

// store is the state machine behind the log, shared with those who read it.
type store struct {
	mu      sync.Mutex
	arbiter *arbiter.Arbiter
	listed  map[string]bool
	changed chan struct{}
	// routings are the newest routing documents in the order in which they came into force, without a gap.
	routings []routingAt
}

// routingAt is a routing document with the revision that brought it.
type routingAt struct {
	since    uint64
	document []byte
}

// maxRoutings bounds the documents that are kept to say what has changed since.
const maxRoutings = 16

func newStore() *store {
	return &store{arbiter: arbiter.New(), changed: make(chan struct{})}
}

// apply carries out a committed command.
func (s *store) apply(command []byte) any {
	var cmd arbiter.Command
	if err := json.Unmarshal(command, &cmd); err != nil {
		return errors.WithMessage(err, "decode a command of the log")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before, table := s.arbiter.Current().Revision, s.arbiter.Servers().Version
	v := s.arbiter.Apply(cmd)
	s.noteRouting()
	switch {
	case s.arbiter.Current().Revision != before:
		s.announce()
	case s.arbiter.Servers().Version != table:
		s.wake()
	}
	return v
}

func (s *store) announce() {
	s.listed = make(map[string]bool)
	for _, id := range s.arbiter.EntryIDs() {
		s.listed[id] = true
	}
	s.wake()
}

// wake tells those who wait for a change; the caller holds mu.
func (s *store) wake() {
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
	s.noteRouting()
	s.announce()
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

func (s *store) holders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arbiter.QuorumEntries()
}

func (s *store) registered(instanceID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arbiter.IsRegistered(instanceID)
}

func (s *store) isListed(instanceID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed[instanceID]
}

// servers returns what has changed in the table of backend servers after version, whether that is all of it, and the version now.
func (s *store) servers(version uint64) (changed []arbiter.Server, whole bool, now uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.arbiter.Servers()
	if t.Version <= version {
		return nil, false, t.Version
	}
	changed, whole = t.ChangesSince(version)
	return changed, whole, t.Version
}

// isNews reports whether the table doesn't hold yet what a backend server says.
func (s *store) isNews(server *arbiter.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arbiter.Servers().NeedsUpdate(server)
}

// noteRouting keeps the routing document in force when it is new; the caller holds mu.
func (s *store) noteRouting() {
	cur := s.arbiter.Current()
	if n := len(s.routings); cur.RoutingSince == 0 || n > 0 && s.routings[n-1].since == cur.RoutingSince {
		return
	}
	s.routings = append(s.routings, routingAt{cur.RoutingSince, cur.Routing})
	if n := len(s.routings) - maxRoutings; n > 0 {
		s.routings = slices.Clone(s.routings[n:])
	}
}

// routingAt returns the routing document that was in force at a revision, and the revision that brought it; 0 when that is not known.
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

func (s *store) changedSince(revision, servers uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.arbiter.Current().Revision > revision || s.arbiter.Servers().Version > servers {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return s.changed
}
