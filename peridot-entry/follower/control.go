package follower

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/differ"
	"peridotswitch.example/peridot-entry/followerpb"
)

// Bounds of one watch. A member that says nothing for watchTimeout after the wait is left for another.
const (
	watchWait    = 500 * time.Millisecond
	watchTimeout = 1100 * time.Millisecond
	watchBackoff = 100 * time.Millisecond
	dialTimeout  = 300 * time.Millisecond
	// reachTimeout is for how long members are asked at once for a connection, and seekDial for how long each time: what is sent to one
	// without power is lost, also when that comes back meanwhile. seekEvery is the pause before the next time.
	reachTimeout       = 300 * time.Millisecond
	reachDialTimeout   = 60 * time.Millisecond
	reachRetryInterval = 25 * time.Millisecond
)

// watcher goes round the control members.
type watcher struct {
	f         *Follower
	addresses []string
	current   int
	client    *http.Client
	// entriesVersion is of the entries list held, as the member at hand counts it.
	entriesVersion  uint64
	lastWatchFailed bool
	// failedMembers are the members that have failed since a watch was last answered.
	failedMembers map[string]bool
	interrupted   atomic.Bool
}

func (f *Follower) followControl(ctx context.Context) {
	w := &watcher{f: f, addresses: slices.Clone(f.cfg.Control), failedMembers: make(map[string]bool)}
	for _, c := range f.cfg.InstanceID {
		// Entries begin at different members.
		w.current += int(c)
	}
	w.advance()
	w.waitForReachable(ctx)
	for ctx.Err() == nil {
		w.addSeeds()
		if err := w.watch(ctx); err == nil {
			w.lastWatchFailed = false
			clear(w.failedMembers)
			continue
		} else if ctx.Err() == nil {
			f.cfg.OnError(errors.WithMessage(err, "watch configuration"))
		}
		w.lastWatchFailed = true
		w.switchMember(ctx)
	}
	w.client.CloseIdleConnections()
}

// switchMember turns from a member that has failed to one that has not, after a pause when all have.
func (w *watcher) switchMember(ctx context.Context) {
	w.failedMembers[w.address()] = true
	if len(w.candidates()) == 0 {
		clear(w.failedMembers)
		select {
		case <-ctx.Done():
		case <-time.After(watchBackoff):
		}
	}
	w.advance()
	w.waitForReachable(ctx)
}

// waitForReachable turns to a member that takes connections, one that has failed only when no other does.
func (w *watcher) waitForReachable(ctx context.Context) {
	for ctx.Err() == nil && !w.selectReachable(ctx) {
		w.f.cfg.OnError(errors.Errorf("no control member takes a connection, %d of %d asked", len(w.candidates()), len(w.addresses)))
		clear(w.failedMembers)
		w.addSeeds()
	}
}

// candidates lists the positions of the members that have not failed.
func (w *watcher) candidates() (list []int) {
	for i := range w.addresses {
		if at := (w.current + i) % len(w.addresses); !w.failedMembers[w.addresses[at]] {
			list = append(list, at)
		}
	}
	return list
}

// selectReachable turns to the first untried member that takes a connection: one that has lost power would hold up all others. It reports false
// when none does within seekTimeout.
func (w *watcher) selectReachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	list := w.candidates()
	listens := make(chan int, len(list))
	for _, at := range list {
		address := w.addresses[at]
		go func() {
			if waitForListener(ctx, address) {
				listens <- at
			}
		}()
	}
	select {
	case w.current = <-listens:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitForListener reports whether something listens at address before ctx ends.
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

// advance turns to another member over a new connection.
func (w *watcher) advance() {
	if w.client != nil {
		w.client.CloseIdleConnections()
	}
	w.current++
	w.entriesVersion = 0
	w.client = &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true,
	}}
}

// addSeeds takes in addresses that the settings have come to name.
func (w *watcher) addSeeds() {
	if w.f.cfg.Seeds == nil {
		return
	}
	for _, address := range w.f.cfg.Seeds() {
		if !slices.Contains(w.addresses, address) {
			w.addresses = append(w.addresses, address)
		}
	}
}

func (w *watcher) address() string { return w.addresses[w.current%len(w.addresses)] }

func (w *watcher) watch(ctx context.Context) error {
	f := w.f
	req := f.cfg.Self()
	req.EntriesVersion, req.ServersVersion = w.entriesVersion, f.serversVersion
	if cur := f.Current(); cur != nil {
		req.Revision = cur.Revision
	}
	if !w.lastWatchFailed && req.Revision > 0 {
		req.WaitMs = uint32(watchWait.Milliseconds())
	}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMs)*time.Millisecond+watchTimeout)
	defer cancel()
	watchDone := make(chan struct{})
	defer close(watchDone)
	go func() {
		select {
		case <-f.wake:
			w.interrupted.Store(true)
			cancel()
		case <-watchDone:
		}
	}()
	reply, err := delivererpb.NewDelivererProtobufClient("http://"+w.address(), w.client).Watch(ctx, req)
	if w.interrupted.Swap(false) && err != nil {
		return nil
	}
	if err != nil {
		return err
	}
	if reply.Changed {
		documents, err := f.resolveDocuments(reply)
		if err != nil {
			return err
		}
		if err = f.install(documents); err != nil {
			return err
		}
	}
	if f.cfg.OnServers != nil && reply.ServersVersion > f.serversVersion {
		servers, err := decodeServers(reply)
		if err != nil {
			return err
		}
		f.cfg.OnServers(servers, reply.ServersWhole)
		f.serversVersion = reply.ServersVersion
	}
	if reply.LeaseMs > 0 && reply.Revision >= f.revision() {
		until := sent.Add(min(maxLease, time.Duration(reply.LeaseMs)*time.Millisecond))
		f.controlExpires.Store(&until)
	}
	if reply.EntriesVersion != w.entriesVersion {
		f.entries.Store(&reply.Entries)
		w.entriesVersion = reply.EntriesVersion
		w.updateMembers(reply.Control)
	}
	return nil
}

// decodeServers returns the backend servers of a reply, whichever way they came.
func decodeServers(reply *delivererpb.WatchReply) (servers []*delivererpb.BackendServer, err error) {
	defer func() { err = errors.WithMessage(err, "take the backend servers") }()
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

// resolveDocuments fills in the document that was left out because it hasn't changed; a wrong guess shows in the hash.
func (f *Follower) resolveDocuments(reply *delivererpb.WatchReply) (d *followerpb.Documents, err error) {
	d = &followerpb.Documents{Revision: reply.Revision, Hash: reply.Hash, Inventory: reply.Inventory, Rules: reply.Rules}
	held := f.current.Load()
	var base []byte
	if held != nil && reply.RoutingBase > 0 {
		base = held.documents.Routing
	}
	if !reply.RoutingKept && len(reply.Routing) > 0 {
		if d.Routing, err = differ.Decode(base, reply.Routing); err != nil {
			return nil, errors.WithMessage(err, "take the routing")
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

// updateMembers takes over the members that control names, and leaves the leader, which has enough to do, for another voter.
func (w *watcher) updateMembers(control []*delivererpb.ControlMember) {
	others := 0
	leads := false
	for _, m := range control {
		if m.Role == "spare" {
			continue
		}
		if !slices.Contains(w.addresses, m.Address) {
			w.addresses = append(w.addresses, m.Address)
		}
		switch {
		case m.Address == w.address():
			leads = m.Leader
		case m.Alive && m.Role == "voter":
			others++
		}
	}
	if leads && others > 0 {
		w.advance()
	}
}
