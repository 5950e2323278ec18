package deliverer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/differ"
	"peridotswitch.example/peridot-control/arbiter"
)

const (
	// announceTimeout is shorter than the 1 s after which backend servers try another member.
	announceTimeout = 800 * time.Millisecond
	// startGrace is how long after its start a member collects announcements although the leader has confirmed nothing here. A new leader
	// gives all servers a full lease, which is longer.
	startGrace = 2 * time.Second
	// expireInterval is how often the leader looks for backend servers whose lease has expired.
	expireInterval = time.Second
)

var errIsolated = errors.New("the leader has confirmed nothing here for a while")

// announcementID orders the announcements of a backend server, by incarnation and then by sequence.
type announcementID struct {
	started  int64
	sequence uint64
}

func (a announcementID) isAfter(b announcementID) bool {
	return a.started > b.started || a.started == b.started && a.sequence > b.sequence
}

// renewal is an announcement of a backend server that changes nothing but its lease.
type renewal struct {
	instanceID string
	announcementID
}

func renewalOf(s *arbiter.Server) renewal {
	return renewal{s.InstanceID, announcementID{s.Started, s.Sequence}}
}

// serverLease is the lease of a backend server on the leader. Only a newer announcement than the newest renews it: a late one or a copy says nothing
// of what the server does now.
type serverLease struct {
	newest  announcementID
	renewed time.Time
}

// earlierStart is a backend server that announces itself with an earlier start time than that of the recorded incarnation, which has ended.
type earlierStart struct {
	newest announcementID
	// since is the time of the first of its announcements, and received that of the newest.
	since, received time.Time
}

// serverLeases holds the leases of the backend servers on the leader, and what the other members collect for it.
type serverLeases struct {
	mu      sync.Mutex
	leases  map[string]*serverLease
	earlier map[string]*earlierStart
	// pending holds the newest announcements of servers that were received here and that the leader has not been told of.
	pending map[string]announcementID
	// refuser is the address of a leader that accepts no servers that other members have collected.
	refuser string
	// checked is when the leases were last checked for expiry.
	checked time.Time
	// expiring is set while a command that marks servers as lost is in progress.
	expiring bool
}

// mayQueue reports whether the leader at address accepts servers that were collected here, as far as it has replied yet.
func (l *serverLeases) mayQueue(leader string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return leader == "" || l.refuser != leader
}

// queue adds announcements to the next renewal with the leader.
func (l *serverLeases) queue(list ...renewal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		l.pending = make(map[string]announcementID)
	}
	for _, r := range list {
		if old, ok := l.pending[r.instanceID]; !ok || r.isAfter(old) {
			l.pending[r.instanceID] = r.announcementID
		}
	}
}

// takePending returns the queued announcements and empties the queue.
func (l *serverLeases) takePending() (list []renewal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, a := range l.pending {
		list = append(list, renewal{id, a})
	}
	clear(l.pending)
	return list
}

// setAccepts records whether the leader at address accepts servers that were collected here.
func (l *serverLeases) setAccepts(leader string, accepts bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuser = ""; !accepts {
		l.refuser = leader
	}
}

// renew gives the servers whose announcements are newer than those before a full lease.
func (l *serverLeases) renew(list []renewal, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leases == nil {
		l.leases = make(map[string]*serverLease)
	}
	for _, r := range list {
		// Without a start time, a sequence may have begun anew.
		if old := l.leases[r.instanceID]; old == nil || r.isAfter(old.newest) || r.started == 0 && old.newest.started == 0 {
			l.leases[r.instanceID] = &serverLease{r.announcementID, now}
		}
	}
}

// renewUnordered gives the servers a full lease whose announcements were collected by a member of an earlier build, which doesn't say which ones.
func (l *serverLeases) renewUnordered(ids []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		if lease := l.leases[id]; lease != nil {
			lease.renewed = now
		}
	}
}

// provesRestart reports whether a server has announced itself for a while with an earlier start time than that of the recorded incarnation, which has
// ended, and if so gives it a lease. Late announcements of an earlier incarnation don't come for so long: the server has started again, and its clock
// has gone back.
func (l *serverLeases) provesRestart(r renewal, now time.Time, lease time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.earlier[r.instanceID]
	switch {
	case e == nil || e.newest.started != r.started || now.Sub(e.received) > lease/2:
		if l.earlier == nil {
			l.earlier = make(map[string]*earlierStart)
		}
		l.earlier[r.instanceID] = &earlierStart{r.announcementID, now, now}
		return false
	case !r.isAfter(e.newest):
		return false
	}
	e.newest, e.received = r.announcementID, now
	if now.Sub(e.since) < lease/2 {
		return false
	}
	delete(l.earlier, r.instanceID)
	l.leases[r.instanceID] = &serverLease{r.announcementID, now}
	return true
}

