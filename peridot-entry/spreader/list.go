package spreader

import (
	"time"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/spreaderpb"
)

// leaseUnit is the unit of remaining lease time in Batch.lives.
const leaseUnit = 20 * time.Millisecond

const maxLeaseUnits = 255

// localList holds the backend servers that announced themselves to this entry directly. Each keeps its slot index, by which
// peers refer to it.
type localList struct {
	version uint64
	slots   []slot
	index   map[registrar.Key]int
	free    []int
}

type slot struct {
	used bool
	// version is the list's version at the last change of the slot.
	version uint64
	server  registrar.Server
	// expires is when the announcement's lease ends.
	expires time.Time
}

func newLocalList() localList { return localList{index: make(map[registrar.Key]int)} }

// refresh updates the list from the table's direct records.
func (l *localList) refresh(records []registrar.Record, now time.Time) {
	for i := range l.slots {
		l.slots[i].expires = time.Time{}
	}
	for i := range records {
		if rec := &records[i]; now.Before(rec.DirectExpires) {
			l.set(rec)
		}
	}
	for i := range l.slots {
		if l.slots[i].used && l.slots[i].expires.IsZero() {
			l.slots[i].used = false
			delete(l.index, l.slots[i].server.Key())
			l.free = append(l.free, i)
		}
	}
}

func (l *localList) set(rec *registrar.Record) {
	key := rec.Server.Key()
	i, ok := l.index[key]
	if !ok {
		i = l.allocSlot()
		l.index[key] = i
	}
	s := &l.slots[i]
	if !s.used || s.server.Incarnation != rec.Server.Incarnation || s.server.Sequence != rec.Server.Sequence || s.server.State != rec.Server.State {
		l.version++
		s.used, s.version = true, l.version
		s.server = rec.Server
	}
	s.expires = rec.DirectExpires
}

func (l *localList) allocSlot() int {
	if n := len(l.free); n > 0 {
		i := l.free[n-1]
		l.free = l.free[:n-1]
		return i
	}
	l.slots = append(l.slots, slot{})
	return len(l.slots) - 1
}

// batch returns the slots that changed after version base, and the remaining lease time of all slots.
func (l *localList) batch(base uint64, now time.Time) *spreaderpb.Batch {
	b := &spreaderpb.Batch{Version: l.version, Base: base, Lives: make([]byte, len(l.slots))}
	for i := range l.slots {
		s := &l.slots[i]
		if !s.used {
			continue
		}
		if s.version > base {
			b.Changed = append(b.Changed, &spreaderpb.Slot{Index: uint32(i), Server: toWire(&s.server, now)})
		}
		b.Lives[i] = byte(min(max(s.expires.Sub(now)/leaseUnit, 0), maxLeaseUnits))
	}
	return b
}

// remoteList is this entry's copy of a peer's localList.
type remoteList struct {
	incarnation uint64
	version     uint64
	slots       []registrar.Server
}

// maxSlots limits the memory that a faulty peer can make this entry use.
const maxSlots = 1 << 16

// apply applies the changes of a batch. It reports false if the batch is older than the list, starts after the list's version,
// or is malformed.
func (r *remoteList) apply(b *spreaderpb.Batch) bool {
	if b.Version < r.version || b.Base > r.version {
		return false
	}
	for _, c := range b.Changed {
		if c.Index >= maxSlots || c.Server == nil {
			return false
		}
		for int(c.Index) >= len(r.slots) {
			r.slots = append(r.slots, registrar.Server{})
		}
		r.slots[c.Index] = fromWire(c.Server)
	}
	r.version = b.Version
	return true
}

// renewLeases calls relay for each slot with a lease that has not expired, with its remaining time less elapsed.
func (r *remoteList) renewLeases(lives []byte, elapsed time.Duration, relay func(registrar.Server, time.Duration)) {
	for i, units := range lives {
		remaining := time.Duration(units)*leaseUnit - elapsed
		if remaining > 0 && i < len(r.slots) && r.slots[i].InstanceID != "" {
			relay(r.slots[i], remaining)
		}
	}
}

func toWire(s *registrar.Server, now time.Time) *spreaderpb.Server {
	out := &spreaderpb.Server{
		Service:          s.Service,
		InstanceId:       s.InstanceID,
		Incarnation:      s.Incarnation,
		Sequence:         s.Sequence,
		Address:          s.Address,
		AvailabilityZone: s.AvailabilityZone,
		Slots:            uint32(s.Slots),
		Connections:      uint32(s.Connections),
		State:            string(s.State),
	}
	if !s.ReadySince.IsZero() {
		out.ReadyForMs = uint64(max(now.Sub(s.ReadySince), 0) / time.Millisecond)
	}
	return out
}

func fromWire(s *spreaderpb.Server) registrar.Server {
	return registrar.Server{
		Service:          s.Service,
		InstanceID:       s.InstanceId,
		Incarnation:      s.Incarnation,
		Sequence:         s.Sequence,
		Address:          s.Address,
		AvailabilityZone: s.AvailabilityZone,
		Slots:            int(s.Slots),
		Connections:      int(s.Connections),
		State:            registrar.State(s.State),
	}
}
