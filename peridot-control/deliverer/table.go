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
	// version changes with the fields that other entries use. It grows while the same member leads.
	version listVersion
	// gone holds the entries that were dropped, with the version that dropped them.
	gone map[string]listVersion
	// deltasSince is the oldest version of which the changes up to the current one are known.
	deltasSince listVersion
	// partial is true while the list may lack live entries, because the leader started without a list. It ends at completeAt on the
	// leader.
	partial     bool
	completeAt  time.Time
	changed     chan struct{}
	heldChanged chan struct{}
}

type lease struct {
	member  *delivererpb.EntryMember
	expires time.Time
	// version is the version in which other entries' view of the member last changed.
	version listVersion
}

// listVersion is a version of the entries list: a random number for the leader that issued it, in the upper half, and a count.
// Versions of different leaders can't be compared.
type listVersion uint64

const listCountBits = 32

func newListVersion() listVersion { return listVersion(rand.Uint32()|1)<<listCountBits | 1 }

// isComparable reports whether v and o were issued by the same leader.
func (v listVersion) isComparable(o listVersion) bool { return v>>listCountBits == o>>listCountBits }

// maxGone is the number of dropped entries that are kept in order to send changes instead of the full list.
const maxGone = 1024

// listChanges is the difference between two versions of the list, or the full list if full is set.
type listChanges struct {
	version listVersion
	full    bool
	partial bool
	members []*delivererpb.EntryMember
	gone    []string
}

func newTable(now func() time.Time, leaseDuration time.Duration) *table {
	version := newListVersion()
	return &table{
		now: now, leaseDuration: leaseDuration, entries: make(map[string]*lease), held: make(map[string]uint64),
		version: version, deltasSince: version, gone: make(map[string]listVersion), partial: true,
		changed: make(chan struct{}), heldChanged: make(chan struct{}),
	}
}

// renew gives an entry a full lease.
func (t *table) renew(m *delivererpb.EntryMember) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.entries[m.InstanceId]
	l := &lease{member: m, expires: t.now().Add(t.leaseDuration)}
	t.entries[m.InstanceId] = l
	if old != nil && equalForEntries(old.member, m) {
		l.version = old.version
	} else {
		t.advance()
		l.version = t.version
		delete(t.gone, m.InstanceId)
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

// advance begins a new version; the caller holds mu.
func (t *table) advance() {
	t.version++
	t.notify()
}

func (t *table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// expire removes the entries whose lease has expired. Only the leader calls it.
func (t *table) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	dropped := false
	for id, l := range t.entries {
		if !now.After(l.expires) {
			continue
		}
		if !dropped {
			dropped = true
			t.advance()
		}
		t.drop(id)
	}
	if dropped {
		close(t.heldChanged)
		t.heldChanged = make(chan struct{})
	}
	if t.partial && !t.completeAt.IsZero() && !now.Before(t.completeAt) {
		t.partial = false
		t.advance()
	}
}

// drop removes an entry in the current version; the caller holds mu.
func (t *table) drop(id string) {
	delete(t.entries, id)
	t.gone[id] = t.version
	if len(t.gone) <= maxGone {
		return
	}
	oldest := id
	for other, v := range t.gone {
		if v < t.gone[oldest] {
			oldest = other
		}
	}
	t.deltasSince = max(t.deltasSince, t.gone[oldest])
	delete(t.gone, oldest)
}

// apply brings a copy of the list up to date with the leader's.
func (t *table) apply(c *listChanges) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.full {
		clear(t.entries)
		clear(t.gone)
		t.deltasSince = c.version
	}
	t.version, t.partial, t.completeAt = c.version, c.partial, time.Time{}
	for _, m := range c.members {
		t.entries[m.InstanceId] = &lease{member: m, version: c.version}
		t.held[m.InstanceId] = max(t.held[m.InstanceId], m.Revision)
		delete(t.gone, m.InstanceId)
	}
	for _, id := range c.gone {
		t.drop(id)
	}
	t.notify()
}

// renewAll gives every entry a full lease when this member becomes the leader and its copy of the table becomes authoritative.
func (t *table) renewAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = newListVersion()
	t.deltasSince = t.version
	clear(t.gone)
	t.completeAt = t.now().Add(t.leaseDuration)
	for _, l := range t.entries {
		l.expires, l.version = t.completeAt, t.version
	}
	t.notify()
}

// changesSince returns what has changed in the list after held, or the full list if that is not known.
func (t *table) changesSince(held listVersion) *listChanges {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &listChanges{version: t.version, partial: t.partial}
	if c.full = !held.isComparable(t.version) || held < t.deltasSince; !c.full && held >= t.version {
		// A member that has heard from the leader more recently has sent the newer version.
		c.version = held
		return c
	}
	for _, l := range t.entries {
		if c.full || l.version > held {
			c.members = append(c.members, l.member)
		}
	}
	if c.full {
		return c
	}
	for id, v := range t.gone {
		if v > held {
			c.gone = append(c.gone, id)
		}
	}
	return c
}

// list returns the entries with the remaining time of their leases, sorted by instance id.
func (t *table) list() []*delivererpb.EntryMember {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*delivererpb.EntryMember, 0, len(t.entries))
	for _, l := range t.entries {
		m := proto.Clone(l.member).(*delivererpb.EntryMember)
		m.LeaseLeftMs = uint32(max(0, l.expires.Sub(t.now()).Milliseconds()))
		out = append(out, m)
	}
	slices.SortFunc(out, compareIDs)
	return out
}

// usable returns the entries that callers may use, sorted by instance id.
func (t *table) usable() []*delivererpb.EntryMember {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*delivererpb.EntryMember, 0, len(t.entries))
	for _, l := range t.entries {
		if l.member.Synchronised && !l.member.Stopping {
			out = append(out, l.member)
		}
	}
	slices.SortFunc(out, compareIDs)
	return out
}

func compareIDs(a, b *delivererpb.EntryMember) int {
	return strings.Compare(a.InstanceId, b.InstanceId)
}

// currentVersion returns the version of the list.
func (t *table) currentVersion() listVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// changedSince returns a channel that is closed once the list has a version that an entry with version held should be told of.
func (t *table) changedSince(held listVersion) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !held.isComparable(t.version) || held < t.version {
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