// renewAllServers gives every backend server a full lease when this member becomes the leader, because it doesn't know what the
// previous leader received.
func (d *Deliverer) renewAllServers() {
	d.serverLeases.mu.Lock()
	defer d.serverLeases.mu.Unlock()
	d.serverLeases.leases, d.serverLeases.earlier = make(map[string]*serverLease), nil
	d.serverLeases.checked = d.cfg.Now()
	servers, _, _ := d.cfg.Servers(0)
	for i := range servers {
		d.serverLeases.leases[servers[i].InstanceID] = &serverLease{renewalOf(&servers[i]).announcementID, d.cfg.Now()}
	}
}

// HandleAnnouncement handles an announcement of a backend server and returns the peer address of the member to which the server should
// send its next one. A change is committed by a majority of control members before it returns; announcements that change nothing are
// collected for the leader.
func (d *Deliverer) HandleAnnouncement(ctx context.Context, s *arbiter.Server) (next string, err error) {
	defer func() { err = errors.WithMessagef(err, "hear of backend server %s", s.InstanceID) }()
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	address, self := d.cfg.Leader()
	next = d.nextAnnouncementAddress(s.AvailabilityZone)
	if self {
		return next, d.applyAnnouncement(ctx, s)
	}
	if !d.cfg.NeedsUpdate(s) && !d.mayBeRestart(s) && d.serverLeases.mayQueue(address) {
		// Forwarding these to a leader that has just been elected, or can't be reached, would keep it from all else.
		if d.isIsolated() && d.cfg.Now().Sub(d.startedAt) > startGrace {
			return "", errIsolated
		}
		d.serverLeases.queue(renewalOf(s))
		return next, nil
	}
	if address == "" {
		return "", errNoLeader
	}
	_, err = d.client(address).deliverer.Announce(ctx, &delivererpb.Announcement{Server: encodeServer(s)})
	return next, err
}

// nextAnnouncementAddress returns the address of a member in the availability zone, this one if it is there, which keeps announcements
// within the zone and most of them off the leader; that of this member if the zone has none.
func (d *Deliverer) nextAnnouncementAddress(zone string) string {
	own := d.cfg.Self()
	if own.AvailabilityZone == zone {
		return own.Address
	}
	var local []string
	for _, m := range d.cfg.Status().Members {
		if m.AvailabilityZone == zone && m.Alive && !m.Leader && m.Role == "voter" {
			local = append(local, m.Address)
		}
	}
	if len(local) == 0 {
		return own.Address
	}
	return local[rand.IntN(len(local))]
}

// Announce implements delivererpb.Deliverer; only the leader answers.
func (d *Deliverer) Announce(ctx context.Context, req *delivererpb.Announcement) (*delivererpb.AnnounceReply, error) {
	if req.Server == nil {
		return nil, twirp.RequiredArgumentError("server")
	}
	address, self := d.cfg.Leader()
	if !self {
		return nil, twirp.NewError(twirp.Unavailable, errNoLeader.Error())
	}
	s := decodeServer(req.Server)
	if err := d.applyAnnouncement(ctx, &s); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &delivererpb.AnnounceReply{Leader: address}, nil
}

// applyAnnouncement renews the server's lease and proposes the announcement to the log if it changes the table.
func (d *Deliverer) applyAnnouncement(ctx context.Context, s *arbiter.Server) error {
	d.serverLeases.renew([]renewal{renewalOf(s)}, d.cfg.Now())
	if d.mayBeRestart(s) && d.serverLeases.provesRestart(renewalOf(s), d.cfg.Now(), d.cfg.ServerLease) {
		restarted := *s
		restarted.Restarted = true
		s = &restarted
	}
	if !d.cfg.NeedsUpdate(s) {
		// What is applied here is committed, even if another member leads by now, so there is nothing to propose. Only the leader may
		// accept the renewal.
		if _, self := d.cfg.Leader(); !self {
			return errNoLeader
		}
		return nil
	}
	_, err := d.cfg.Propose(ctx, arbiter.Command{Servers: []arbiter.Server{*s}})
	d.logServerChange(s, err)
	return err
}

