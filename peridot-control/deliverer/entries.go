package deliverer

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/differ"
)

const (
	// minCompressedEntries is the number of entries from which a list of them is compressed.
	minCompressedEntries = 64
	// fullListMaxAge is how long a compressed full list is sent although the list has changed since: the next reply brings the changes.
	// While hundreds of entries start, the list changes with every reply.
	fullListMaxAge = 200 * time.Millisecond
)

// addLists adds the lists of entries and control members to the reply, as far as the entry doesn't hold them.
func (d *Deliverer) addLists(reply *delivererpb.WatchReply, req *delivererpb.WatchRequest) {
	control := d.cfg.Status().Members
	if !req.AcceptsDeltas {
		list := d.table.changesSince(0)
		if reply.EntriesVersion = combinedVersion(list.version, control); reply.EntriesVersion != req.EntriesVersion {
			reply.Entries, reply.Control = list.members, control
		}
		return
	}
	if reply.ControlVersion = controlVersion(control); reply.ControlVersion != req.ControlVersion {
		reply.Control = control
	}
	changes := d.table.changesSince(listVersion(req.EntriesVersion))
	if changes.full && len(changes.members) >= minCompressedEntries {
		if full, err := d.compressedList.get(changes, d.cfg.Now()); err == nil {
			reply.EntriesVersion, reply.EntriesPartial, reply.EntriesPacked = uint64(full.version), full.partial, full.data
			return
		}
	}
	reply.EntriesVersion, reply.EntriesDelta, reply.EntriesPartial = uint64(changes.version), !changes.full, changes.partial
	reply.Entries, reply.EntriesGone = changes.members, changes.gone
}

// waitForList returns a channel that is closed once the entry's list of entries is out of date, or nil if the reply should not wait for
// that: the entry lacks the list of this leader or the current list of control members.
func (d *Deliverer) waitForList(req *delivererpb.WatchRequest) <-chan struct{} {
	version, control := d.table.currentVersion(), d.cfg.Status().Members
	held := listVersion(req.EntriesVersion)
	switch {
	case req.AcceptsDeltas && held.isComparable(version) && controlVersion(control) == req.ControlVersion:
		return d.table.changedSince(held)
	case !req.AcceptsDeltas && combinedVersion(version, control) == req.EntriesVersion:
		return d.table.changedSince(version)
	}
	return nil
}

// controlVersion is a hash of the control members' fields that entries use.
func controlVersion(control []*delivererpb.ControlMember) uint64 {
	h := fnv.New64a()
	for _, m := range control {
		fmt.Fprintf(h, "%s %s %s %t %t\n", m.InstanceId, m.Address, m.Role, m.Leader, m.Alive)
	}
	return h.Sum64()
}

// combinedVersion is the version of both lists for entries that accept no deltas.
func combinedVersion(entries listVersion, control []*delivererpb.ControlMember) uint64 {
	return uint64(entries) ^ controlVersion(control)
}

// compressedList caches the compressed full list of entries, so that it is compressed once for all entries that ask for it.
type compressedList struct {
	mu      sync.Mutex
	current fullList
}

// fullList is a compressed full list of entries.
type fullList struct {
	version      listVersion
	partial      bool
	data         []byte
	compressedAt time.Time
}

// get returns the compressed list; it may be up to fullListMaxAge old.
func (c *compressedList) get(changes *listChanges, now time.Time) (list fullList, err error) {
	defer func() { err = errors.WithMessage(err, "compress entries") }()
	c.mu.Lock()
	defer c.mu.Unlock()
	if cur := &c.current; cur.data != nil && cur.version.isComparable(changes.version) && cur.version <= changes.version &&
		(cur.version == changes.version || now.Sub(cur.compressedAt) < fullListMaxAge) {
		return *cur, nil
	}
	slices.SortFunc(changes.members, compareIDs)
	encoded, err := proto.Marshal(&delivererpb.EntryMembers{Entries: changes.members})
	if err != nil {
		return list, err
	}
	c.current = fullList{changes.version, changes.partial, differ.Encode(nil, encoded), now}
	return c.current, nil
}

// renewWithLeader sends a renewal to the leader at address and brings this member's copy of the list up to date.
func (d *Deliverer) renewWithLeader(ctx context.Context, address string, req *delivererpb.RenewRequest) error {
	req.EntriesVersion, req.AcceptsDeltas = uint64(d.table.currentVersion()), true
	req.ServerReportsVersion = uint64(d.reports.leaderVersion())
	reply, err := d.client(address).deliverer.Renew(ctx, req)
	if err != nil {
		return err
	}
	if err = d.cfg.WaitApplied(ctx, reply.Commit); err != nil {
		return err
	}
	d.serverLeases.setAccepts(address, reply.RenewsServers)
	d.reports.addFromLeader(reply.ServerReports, listVersion(reply.ServerReportsVersion), d.cfg.Now())
	if reply.EntriesVersion != req.EntriesVersion {
		d.table.apply(&listChanges{
			version: listVersion(reply.EntriesVersion), full: !reply.EntriesDelta, partial: reply.EntriesPartial,
			members: reply.Entries, gone: reply.EntriesGone,
		})
	}
	return nil
}
