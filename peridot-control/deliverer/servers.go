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

// serverLeases holds the time of the last announcement of each backend server on the leader.
type serverLeases struct {
	mu      sync.Mutex
	renewed map[string]time.Time
	// pending holds the servers whose announcements were received here and that the leader has not been told of.
	pending map[string]bool
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

// queue adds a server to the next renewal with the leader.
func (l *serverLeases) queue(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		l.pending = make(map[string]bool)
	}
	l.pending[id] = true
}

// takePending returns the queued servers and empties the queue.
func (l *serverLeases) takePending() (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.pending {
		ids = append(ids, id)
	}
	clear(l.pending)
	return ids
}

// setAccepts records whether the leader at address accepts servers that were collected here.
func (l *serverLeases) setAccepts(leader string, accepts bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuser = ""; !accepts {
		l.refuser = leader
	}
}

// requeue adds servers again whose renewal with the leader failed.
func (l *serverLeases) requeue(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		l.pending[id] = true
	}
}

// renew gives the servers a full lease.
func (l *serverLeases) renew(ids []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.renewed == nil {
		l.renewed = make(map[string]time.Time)
	}
	for _, id := range ids {
		l.renewed[id] = now
	}
}

// renewAllServers gives every backend server a full lease when this member becomes the leader, because it doesn't know what the
// previous leader received.
func (d *Deliverer) renewAllServers() {
	d.serverLeases.mu.Lock()
	defer d.serverLeases.mu.Unlock()
	d.serverLeases.renewed = make(map[string]time.Time)
	d.serverLeases.checked = d.cfg.Now()
	servers, _, _ := d.cfg.Servers(0)
	for i := range servers {
		d.serverLeases.renewed[servers[i].InstanceID] = d.cfg.Now()
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
	if !d.cfg.NeedsUpdate(s) && d.serverLeases.mayQueue(address) {
		// Forwarding these to a leader that has just been elected, or can't be reached, would keep it from all else.
		if d.isIsolated() && d.cfg.Now().Sub(d.startedAt) > startGrace {
			return "", errIsolated
		}
		d.serverLeases.queue(s.InstanceID)
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
	d.serverLeases.renew([]string{s.InstanceID}, d.cfg.Now())
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
		renewed, ok := d.serverLeases.renewed[s.InstanceID]
		if !ok {
			d.serverLeases.renewed[s.InstanceID] = now
			continue
		}
		if now.Sub(renewed) > d.cfg.ServerLease {
			s.State = arbiter.Lost
			lost = append(lost, s)
			delete(d.serverLeases.renewed, s.InstanceID)
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
