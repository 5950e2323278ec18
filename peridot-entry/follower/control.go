package follower

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/common/bounder"
	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/differ"
	"peridotswitch.example/peridot-entry/followerpb"
)

// Time limits of one watch. A member that does not respond within watchTimeout after the requested wait is replaced by another.
const (
	watchWait    = 500 * time.Millisecond
	watchTimeout = 1100 * time.Millisecond
	dialTimeout  = 300 * time.Millisecond
	// reachTimeout bounds the search for a member that accepts connections, in which a further candidate is dialed each reachStagger.
	// Each dial is limited to reachDialTimeout and repeated after reachRetryInterval, because packets to a host without power
	// are lost, and a longer dial would not notice that the host has come back.
	reachTimeout       = 300 * time.Millisecond
	reachStagger       = 30 * time.Millisecond
	reachDialTimeout   = 60 * time.Millisecond
	reachRetryInterval = 25 * time.Millisecond
	// memberRetryDelay is how long a member that has failed is not preferred to a working one.
	memberRetryDelay = 5 * time.Second
)

// watcher watches one control member at a time and changes to another one when that fails.
type watcher struct {
	f         *Follower
	addresses []string
	current   int
	client    *http.Client
	// entries is the list of entries held. controlVersion and reportsVersion are numbered by the current member.
	entries         entryList
	controlVersion  uint64
	reportsVersion  uint64
	lastWatchFailed bool
	// failedMembers holds the addresses of members that have failed since the last successful watch.
	failedMembers map[string]bool
	// lastFailures holds when each member last failed.
	lastFailures map[string]time.Time
	backoff      backoff
	stuck        stuck
}

func (f *Follower) followControl(ctx context.Context) {
	w := &watcher{
		f: f, addresses: slices.Clone(f.cfg.Control), failedMembers: make(map[string]bool), lastFailures: make(map[string]time.Time),
		backoff: backoff{random: rand.Float64},
	}
	for _, c := range f.cfg.InstanceID {
		// Spreads the entries over the members.
		w.current += int(c)
	}
	w.advance()
	w.waitForReachable(ctx)
	for ctx.Err() == nil {
		w.addSeeds()
		err := w.watch(ctx)
		switch {
		case ctx.Err() != nil:
			continue
		case err == nil:
			w.recordSuccess()
			continue
		}
		w.recordFailure(err)
		w.lastWatchFailed = true
		w.switchMember(ctx)
	}
	w.client.CloseIdleConnections()
}

// switchMember changes from the current member, which has failed, to one that has not, or to any if all have failed. It pauses first.
func (w *watcher) switchMember(ctx context.Context) {
	w.failedMembers[w.address()], w.lastFailures[w.address()] = true, time.Now()
	if len(w.candidates()) == 0 {
		clear(w.failedMembers)
	}
	sleep(ctx, w.backoff.next())
	w.advance()
	w.waitForReachable(ctx)
}

// waitForReachable changes to a member that accepts connections. Members that have failed are tried again only if no other one
// accepts a connection.
func (w *watcher) waitForReachable(ctx context.Context) {
	for ctx.Err() == nil && !w.selectReachable(ctx) {
		w.f.cfg.OnError(errors.Errorf("no control member accepts a connection: dialed %d of %d", len(w.candidates()), len(w.addresses)))
		clear(w.failedMembers)
		w.addSeeds()
		w.startWithLearned()
	}
}

// startWithLearned makes the member that called this entry the first candidate: it is known to run.
func (w *watcher) startWithLearned() {
	w.f.learnedMu.Lock()
	defer w.f.learnedMu.Unlock()
	if len(w.f.learned) == 0 {
		return
	}
	if i := slices.Index(w.addresses, w.f.learned[0]); i >= 0 {
		w.current = i
		w.reconnect()
	}
}

// candidates returns the indexes of the members that have not failed, beginning with the current one.
func (w *watcher) candidates() (list []int) {
	for i := range w.addresses {
		if j := (w.current + i) % len(w.addresses); !w.failedMembers[w.addresses[j]] {
			list = append(list, j)
		}
	}
	return list
}

