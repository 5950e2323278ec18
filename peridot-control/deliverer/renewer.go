package deliverer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"peridotswitch.example/common/bounder"
	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/operatorpb"
	"peridotswitch.example/peridot-control/arbiter"
)

// leaderClient holds the clients for a member that is or was the leader.
type leaderClient struct {
	deliverer delivererpb.Deliverer
	operator  operatorpb.Operator
}

const leaderDialTimeout = 300 * time.Millisecond

var errNoLeader = errors.New("no leader is known")

func (d *Deliverer) client(address string) *leaderClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.clients[address]
	if c == nil {
		t := &http.Transport{
			DialContext:        (&net.Dialer{Timeout: leaderDialTimeout}).DialContext,
			IdleConnTimeout:    time.Minute,
			DisableCompression: true,
		}
		client := bounder.NewClient(t, 0)
		c = &leaderClient{
			deliverer: delivererpb.NewDelivererProtobufClient("http://"+address, client),
			operator:  operatorpb.NewOperatorProtobufClient("http://"+address, client),
		}
		d.clients[address] = c
	}
	return c
}

// triggerRenewal makes renewLoop send a renewal without waiting for renewInterval.
func (d *Deliverer) triggerRenewal() {
	select {
	case d.renewSignal <- struct{}{}:
	default:
	}
}

// renewLoop renews, in batches, the leases of the entries that watch at this member. Each renewal also confirms the newest revision.
func (d *Deliverer) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(leaderPollInterval)
	defer ticker.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !d.requeueForNewLeader() && d.cfg.Now().Sub(last) < d.currentRenewInterval() {
				continue
			}
		case <-d.renewSignal:
			if !sleep(ctx, last.Add(minRenewInterval).Sub(d.cfg.Now())) {
				return
			}
		}
		last = d.cfg.Now()
		renewCtx, cancel := context.WithTimeout(ctx, renewTimeout)
		_ = d.renewOnce(renewCtx)
		cancel()
	}
}

// sleep sleeps for d, if it is positive, and reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// currentRenewInterval is shorter while there are reports on backend servers, which are useful only while they are recent.
func (d *Deliverer) currentRenewInterval() time.Duration {
	if d.reports.isActive(d.cfg.Now()) {
		return reportRenewInterval
	}
	return renewInterval
}

// requeueForNewLeader reports whether there is a new leader, and if so queues renewals of all entries that watch here: a new leader
// accepts no change before it knows which revision a majority of entries hold.
func (d *Deliverer) requeueForNewLeader() bool {
	address, _ := d.cfg.Leader()
	if address == "" || address == d.lastLeader {
		return false
	}
	d.lastLeader = address
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, q := range d.lastQueued {
		if d.pending[id] == nil && d.cfg.Now().Sub(q.queuedAt) < d.cfg.EntryLease {
			d.pending[id] = q.member
		}
	}
	return true
}

