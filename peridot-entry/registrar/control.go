package registrar

import "time"

// controlLease is the lease of servers in control's table. It doesn't end in practice, as control itself reports when a server is gone.
const controlLease = 100 * 365 * 24 * time.Hour

// ApplyControlChanges applies changes of the table that control keeps, or replaces the table when full is true. The caller passes changes in
// the order in which control made them; incarnations and sequences are not compared.
func (r *Registrar) ApplyControlChanges(changes []Server, full bool) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	changedServices := make(map[string]bool)
	initial := len(r.records) == 0
	if full {
		r.removeUnlisted(changes, changedServices)
	}
	for i := range changes {
		s := changes[i]
		r.removeFromOtherServices(&s, changedServices)
		changedServices[s.Service] = true
		if initial {
			// The first table doesn't say since when a server has been ready; most have been for longer than their warm-up.
			s.ReadySince = now.Add(-time.Hour)
		}
		r.applyServer(s, now)
	}
	for service := range changedServices {
		if (*r.views.Load())[service] != nil {
			r.publish(service, now)
		}
	}
}

// applyServer adds, replaces or removes one server; the caller holds mu and publishes.
func (r *Registrar) applyServer(s Server, now time.Time) {
	if s.State == Left {
		delete(r.records[s.Service], s.InstanceID)
		return
	}
	s.Expires = now.Add(controlLease)
	if rec := r.records[s.Service][s.InstanceID]; rec != nil {
		rec.replace(s, now)
		return
	}
	r.insert(newRecord(s, now), now)
}

// removeUnlisted removes the records that are not in table; the caller holds mu.
func (r *Registrar) removeUnlisted(table []Server, changedServices map[string]bool) {
	listed := make(map[Key]bool, len(table))
	for i := range table {
		listed[table[i].Key()] = true
	}
	for service, records := range r.records {
		for id := range records {
			if !listed[Key{service, id}] {
				delete(records, id)
				changedServices[service] = true
			}
		}
	}
}

// removeFromOtherServices removes the records that the instance of s has under other services; the caller holds mu.
func (r *Registrar) removeFromOtherServices(s *Server, changedServices map[string]bool) {
	for service, records := range r.records {
		if service != s.Service && records[s.InstanceID] != nil {
			delete(records, s.InstanceID)
			changedServices[service] = true
		}
	}
}
