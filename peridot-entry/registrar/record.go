package registrar

import "time"

// Record is a row of the table of backend servers.
type Record struct {
	Server Server
	// DirectExpires is when the lease from the server's last announcement to this entry ends; zero when the record comes only from other entries.
	DirectExpires time.Time
	// directSequence is the newest sequence that the server itself sent to this entry.
	directSequence uint64
}

func newRecord(s Server, now time.Time) *Record {
	if s.State != Ready {
		s.ReadySince = time.Time{}
	} else if s.ReadySince.IsZero() {
		s.ReadySince = now
	}
	return &Record{Server: s, DirectExpires: s.Expires, directSequence: s.Sequence}
}

// isRemovable reports whether the record expired a whole lease ago, so that no older announcement can still be relayed to this entry.
func (rec *Record) isRemovable(now time.Time, lease time.Duration) bool {
	return now.After(rec.Server.Expires.Add(lease))
}

// isSupersededBy reports whether s is newer than the record, by incarnation and then by sequence. A leave is newer than anything else
// of its incarnation. A sequence that other entries have relayed counts as newer once more when the server itself sends it, to renew the lease.
func (rec *Record) isSupersededBy(s *Server) bool {
	if s.Incarnation != rec.Server.Incarnation {
		return s.Incarnation > rec.Server.Incarnation
	}
	if rec.Server.State == Left {
		return false
	}
	if s.State == Left {
		return true
	}
	if s.Sequence == rec.Server.Sequence {
		return rec.directSequence < s.Sequence && rec.sameContent(s)
	}
	return s.Sequence > max(rec.Server.Sequence, rec.directSequence)
}

// sameContent reports whether s announces the same as the record; sequence, lease and warm-up are not compared.
func (rec *Record) sameContent(s *Server) bool {
	r := &rec.Server
	return s.Incarnation == r.Incarnation && s.State == r.State && s.Address == r.Address &&
		s.AvailabilityZone == r.AvailabilityZone && s.Slots == r.Slots && s.Connections == r.Connections
}

// replace stores s in the record; ReadySince is kept when the same incarnation was ready before.
func (rec *Record) replace(s Server, now time.Time) {
	old := rec.Server
	if s.State != Ready {
		s.ReadySince = time.Time{}
	} else if old.Incarnation == s.Incarnation && old.State == Ready {
		s.ReadySince = old.ReadySince
	} else if s.ReadySince.IsZero() {
		s.ReadySince = now
	}
	rec.Server = s
}
