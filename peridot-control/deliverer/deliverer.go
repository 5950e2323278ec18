package deliverer

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-control/arbiter"
)

// Config configures a Deliverer; every function is needed.
type Config struct {
	Now     func() time.Time
	Current func() arbiter.Configuration
	// Changed returns a channel that is closed when Current or the table of backend servers is newer.
	Changed func(revision, servers uint64) <-chan struct{}
	// Listed reports whether the current inventory has an entry, and Registered whether it may have been given documents.
	Listed     func(instanceID string) bool
	Registered func(instanceID string) bool
	// Holders lists the entries of which a majority must hold the current revision before it is accepted.
	Holders func() []string
	// Propose puts a command through the replicated log; it works on the leader.
	Propose func(context.Context, arbiter.Command) (arbiter.ChangeResult, error)
	// Confirm returns the commit index, applied here, when this member leads at this moment.
	Confirm func(context.Context) (uint64, error)
	// WaitApplied waits until the log is applied here up to an index.
	WaitApplied func(context.Context, uint64) error
	// Leader returns where the leader listens, "" when none is known, and whether it is this member.
	Leader  func() (address string, self bool)
	Status  func() Status
	History func() []arbiter.HistoryEntry
	// Member changes the membership of control.
	Member func(context.Context, *MemberChange) error
	Token  string
	// Servers returns what has changed in the table of backend servers since version, whether that is all of it, and its version.
	Servers func(version uint64) (changed []arbiter.Server, whole bool, now uint64)
	// IsNews reports whether the table doesn't hold yet what a backend server says.
	IsNews func(*arbiter.Server) bool
	// RoutingAt returns the routing document that was in force at a revision and the revision that brought it; 0 when that is not
	// known any more.
	RoutingAt func(revision uint64) (document []byte, since uint64)
	// ConfirmRound returns the commit index, applied here, when a majority has confirmed this leader after the call.
	ConfirmRound func(context.Context) (uint64, error)
	// EntryLease is how long an entry stays listed without a watch; DefaultEntryLease when zero.
	EntryLease time.Duration
	// ServerLease is how long a backend server may be silent before it counts as lost.
	ServerLease  time.Duration
	ParseRouting parser.RoutingParser
	Log          zerolog.Logger
}

// Status is what operators see of the replicated log.
type Status struct {
	Term    uint64
	Leader  string
	Members []*delivererpb.ControlMember
	Alarms  []string
}

// MemberChange is an operator's change of the membership of control.
type MemberChange struct {
	Action           string
	InstanceID       string
	Address          string
	AvailabilityZone string
	Replaces         string
}

// Times of leases and renewals.
const (
	// DefaultEntryLease is how long an entry stays listed without a watch when Config.EntryLease is zero.
	DefaultEntryLease = 4 * time.Second
	// ConfigurationLease is how long after a confirmed read an entry may take its revision for the newest.
	ConfigurationLease = 3 * time.Second
	renewEvery         = 400 * time.Millisecond
	leaderEvery        = 50 * time.Millisecond
	// forwardEvery is how often an entry without news is renewed with the leader, forwardShare the part of its lease after which it is
	// at the latest.
	forwardEvery   = time.Second
	forwardShare   = 0.4
	renewTimeout   = 600 * time.Millisecond
	confirmTimeout = 700 * time.Millisecond
	maxWait        = 10 * time.Second
)

// Deliverer implements the Deliverer and Operator services.
type Deliverer struct {
	cfg    Config
	table  *table
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// pending are the leases to renew with the leader next.
	pending map[string]*delivererpb.EntryMember
	// watched is what each entry said of itself when it was last made pending here.
	watched map[string]watched
	kick    chan struct{}
	// confirmed is when the newest renewal that the leader answered began; confirmedNew is closed when it moves.
	confirmed    time.Time
	confirmedNew chan struct{}
	leading      bool
	lastLeader   string
	clients      map[string]*leaderClient
	heard        heard
	packer       packer

	packedServers packedServers
}

type watched struct {
	member *delivererpb.EntryMember
	when   time.Time
}

// New returns a Deliverer; Close stops it.
func New(cfg Config) *Deliverer {
	ctx, cancel := context.WithCancel(context.Background())
	cfg.EntryLease = cmp.Or(cfg.EntryLease, DefaultEntryLease)
	d := &Deliverer{
		cfg: cfg, table: newTable(cfg.Now, cfg.EntryLease), cancel: cancel,
		pending: make(map[string]*delivererpb.EntryMember), watched: make(map[string]watched), kick: make(chan struct{}, 1),
		confirmedNew: make(chan struct{}), clients: make(map[string]*leaderClient),
	}
	d.wg.Go(func() { d.renewLoop(ctx) })
	return d
}

// Close stops the renewals.
func (d *Deliverer) Close() {
	d.cancel()
	d.wg.Wait()
}