// selectReachable changes to the first candidate that accepts a connection, and reports false if none does within reachTimeout or there
// are new candidates. The next candidate is dialed while the ones before have not accepted, because one that has lost power would delay the
// attempts at the others; but not all at once, because hundreds of entries that start together would open that many connections to each.
func (w *watcher) selectReachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	list := w.candidates()
	stagger := min(reachStagger, reachTimeout/2/time.Duration(max(len(list), 1)))
	reachable := make(chan int, len(list))
	for n, i := range list {
		address := w.addresses[i]
		go func() {
			if sleep(ctx, time.Duration(n)*stagger) && waitForListener(ctx, address) {
				reachable <- i
			}
		}()
	}
	select {
	case w.current = <-reachable:
		return true
	case <-w.f.learnedSignal:
		return false
	case <-ctx.Done():
		return false
	}
}

// sleep sleeps for d and reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
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

// waitForListener dials address until a connection is accepted, and reports false if ctx ends first.
func waitForListener(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: reachDialTimeout}
	for {
		c, err := d.DialContext(ctx, "tcp", address)
		if err == nil {
			_ = c.Close()
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(reachRetryInterval):
		}
	}
}

// advance changes to the next member in the list, with a new HTTP client and thus a new connection.
func (w *watcher) advance() {
	w.current++
	w.reconnect()
}

// reconnect starts with a new HTTP client, and thus a new connection, at the current member.
func (w *watcher) reconnect() {
	if w.client != nil {
		w.client.CloseIdleConnections()
	}
	w.controlVersion, w.reportsVersion = 0, 0
	w.client = newClient()
	w.publishMembers()
}

// newClient returns a client for requests to control members.
func newClient() *http.Client {
	return bounder.NewClient(&http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true,
	}, 0)
}

// publishMembers makes the current member the first one to send reports to.
func (w *watcher) publishMembers() {
	if len(w.addresses) == 0 {
		return
	}
	i := w.current % len(w.addresses)
	members := append(slices.Clone(w.addresses[i:]), w.addresses[:i]...)
	w.f.members.Store(&members)
}

// addSeeds adds the seed addresses that the settings name now, and those that control members have told this entry.
func (w *watcher) addSeeds() {
	var addresses []string
	if w.f.cfg.Seeds != nil {
		addresses = w.f.cfg.Seeds()
	}
	w.f.learnedMu.Lock()
	addresses = append(slices.Clone(addresses), w.f.learned...)
	w.f.learnedMu.Unlock()
	for _, address := range addresses {
		if !slices.Contains(w.addresses, address) {
			w.addresses = append(w.addresses, address)
		}
	}
}

func (w *watcher) address() string { return w.addresses[w.current%len(w.addresses)] }

func (w *watcher) watch(ctx context.Context) error {
	f := w.f
	req := f.cfg.NewWatchRequest()
	req.EntriesVersion, req.ControlVersion, req.AcceptsDeltas = w.entries.version, w.controlVersion, true
	req.ServersVersion, req.ServerReportsVersion, req.ContainedVersion = f.serversVersion, w.reportsVersion, f.containedVersion
	req.EvacuatedVersion = f.evacuation.Load().version
	if cur := f.Current(); cur != nil {
		req.Revision = cur.Revision
	}
	if !w.lastWatchFailed && req.Revision > 0 {
		req.WaitMs = uint32(watchWait.Milliseconds())
	}
	if _, err := proto.Marshal(req); err != nil {
		return &encodingError{err}
	}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMs)*time.Millisecond+watchTimeout)
	defer cancel()
	reply, err := delivererpb.NewDelivererProtobufClient("http://"+w.address(), w.client).Watch(ctx, req)
	if err != nil {
		return err
	}
	if f.cfg.OnAnswered != nil {
		f.cfg.OnAnswered()
	}
	return w.applyReply(reply, sent)
}