func (d *Deliverer) renewOnce(ctx context.Context) error {
	start := d.cfg.Now()
	address, self := d.cfg.Leader()
	if self != d.leading {
		if d.leading = self; self {
			d.table.renewAll()
			d.renewAllServers()
		}
	}
	if self {
		d.expireServers()
		d.updateQuarantine()
	}
	if address == "" {
		return errNoLeader
	}
	d.mu.Lock()
	batch := d.pending
	d.pending = make(map[string]*delivererpb.EntryMember)
	d.mu.Unlock()
	renewals := d.serverLeases.takePending()
	req := &delivererpb.RenewRequest{ServerReports: d.reports.takePending(), Suspects: d.suspects.take()}
	encodeRenewals(req, renewals)
	for _, m := range batch {
		req.Entries = append(req.Entries, m)
	}
	if err := d.sendRenewal(ctx, address, self, req); err != nil {
		d.serverLeases.queue(renewals...)
		d.suspects.requeue(req.Suspects)
		d.mu.Lock()
		defer d.mu.Unlock()
		for id, m := range batch {
			if d.pending[id] == nil {
				d.pending[id] = m
			}
		}
		return err
	}
	if !d.suspects.isEmpty() {
		d.triggerRenewal()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmed = start
	close(d.confirmedChanged)
	d.confirmedChanged = make(chan struct{})
	return nil
}

func (d *Deliverer) sendRenewal(ctx context.Context, address string, self bool, req *delivererpb.RenewRequest) error {
	if self {
		d.table.expire()
		_, err := d.Renew(ctx, req)
		return err
	}
	return d.renewWithLeader(ctx, address, req)
}

// Renew implements delivererpb.Deliverer; only the leader answers.
func (d *Deliverer) Renew(ctx context.Context, req *delivererpb.RenewRequest) (*delivererpb.RenewReply, error) {
	if _, self := d.cfg.Leader(); !self {
		return nil, twirp.NewError(twirp.Unavailable, errNoLeader.Error())
	}
	for _, m := range req.Entries {
		if d.cfg.IsListed(m.InstanceId) && !d.cfg.IsRegistered(m.InstanceId) {
			if _, err := d.cfg.Propose(ctx, arbiter.Command{Registered: m.InstanceId}); err != nil {
				return nil, twirp.NewError(twirp.Unavailable, err.Error())
			}
		}
		d.table.renew(m)
	}
	commit, err := d.cfg.ReadIndex(ctx)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	if renewals, ok := decodeRenewals(req); ok {
		d.serverLeases.renew(renewals, d.cfg.Now())
	} else {
		d.serverLeases.renewUnordered(req.RenewedServers, d.cfg.Now())
	}
	d.recordSuspects(req.Suspects)
	d.reports.publishNew(req.ServerReports, d.cfg.Now())
	reports, reportsVersion := d.reports.since(listVersion(req.ServerReportsVersion), d.cfg.Now())
	reply := &delivererpb.RenewReply{Commit: commit, EntriesVersion: uint64(d.table.currentVersion()), ServerReports: reports, ServerReportsVersion: uint64(reportsVersion), RenewsServers: true}
	if req.AcceptsDeltas {
		c := d.table.changesSince(listVersion(req.EntriesVersion))
		reply.EntriesVersion, reply.Entries, reply.EntriesGone = uint64(c.version), c.members, c.gone
		reply.EntriesDelta, reply.EntriesPartial = !c.full, c.partial
	} else if reply.EntriesVersion != req.EntriesVersion {
		reply.Entries = d.table.list()
	}
	return reply, nil
}

func encodeRenewals(req *delivererpb.RenewRequest, list []renewal) {
	for _, r := range list {
		req.RenewedServers = append(req.RenewedServers, r.instanceID)
		req.RenewedStartedMs = append(req.RenewedStartedMs, r.started)
		req.RenewedSequences = append(req.RenewedSequences, r.sequence)
	}
}

// decodeRenewals reports false for a request of an earlier build, which doesn't name the announcements.
func decodeRenewals(req *delivererpb.RenewRequest) (list []renewal, ok bool) {
	if len(req.RenewedStartedMs) != len(req.RenewedServers) || len(req.RenewedSequences) != len(req.RenewedServers) {
		return nil, false
	}
	for i, id := range req.RenewedServers {
		list = append(list, renewal{id, announcementID{req.RenewedStartedMs[i], req.RenewedSequences[i]}})
	}
	return list, true
}

func (d *Deliverer) isConfirmed(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.confirmed.Before(since)
}

// confirm waits until a majority has confirmed, after since, that this member holds the newest revision.
func (d *Deliverer) confirm(ctx context.Context, since time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		d.mu.Lock()
		done, changed := !d.confirmed.Before(since), d.confirmedChanged
		d.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.WithMessage(ctx.Err(), "no majority of control confirms the newest revision")
		}
	}
}
