package deliverer

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotswitch.example/common/delivererpb"
)

// table lists the entries that hold a lease. The leader's table is authoritative; other members keep a copy.
type table struct {
	now func() time.Time
	// leaseDuration is how long an entry stays listed after a renewal.
	leaseDuration time.Duration

	mu      sync.Mutex
	entries map[string]*lease
	// held is the highest revision that each entry has ever reported to hold.
	held map[string]uint64
	// version is a random number that changes with the fields that other entries use. It is only comparable for equality.
	version     uint64
	changed     chan struct{}
	heldChanged chan struct{}
}

type lease struct {
	member  *delivererpb.EntryMember
	expires time.Time
}

func newTable(now func() time.Time, leaseDuration time.Duration) *table {
	return &table{
		now: now, leaseDuration: leaseDuration, entries: make(map[string]*lease), held: make(map[string]uint64),
		version: rand.Uint64(), changed: make(chan struct{}), heldChanged: make(chan struct{}),
	}
}

// renew gives an entry a full lease.
func (t *table) renew(m *delivererpb.EntryMember) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.entries[m.InstanceId]
	t.entries[m.InstanceId] = &lease{m, t.now().Add(t.leaseDuration)}
	if old == nil || !equalForEntries(old.member, m) {
		t.updateVersion()
	}
	if m.Revision > t.held[m.InstanceId] {
		t.held[m.InstanceId] = m.Revision
	}
	if old == nil || old.member.Revision != m.Revision {
		close(t.heldChanged)
		t.heldChanged = make(chan struct{})
	}
}

// equalForEntries reports whether a and b agree in every field that other entries use.
func equalForEntries(a, b *delivererpb.EntryMember) bool {
	return a.Address == b.Address && a.PeerAddress == b.PeerAddress && a.AvailabilityZone == b.AvailabilityZone &&
		a.Synchronised == b.Synchronised && a.Stopping == b.Stopping && a.Incarnation == b.Incarnation
}

func (t *table) updateVersion() {
	t.version = rand.Uint64()
	close(t.changed)
	t.changed = make(chan struct{})
}

// expire removes the entries whose lease has expired.
func (t *table) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	dropped := false
	for id, l := range t.entries {
		if t.now().After(l.expires) {
			delete(t.entries, id)
			dropped = true
		}
	}
	if dropped {
		t.updateVersion()
		close(t.heldChanged)
		t.heldChanged = make(chan struct{})
	}
}

// replace replaces the list by the leader's.
func (t *table) replace(version uint64, members []*delivererpb.EntryMember) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.entries)
	for _, m := range members {
		t.entries[m.InstanceId] = &lease{member: m}
		t.held[m.InstanceId] = max(t.held[m.InstanceId], m.Revision)
	}
	t.version = version
	close(t.changed)
	t.changed = make(chan struct{})
}

// renewAll gives every entry a full lease when this member becomes the leader and its copy of the table becomes authoritative.
func (t *table) renewAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.entries {
		l.expires = t.now().Add(t.leaseDuration)
	}
	t.updateVersion()
}

// list returns the version and the entries, sorted by instance id.
func (t *table) list() (uint64, []*delivererpb.EntryMember) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*delivererpb.EntryMember, 0, len(t.entries))
	for _, l := range t.entries {
		m := proto.Clone(l.member).(*delivererpb.EntryMember)
		m.LeaseLeftMs = uint32(max(0, l.expires.Sub(t.now()).Milliseconds()))
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *delivererpb.EntryMember) int { return strings.Compare(a.InstanceId, b.InstanceId) })
	return t.version, out
}

// changedSince returns a channel that is closed once the list's version differs from version.
func (t *table) changedSince(version uint64) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.version != version {
		return closedChannel
	}
	return t.changed
}

// countHolding returns the number of the given entries that hold revision or a newer one, and a channel that is closed when that may
// have changed.
func (t *table) countHolding(ids []string, revision uint64) (n int, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if t.held[id] >= revision {
			n++
		}
	}
	return n, t.heldChanged
}

// lowestRevision returns the lowest revision that any listed entry holds, at most newest, and a channel that is closed when that may
// have changed.
func (t *table) lowestRevision(newest uint64) (uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.entries {
		newest = min(newest, l.member.Revision)
	}
	return newest, t.heldChanged
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