// mayBeRestart reports whether s is an announcement of an earlier incarnation than the recorded one, which has ended, or of one that follows it and
// whose clock has gone back.
func (d *Deliverer) mayBeRestart(s *arbiter.Server) bool {
	restarted := *s
	restarted.Restarted = true
	return !d.cfg.NeedsUpdate(s) && d.cfg.NeedsUpdate(&restarted)
}

func (d *Deliverer) logServerChange(s *arbiter.Server, err error) {
	d.cfg.Log.Info().Str("server", s.InstanceID).Str("service", s.Service).Str("address", s.Address).Str("state", string(s.State)).
		Uint64("sequence", s.Sequence).Int64("started", s.Started).Err(err).Bool("held", err == nil).Msg("backend server changed")
}

// expireServers proposes to mark the backend servers whose lease has expired as lost.
func (d *Deliverer) expireServers() {
	now := d.cfg.Now()
	d.serverLeases.mu.Lock()
	defer d.serverLeases.mu.Unlock()
	if d.serverLeases.expiring || now.Sub(d.serverLeases.checked) < expireInterval {
		return
	}
	d.serverLeases.checked = now
	var lost []arbiter.Server
	servers, _, _ := d.cfg.Servers(0)
	for _, s := range servers {
		lease := d.serverLeases.leases[s.InstanceID]
		if lease == nil {
			d.serverLeases.leases[s.InstanceID] = &serverLease{renewalOf(&s).announcementID, now}
			continue
		}
		if now.Sub(lease.renewed) > d.cfg.ServerLease {
			s.State = arbiter.Lost
			if lease.newest.started == s.Started && s.Started != 0 {
				// Announcements up to this one don't restore the server.
				s.Sequence = max(s.Sequence, lease.newest.sequence)
			}
			lost = append(lost, s)
			delete(d.serverLeases.leases, s.InstanceID)
		}
	}
	if len(lost) == 0 {
		return
	}
	d.serverLeases.expiring = true
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
		defer cancel()
		_, err := d.cfg.Propose(ctx, arbiter.Command{Servers: lost})
		for i := range lost {
			d.logServerChange(&lost[i], err)
		}
		d.serverLeases.mu.Lock()
		d.serverLeases.expiring = false
		d.serverLeases.mu.Unlock()
	})
}

// addServers adds the backend servers that have changed since the version that the entry holds.
func (d *Deliverer) addServers(reply *delivererpb.WatchReply, held uint64) {
	changed, full, version := d.cfg.Servers(held)
	reply.ServersVersion, reply.ServersWhole = version, full
	if full && len(changed) >= minCompressedServers {
		var err error
		if reply.ServersPacked, err = d.compressedServers.get(version, changed); err == nil {
			return
		}
		d.cfg.Log.Warn().Err(err).Msg("failed to compress the table of backend servers; sending it uncompressed")
	}
	for i := range changed {
		reply.Servers = append(reply.Servers, encodeServer(&changed[i]))
	}
}

// minCompressedServers is the number of backend servers from which the table is compressed. Entries that start at the same time
// share links of low bandwidth.
const minCompressedServers = 16

// compressedServers caches the compressed table, so that it is compressed once for all entries.
type compressedServers struct {
	mu      sync.Mutex
	version uint64
	data    []byte
}

func (c *compressedServers) get(version uint64, servers []arbiter.Server) (data []byte, err error) {
	defer func() { err = errors.WithMessage(err, "pack backend servers") }()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.data != nil && c.version == version {
		return c.data, nil
	}
	list := &delivererpb.BackendServers{}
	for i := range servers {
		list.Servers = append(list.Servers, encodeServer(&servers[i]))
	}
	encoded, err := proto.Marshal(list)
	if err != nil {
		return nil, err
	}
	c.version, c.data = version, differ.Encode(nil, encoded)
	return c.data, nil
}

func encodeServer(s *arbiter.Server) *delivererpb.BackendServer {
	return &delivererpb.BackendServer{
		Service: s.Service, InstanceId: s.InstanceID, Address: s.Address, AvailabilityZone: s.AvailabilityZone, Slots: uint32(s.Slots),
		StartedMs: s.Started, Sequence: s.Sequence, State: string(s.State), WarmUpMs: uint32(s.WarmUpMS),
	}
}

func decodeServer(s *delivererpb.BackendServer) arbiter.Server {
	return arbiter.Server{
		Service: s.Service, InstanceID: s.InstanceId, Address: s.Address, AvailabilityZone: s.AvailabilityZone, Slots: int(s.Slots),
		Started: s.StartedMs, Sequence: s.Sequence, State: arbiter.ServerState(s.State), WarmUpMS: int(s.WarmUpMs),
	}
}
