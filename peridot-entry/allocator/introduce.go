package allocator

import (
	"context"
	"time"
)

const (
	// joiningShare is the name of the share in a request by which an entry introduces itself; Account is its id. Names of shares contain a
	// slash. An entry of a version without introductions refuses it as an unknown share.
	joiningShare = "joining"
	// maxJoining limits the memory that introductions use.
	maxJoining = 1 << 12
	// joiningRetry is when a holder that waits for acknowledgments is asked again.
	joiningRetry = 100 * time.Millisecond
)

// introductions is what an entry knows about entries that have joined the list, itself included.
type introductions struct {
	// joinedAt is when control first listed this entry, also after its lease had ended.
	joinedAt time.Duration
	// pending holds the incarnations of the entries of the zone that were listed then and haven't acknowledged this entry, by id.
	pending map[string]uint64
	// clearedAt is when pending became empty.
	clearedAt time.Duration
	// joining holds when this entry has acknowledged others, by id. It doesn't hold the shares for which they precede it, even if its list
	// of entries is older than theirs.
	joining map[string]time.Duration
}

// isListed reports whether a view contains this process.
func (a *Allocator) isListed(v *view) bool {
	m, ok := v.members[a.cfg.InstanceID]
	return ok && a.isSelf(m)
}

// join records that control lists this entry from now on; the caller holds mu. Until the entries that are listed now have acknowledged it,
// they may hold its shares by older lists. Those that are listed later know it from the beginning.
func (a *Allocator) join(v *view, now time.Duration) {
	a.fillAll(now)
	in := &a.introductions
	in.joinedAt, in.pending = now, make(map[string]uint64)
	for _, m := range v.zones[a.cfg.Zone] {
		if m.ID != a.cfg.InstanceID {
			in.pending[m.ID] = m.Incarnation
		}
	}
	in.clearedAt = now
}

// removeUnlisted removes the entries that are no longer listed from those that have to acknowledge this one; the caller holds mu.
func (a *Allocator) removeUnlisted(v *view, now time.Duration) {
	for id, incarnation := range a.introductions.pending {
		if m, ok := v.members[id]; !ok || m.Incarnation != incarnation {
			a.removePending(id, now)
		}
	}
}

// removePending records that an entry no longer has to acknowledge this one; the caller holds mu.
func (a *Allocator) removePending(id string, now time.Duration) {
	in := &a.introductions
	if _, ok := in.pending[id]; !ok {
		return
	}
	a.fillAll(now)
	delete(in.pending, id)
	in.clearedAt = now
}

// isCleared reports whether, at a time up to now, all entries that were listed when this one joined had acknowledged it; the caller holds mu.
func (a *Allocator) isCleared(at time.Duration) bool {
	return len(a.introductions.pending) == 0 && at >= a.introductions.clearedAt
}

// acknowledge gives up the shares for which the entry with the given id precedes this one; the caller holds mu.
func (a *Allocator) acknowledge(id string, now time.Duration) bool {
	in := &a.introductions
	if _, ok := in.joining[id]; !ok && len(in.joining) >= maxJoining || id == a.cfg.InstanceID {
		return false
	}
	if in.joining == nil {
		in.joining = make(map[string]time.Duration)
	}
	in.joining[id] = now
	for key := range a.buckets {
		if a.isOutranked(key.account, key.share) {
			delete(a.buckets, key)
		}
	}
	return true
}

// isOutranked reports whether an entry that this one has acknowledged precedes it for a share; the caller holds mu.
func (a *Allocator) isOutranked(account, share string) bool {
	if len(a.introductions.joining) == 0 {
		return false
	}
	own := rendezvous(account, share, a.cfg.InstanceID)
	for id := range a.introductions.joining {
		if rendezvous(account, share, id) > own {
			return true
		}
	}
	return false
}

// removeJoining forgets the acknowledgments that are older than the list of entries in the reply to a request that was sent at the given
// time: the list contains these entries if they are still listed. The caller holds mu.
func (a *Allocator) removeJoining(sent, now time.Duration) {
	isRemoved := false
	for id, at := range a.introductions.joining {
		if sent >= at+maxListAge {
			delete(a.introductions.joining, id)
			isRemoved = true
		}
	}
	if !isRemoved {
		return
	}
	a.changedAt = now
	for account := range a.limits {
		a.addBuckets(a.view.Load(), account, now)
	}
}

// waitForHolder returns when a share that this entry doesn't grant from is to be asked again; the caller holds mu.
func (a *Allocator) waitForHolder(now time.Duration) time.Duration {
	if now-a.introductions.joinedAt < a.rules.waiting {
		return joiningRetry
	}
	return avoidTime
}

// Unacknowledged returns the entries to which this one has to introduce itself. It is called after each call of Confirm.
func (a *Allocator) Unacknowledged() (list []Member) {
	now, v := a.cfg.Now(), a.view.Load()
	a.mu.Lock()
	defer a.mu.Unlock()
	// After that time, no entry grants as an unsettled holder or within its lease by a list that lacks this one.
	if now-a.introductions.joinedAt >= a.rules.overlap {
		return nil
	}
	for _, m := range v.zones[a.cfg.Zone] {
		if _, ok := a.introductions.pending[m.ID]; ok {
			list = append(list, m)
		}
	}
	return list
}

// Introduce tells another entry that control lists this one, and records its acknowledgment.
func (a *Allocator) Introduce(ctx context.Context, m Member) {
	reply, err := a.cfg.Ask(ctx, m, Request{Account: a.cfg.InstanceID, Share: joiningShare, Count: 1})
	if err != nil || !reply.Granting {
		return
	}
	now := a.cfg.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if incarnation, ok := a.introductions.pending[m.ID]; ok && incarnation == m.Incarnation {
		a.removePending(m.ID, now)
	}
}