// applyReply takes over what a reply brings; sent is when its request was sent.
func (w *watcher) applyReply(reply *delivererpb.WatchReply, sent time.Time) error {
	f := w.f
	// The list comes first, because a first configuration or table of backend servers lets calls through.
	f.applyEvacuation(&evacuation{reply.EvacuatedVersion, reply.EvacuatedZones})
	if err := f.applyDocuments(reply); err != nil {
		return err
	}
	if f.cfg.OnServers != nil && reply.ServersVersion > f.serversVersion {
		servers, err := decodeServers(reply)
		if err != nil {
			return err
		}
		f.cfg.OnServers(servers, reply.ServersWhole)
		f.serversVersion = reply.ServersVersion
	}
	isConfirmed := reply.LeaseMs > 0 && reply.Revision >= f.revision()
	if isConfirmed {
		until := sent.Add(min(maxLease, time.Duration(reply.LeaseMs)*time.Millisecond))
		f.controlExpires.Store(&until)
	}
	w.reportsVersion = reply.ServerReportsVersion
	if f.cfg.OnServerReports != nil && len(reply.ServerReports) > 0 {
		f.cfg.OnServerReports(reply.ServerReports)
	}
	if f.cfg.OnContained != nil && reply.ContainedVersion > f.containedVersion {
		f.cfg.OnContained(reply.Contained)
		f.containedVersion = reply.ContainedVersion
	}
	if changed, err := w.entries.apply(reply); err != nil {
		return err
	} else if changed {
		f.storeEntries(w.entries.sorted())
		if f.cfg.OnEntries != nil {
			f.cfg.OnEntries(f.Entries())
		}
	}
	if isConfirmed && f.cfg.OnConfirmed != nil {
		f.cfg.OnConfirmed()
	}
	if len(reply.Control) > 0 {
		w.controlVersion = reply.ControlVersion
		w.updateMembers(reply.Control)
	}
	return nil
}

// applyDocuments installs the configuration of a reply, if it has one.
func (f *Follower) applyDocuments(reply *delivererpb.WatchReply) error {
	if !reply.Changed {
		return nil
	}
	documents, err := f.resolveDocuments(reply)
	if err != nil {
		return err
	}
	return f.install(documents)
}

// decodeServers returns the backend servers of a reply, which are either listed or compressed.
func decodeServers(reply *delivererpb.WatchReply) (servers []*delivererpb.BackendServer, err error) {
	defer func() { err = errors.WithMessage(err, "decode backend servers") }()
	if len(reply.ServersPacked) == 0 {
		return reply.Servers, nil
	}
	text, err := differ.Decode(nil, reply.ServersPacked)
	if err != nil {
		return nil, err
	}
	list := &delivererpb.BackendServers{}
	if err = proto.Unmarshal(text, list); err != nil {
		return nil, err
	}
	return list.Servers, nil
}

// resolveDocuments returns the documents of a reply. Documents that control left out as unchanged are taken from the current
// configuration. If control assumed the wrong one, parse detects it by the hash.
func (f *Follower) resolveDocuments(reply *delivererpb.WatchReply) (d *followerpb.Documents, err error) {
	d = &followerpb.Documents{Revision: reply.Revision, Hash: reply.Hash, Inventory: reply.Inventory, Rules: reply.Rules}
	held := f.current.Load()
	var base []byte
	if held != nil && reply.RoutingBase > 0 {
		base = held.documents.Routing
	}
	if !reply.RoutingKept && len(reply.Routing) > 0 {
		if d.Routing, err = differ.Decode(base, reply.Routing); err != nil {
			return nil, errors.WithMessage(err, "decode routing")
		}
	}
	if held == nil {
		return d, nil
	}
	if reply.InventoryKept {
		d.Inventory = held.documents.Inventory
	}
	if reply.RulesKept {
		d.Rules = held.documents.Rules
	}
	if reply.RoutingKept {
		d.Routing = held.documents.Routing
	}
	return d, nil
}

// updateMembers adds the members that control lists. It changes to another member if that is better: not the leader, which has the most
// work, and in this entry's availability zone.
func (w *watcher) updateMembers(control []*delivererpb.ControlMember) {
	var others, sameZone []int
	onLeader, inZone := false, false
	for _, m := range control {
		if m.Role == "spare" {
			continue
		}
		if !slices.Contains(w.addresses, m.Address) {
			w.addresses = append(w.addresses, m.Address)
		}
		isLocal := w.f.cfg.AvailabilityZone != "" && m.AvailabilityZone == w.f.cfg.AvailabilityZone
		switch i := slices.Index(w.addresses, m.Address); {
		case m.Address == w.address():
			onLeader, inZone = m.Leader, isLocal
		case m.Leader || !m.Alive || time.Since(w.lastFailures[m.Address]) < memberRetryDelay:
		case isLocal:
			sameZone = append(sameZone, i)
		case m.Role == "voter":
			others = append(others, i)
		}
	}
	switch {
	case len(sameZone) > 0 && (onLeader || !inZone):
		w.changeTo(sameZone)
	case len(others) > 0 && onLeader:
		w.changeTo(others)
	}
}

// changeTo changes to one of the members with the given indexes; entries choose different ones.
func (w *watcher) changeTo(members []int) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(w.f.cfg.InstanceID))
	w.current = members[int(h.Sum32())%len(members)]
	w.reconnect()
}
