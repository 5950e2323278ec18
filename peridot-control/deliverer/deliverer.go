package deliverer

import (
	"cmp"
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-control/arbiter"
	"peridotswitch.example/peridot-control/quarantiner"
)

// Config configures a Deliverer. Every function is required.
type Config struct {
	Now func() time.Time
	// Current returns the newest configuration that is applied here.
	Current func() arbiter.Configuration
	// Changed returns a channel that is closed once something is newer than the given versions.
	Changed func(Versions) <-chan struct{}
	// IsListed reports whether the current inventory lists an entry, IsRegistered whether that entry may have been sent documents.
	IsListed     func(instanceID string) bool
	IsRegistered func(instanceID string) bool
	// QuorumEntries returns the entries of which a majority must hold the current revision before that revision is accepted.
	QuorumEntries func() []string
	// Propose commits a command to the replicated log and returns its result. It fails if this member isn't the leader.
	Propose func(context.Context, arbiter.Command) (arbiter.ChangeResult, error)
	// ReadIndex returns the commit index, once it is applied here, if this member is the leader.
	ReadIndex func(context.Context) (uint64, error)
	// WaitApplied waits until the log is applied here up to the index.
	WaitApplied func(context.Context, uint64) error
	// Leader returns the leader's address, "" if none is known, and whether this member is the leader.
	Leader func() (address string, self bool)
	// Self returns this member.
	Self    func() *delivererpb.ControlMember
	Status  func() Status
	History func() []arbiter.HistoryEntry
	// ChangeMember changes the membership of the control cluster.
	ChangeMember func(context.Context, *MemberChange) error
	// OperatorToken is the operator token; without one every change is refused.
	OperatorToken string
	// Servers returns the backend servers that have changed since version, whether these are the full table, and the table's
	// current version.
	Servers func(version uint64) (changed []arbiter.Server, full bool, now uint64)
	// Quarantine returns the requests that entries refuse.
	Quarantine func() arbiter.Quarantine
	// Evacuations returns the availability zones to whose backend servers entries send nothing.
	Evacuations func() arbiter.Evacuations
	// NeedsUpdate reports whether an announcement would change the table of backend servers.
	NeedsUpdate func(*arbiter.Server) bool
	// RoutingAt returns the routing document that was in force at a revision and the revision that introduced it, or 0 if the document
	// is no longer kept.
	RoutingAt func(revision uint64) (document []byte, since uint64)
	// QuorumReadIndex returns the commit index, once it is applied here, if this member is the leader and a majority has confirmed that
	// after the call.
	QuorumReadIndex func(context.Context) (uint64, error)
	// EntryLease is how long an entry stays listed after its last Watch request; DefaultEntryLease when zero.
	EntryLease time.Duration
	// ServerLease is how long after its last announcement a backend server is marked as lost.
	ServerLease  time.Duration
	ParseRouting parser.RoutingParser
	Log          zerolog.Logger
}

// Versions are the versions of the state that entries follow.
type Versions struct {
	Revision, Servers, Quarantine, Evacuations uint64
}

// IsNewerThan reports whether any of the versions is newer than in old.
func (v Versions) IsNewerThan(old Versions) bool {
	return v.Revision > old.Revision || v.Servers > old.Servers || v.Quarantine > old.Quarantine || v.Evacuations > old.Evacuations
}

// heldVersions returns the versions that an entry holds.
func heldVersions(req *delivererpb.WatchRequest) Versions {
	return Versions{req.Revision, req.ServersVersion, req.ContainedVersion, req.EvacuatedVersion}
}

// Status is the state of the replicated log as the operator API reports it.
type Status struct {
	Term    uint64
	Leader  string
	Members []*delivererpb.ControlMember
	Alarms  []string
}

// MemberChange is an operator's change to the membership of the control cluster.
type MemberChange struct {
	Action           string
	InstanceID       string
	Address          string
	AvailabilityZone string
	Replaces         string
}

// Leases and renewal intervals.
const (
	// DefaultEntryLease is the default of Config.EntryLease.
	DefaultEntryLease = 4 * time.Second
	// ConfigurationLease is how long after a confirmed read an entry may treat its revision as the newest.
	ConfigurationLease = 3 * time.Second
	renewInterval      = 400 * time.Millisecond
	leaderPollInterval = 50 * time.Millisecond
	// An entry whose state hasn't changed is renewed with the leader after forwardInterval, or after forwardLeaseShare of its lease if
	// that is shorter.
	forwardInterval   = time.Second
	forwardLeaseShare = 0.4
	// minRenewInterval is the least time between two renewals of a member. When hundreds of entries start, each would otherwise cause one.
	minRenewInterval = 50 * time.Millisecond
	renewTimeout     = 600 * time.Millisecond
	confirmTimeout   = 700 * time.Millisecond
	maxWait          = 10 * time.Second
)