// Watch implements delivererpb.Deliverer.
func (d *Deliverer) Watch(ctx context.Context, req *delivererpb.WatchRequest) (*delivererpb.WatchReply, error) {
	began := d.cfg.Now()
	if len(d.cfg.Status().Members) == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "this member has not joined yet; ask another one")
	}
	d.noteWatch(req)
	if req.Revision == 0 || !d.isCutOff() {
		d.waitForNews(ctx, req)
	}
	if req.Revision > 0 && d.isCutOff() && !d.hasNews(req) {
		return nil, twirp.NewError(twirp.Unavailable, "the leader has confirmed nothing here for a while; ask another member")
	}
	lease := ConfigurationLease
	// A newer revision than an entry holds may go out unconfirmed; anything else only after a majority has agreed.
	if d.hasNews(req) && req.Revision > 0 && !d.isConfirmed(began) {
		lease = 0
	} else if err := d.confirm(ctx, began); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	doc := d.cfg.Current()
	if d.cfg.Listed(req.InstanceId) && !d.cfg.Registered(req.InstanceId) {
		return nil, twirp.NewError(twirp.Unavailable, "the entry is not registered yet")
	}
	return d.reply(req, doc, lease), nil
}

// entriesTrust is how long this member's list of entries may be told without a word from the leader.
const entriesTrust = 3 * time.Second

// Entries lists the entries that callers may use; ok is false when the leader has confirmed the list too long ago.
func (d *Deliverer) Entries() (list []*delivererpb.EntryMember, ok bool) {
	d.mu.Lock()
	ok = d.cfg.Now().Sub(d.confirmed) < entriesTrust
	d.mu.Unlock()
	_, list = d.table.list()
	return slices.DeleteFunc(list, func(m *delivererpb.EntryMember) bool { return !m.Synchronised || m.Stopping }), ok
}

// reply leaves out what the entry holds already.
func (d *Deliverer) reply(req *delivererpb.WatchRequest, doc arbiter.Configuration, lease time.Duration) *delivererpb.WatchReply {
	reply := &delivererpb.WatchReply{Revision: doc.Revision, LeaseMs: uint32(lease.Milliseconds())}
	version, entries := d.table.list()
	control := d.cfg.Status().Members
	if reply.EntriesVersion = listsVersion(version, control); reply.EntriesVersion != req.EntriesVersion {
		reply.Entries, reply.Control = entries, control
	}
	d.addServers(reply, req.ServersVersion)
	if doc.Revision <= req.Revision {
		return reply
	}
	reply.Changed, reply.Hash = true, doc.Hash
	held := req.Revision > 0
	if reply.InventoryKept = held && doc.InventorySince <= req.Revision; !reply.InventoryKept {
		reply.Inventory = doc.Inventory
	}
	if reply.RulesKept = held && doc.RulesSince <= req.Revision; !reply.RulesKept {
		reply.Rules = doc.Rules
	}
	if reply.RoutingKept = held && doc.RoutingSince <= req.Revision; !reply.RoutingKept {
		base, since := d.cfg.RoutingAt(req.Revision)
		reply.Routing, reply.RoutingBase = d.packer.pack(&doc, since, base), since
	}
	return reply
}

// listsVersion changes with the entries and with what entries need to know of control.
func listsVersion(entries uint64, control []*delivererpb.ControlMember) uint64 {
	h := fnv.New64a()
	for _, m := range control {
		fmt.Fprintf(h, "%s %s %s %t %t\n", m.InstanceId, m.Address, m.Role, m.Leader, m.Alive)
	}
	return entries ^ h.Sum64()
}

func (d *Deliverer) waitForNews(ctx context.Context, req *delivererpb.WatchRequest) {
	timer := time.NewTimer(min(time.Duration(req.WaitMs)*time.Millisecond, maxWait))
	defer timer.Stop()
	entries, _ := d.table.list()
	if d.hasNews(req) || listsVersion(entries, d.cfg.Status().Members) != req.EntriesVersion {
		return
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.cfg.Changed(req.Revision, req.ServersVersion):
	case <-d.table.differs(entries):
	}
}

// cutOffAfter is how long a member may go without a word from the leader before entries should ask another one.
const cutOffAfter = time.Second

// isCutOff reports whether this member may miss what the others have accepted.
func (d *Deliverer) isCutOff() bool { return !d.isConfirmed(d.cfg.Now().Add(-cutOffAfter)) }

// hasNews reports whether this member holds a newer revision or table of backend servers than the entry.
func (d *Deliverer) hasNews(req *delivererpb.WatchRequest) bool {
	select {
	case <-d.cfg.Changed(req.Revision, req.ServersVersion):
		return true
	default:
		return false
	}
}

// noteWatch renews the entry's lease, at once when there is news in it.
func (d *Deliverer) noteWatch(req *delivererpb.WatchRequest) {
	m := &delivererpb.EntryMember{
		InstanceId:       req.InstanceId,
		Address:          req.Address,
		PeerAddress:      req.PeerAddress,
		AvailabilityZone: req.AvailabilityZone,
		Revision:         req.Revision,
		Synchronised:     req.Synchronised,
		Stopping:         req.Stopping,
		Incarnation:      req.Incarnation,
	}
	d.mu.Lock()
	old := d.watched[req.InstanceId]
	news := old.member == nil || !sameToOthers(old.member, m) || old.member.Revision != m.Revision
	if news || d.cfg.Now().Sub(old.when) >= min(forwardEvery, time.Duration(forwardShare*float64(d.cfg.EntryLease))) {
		d.pending[req.InstanceId] = m
		d.watched[req.InstanceId] = watched{m, d.cfg.Now()}
	}
	d.mu.Unlock()
	if news || req.Revision == 0 || d.cfg.Listed(req.InstanceId) && !d.cfg.Registered(req.InstanceId) {
		d.renewNow()
	}
}