// Deliverer implements delivererpb.Deliverer and operatorpb.Operator.
type Deliverer struct {
	cfg       Config
	startedAt time.Time
	table     *table
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu sync.Mutex
	// pending holds the entries to include in the next renewal with the leader.
	pending map[string]*delivererpb.EntryMember
	// lastQueued holds the state of each entry when it was last added to pending.
	lastQueued  map[string]queuedEntry
	renewSignal chan struct{}
	// confirmed is the start time of the newest renewal that succeeded. confirmedChanged is closed when it changes.
	confirmed        time.Time
	confirmedChanged chan struct{}
	leading          bool
	lastLeader       string
	clients          map[string]*leaderClient
	serverLeases     serverLeases
	routingDeltas    routingDeltas

	compressedServers compressedServers
	compressedList    compressedList
	reports           *reportLog
	suspects          suspectQueue
	quarantiner       *quarantiner.Quarantiner
	// updatingQuarantine is set while a command that changes the list of contained requests is in progress.
	updatingQuarantine atomic.Bool
}

type queuedEntry struct {
	member   *delivererpb.EntryMember
	queuedAt time.Time
}

// New starts a Deliverer. The caller must call Close.
func New(cfg Config) *Deliverer {
	ctx, cancel := context.WithCancel(context.Background())
	cfg.EntryLease = cmp.Or(cfg.EntryLease, DefaultEntryLease)
	d := &Deliverer{
		cfg: cfg, startedAt: cfg.Now(), table: newTable(cfg.Now, cfg.EntryLease), cancel: cancel,
		pending: make(map[string]*delivererpb.EntryMember), lastQueued: make(map[string]queuedEntry), renewSignal: make(chan struct{}, 1),
		confirmedChanged: make(chan struct{}), clients: make(map[string]*leaderClient), reports: newReportLog(),
		quarantiner: quarantiner.New(quarantiner.Config{Now: cfg.Now}),
	}
	d.wg.Go(func() { d.renewLoop(ctx) })
	return d
}

// Close stops the background goroutines and waits for them.
func (d *Deliverer) Close() {
	d.cancel()
	d.wg.Wait()
}

// Watch implements delivererpb.Deliverer.
func (d *Deliverer) Watch(ctx context.Context, req *delivererpb.WatchRequest) (*delivererpb.WatchReply, error) {
	start := d.cfg.Now()
	if len(d.cfg.Status().Members) == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "this member has not joined yet; ask another one")
	}
	d.record(req)
	if req.Revision == 0 || !d.isIsolated() {
		d.waitForUpdate(ctx, req)
	}
	if req.Revision > 0 && d.isIsolated() && !d.hasUpdate(req) {
		return nil, twirp.NewError(twirp.Unavailable, "the leader has confirmed nothing here for a while; ask another member")
	}
	lease := ConfigurationLease
	// A newer revision or table may be sent unconfirmed, but without a lease. Any other reply needs a confirmation by a majority.
	if d.hasUpdate(req) && req.Revision > 0 && !d.isConfirmed(start) {
		lease = 0
	} else if err := d.confirm(ctx, start); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	cur := d.cfg.Current()
	if d.cfg.IsListed(req.InstanceId) && !d.cfg.IsRegistered(req.InstanceId) {
		return nil, twirp.NewError(twirp.Unavailable, "the entry is not registered yet")
	}
	return d.reply(req, cur, lease), nil
}

// record queues for the leader what a request says of the entry and of what it has seen.
func (d *Deliverer) record(req *delivererpb.WatchRequest) {
	d.queueRenewal(req)
	d.reports.add(req.ServerReports)
	if d.suspects.add(req.Suspects) {
		d.triggerRenewal()
	}
}

// Report implements delivererpb.Deliverer. A member that can't pass the report on refuses it, so that the entry sends it to another one.
func (d *Deliverer) Report(_ context.Context, req *delivererpb.WatchRequest) (*delivererpb.ReportReply, error) {
	if len(d.cfg.Status().Members) == 0 || d.isIsolated() {
		return nil, twirp.NewError(twirp.Unavailable, "the leader has confirmed nothing here for a while; ask another member")
	}
	d.record(req)
	return &delivererpb.ReportReply{}, nil
}

// entriesMaxAge is how long after the last confirmation by the leader this member's list of entries may be returned.
const entriesMaxAge = 3 * time.Second

// Entries returns the entries that callers may use. ok is false if the leader's last confirmation is older than entriesMaxAge.
func (d *Deliverer) Entries() (list []*delivererpb.EntryMember, ok bool) {
	d.mu.Lock()
	ok = d.cfg.Now().Sub(d.confirmed) < entriesMaxAge
	d.mu.Unlock()
	return d.table.usable(), ok
}

// reply builds the reply to a Watch request and omits what the entry already holds.
func (d *Deliverer) reply(req *delivererpb.WatchRequest, cur arbiter.Configuration, lease time.Duration) *delivererpb.WatchReply {
	reply := &delivererpb.WatchReply{Revision: cur.Revision, LeaseMs: uint32(lease.Milliseconds())}
	d.addLists(reply, req)
	reports, reportsVersion := d.reports.since(listVersion(req.ServerReportsVersion), d.cfg.Now())
	reply.ServerReports, reply.ServerReportsVersion = reports, uint64(reportsVersion)
	d.addServers(reply, req.ServersVersion)
	d.addContained(reply, req.ContainedVersion)
	d.addEvacuated(reply, req.EvacuatedVersion)
	if cur.Revision <= req.Revision {
		return reply
	}
	reply.Changed, reply.Hash = true, cur.Hash
	held := req.Revision > 0
	if reply.InventoryKept = held && cur.InventorySince <= req.Revision; !reply.InventoryKept {
		reply.Inventory = cur.Inventory
	}
	if reply.RulesKept = held && cur.RulesSince <= req.Revision; !reply.RulesKept {
		reply.Rules = cur.Rules
	}
	if reply.RoutingKept = held && cur.RoutingSince <= req.Revision; !reply.RoutingKept {
		base, since := d.cfg.RoutingAt(req.Revision)
		reply.Routing, reply.RoutingBase = d.routingDeltas.get(&cur, since, base), since
	}
	return reply
}

// waitForUpdate waits until there is something to send to the entry, but not longer than it has requested.
func (d *Deliverer) waitForUpdate(ctx context.Context, req *delivererpb.WatchRequest) {
	timer := time.NewTimer(min(time.Duration(req.WaitMs)*time.Millisecond, maxWait))
	defer timer.Stop()
	listOutdated := d.waitForList(req)
	if listOutdated == nil || req.ServersVersion == 0 && d.hasUpdate(req) {
		return
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.cfg.Changed(heldVersions(req)):
		d.collectChanges(ctx, timer.C, req)
	case <-listOutdated:
		d.collectChanges(ctx, timer.C, req)
	}
}

// batchInterval is how long changes of the table of backend servers and of the list of entries are collected before they are sent. When
// hundreds start or stop, each entry would otherwise be told of each one separately.
const batchInterval = 100 * time.Millisecond

// collectChanges waits for batchInterval, for expired or until there is a newer configuration, which is sent at once.
func (d *Deliverer) collectChanges(ctx context.Context, expired <-chan time.Time, req *delivererpb.WatchRequest) {
	end := time.NewTimer(batchInterval)
	defer end.Stop()
	for d.cfg.Current().Revision <= req.Revision {
		select {
		case <-ctx.Done():
			return
		case <-expired:
			return
		case <-end.C:
			return
		case <-d.cfg.Changed(Versions{req.Revision, math.MaxUint64, math.MaxUint64, math.MaxUint64}):
		}
	}
}

// isolationTimeout is how long after the last confirmation by the leader a member refers entries to other members.
const isolationTimeout = time.Second

// isIsolated reports whether this member may lack revisions that the others have accepted.
func (d *Deliverer) isIsolated() bool { return !d.isConfirmed(d.cfg.Now().Add(-isolationTimeout)) }

// hasUpdate reports whether this member holds a newer revision or table of backend servers than the entry.
func (d *Deliverer) hasUpdate(req *delivererpb.WatchRequest) bool {
	select {
	case <-d.cfg.Changed(heldVersions(req)):
		return true
	default:
		return false
	}
}

// queueRenewal queues a renewal of the entry's lease, and triggers it at once if the entry's state has changed.
func (d *Deliverer) queueRenewal(req *delivererpb.WatchRequest) {
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
	old := d.lastQueued[req.InstanceId]
	changed := old.member == nil || !equalForEntries(old.member, m) || old.member.Revision != m.Revision
	if changed || d.cfg.Now().Sub(old.queuedAt) >= min(forwardInterval, time.Duration(forwardLeaseShare*float64(d.cfg.EntryLease))) {
		d.pending[req.InstanceId] = m
		d.lastQueued[req.InstanceId] = queuedEntry{m, d.cfg.Now()}
	}
	d.mu.Unlock()
	if changed || req.Revision == 0 || d.cfg.IsListed(req.InstanceId) && !d.cfg.IsRegistered(req.InstanceId) {
		d.triggerRenewal()
	}
}
