package follower

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/followerpb"
)

// Config configures a Follower.
type Config struct {
	// InstanceID is this entry's name in the inventory.
	InstanceID string
	// AvailabilityZone is this entry's zone, whose control members it prefers; empty for no preference.
	AvailabilityZone string
	// Control lists the addresses of control members, as ip:port.
	Control []string
	// Dir is the directory that stores the newest revision across restarts; empty stores nothing.
	Dir string
	// NewWatchRequest returns a watch request that describes this entry; the Follower sets its revision, versions and wait.
	NewWatchRequest func() *delivererpb.WatchRequest
	// NewReport returns what ReportNow sends: a request that describes this entry, and a function to call once control has taken it. It is
	// called concurrently with NewWatchRequest. With nil, ReportNow does nothing.
	NewReport func() (report *delivererpb.WatchRequest, onTaken func())
	// OnError is called after each failed watch and report, and OnWatchFailure with its cause; nil for no call of the latter.
	OnError        func(error)
	OnWatchFailure func(Cause)
	// OnStuck is called when watches fail for a reason that retries can't mend, and with nil when they no longer do; nil for no call.
	OnStuck func(error)
	// OnRejected is called when control has not taken the requests of NewWatchRequest several times in a row, so that what they report can
	// be left out of the next one; nil for no call.
	OnRejected func()
	// OnServers is called with changes to control's table of backend servers, or with the full table if full is set. It is nil if
	// backend servers announce themselves to entries.
	OnServers func(changed []*delivererpb.BackendServer, full bool)
	// OnServerReports is called with what entries have reported of backend servers; nil for no call.
	OnServerReports func([]*delivererpb.ServerReport)
	// OnContained is called with the whole list of the requests that all entries refuse, when it has changed; nil for no call.
	OnContained func([]*delivererpb.Suspect)
	// OnEvacuated is called with the evacuated availability zones when their list has changed; nil for no call.
	OnEvacuated func(zones []string)
	// OnAnswered is called when control has answered the request that NewWatchRequest returned last; nil for no call.
	OnAnswered func()
	// OnConfirmed is called when control has also confirmed, by a majority, that this entry's configuration is the newest; the list of
	// entries of its answer is in force by then. It is nil for no call.
	OnConfirmed func()
	// OnEntries is called with each list of entries that comes into force; nil for no call.
	OnEntries func([]*delivererpb.EntryMember)
	// Seeds returns further addresses of control members. It is called before each watch, as the list may change; nil for none.
	Seeds func() []string
	// ParseRouting parses routing documents; nil means parser.ParseRouting.
	ParseRouting parser.RoutingParser
	// ServeUnconfirmed lets the entry keep serving its configuration while nobody confirms that it is the newest.
	ServeUnconfirmed bool
	// OnRevision is called with each revision that comes into force; nil for no call.
	OnRevision func(*parser.Configuration)
}

// maxLease is how long after a confirmation an entry may treat its revision as the newest.
const maxLease = 3 * time.Second

// Follower holds the newest configuration that this entry has received.
type Follower struct {
	cfg     Config
	current atomic.Pointer[configuration]
	entries atomic.Pointer[[]*delivererpb.EntryMember]
	// servingIDs is derived from entries.
	servingIDs atomic.Pointer[[]string]
	// controlExpires and peersExpires are when the last confirmation by control and by the other entries expires.
	controlExpires atomic.Pointer[time.Time]
	peersExpires   atomic.Pointer[time.Time]
	installMu      sync.Mutex
	// evacuation is replaced with installMu held.
	evacuation atomic.Pointer[evacuation]
	// serversVersion is the version of the backend server table held. Only the goroutine that watches uses it.
	serversVersion uint64
	// containedVersion is the version of the list of contained requests held. Only the goroutine that watches uses it.
	containedVersion uint64
	// stuck holds why watches fail lastingly; nil, or a nil error, if they don't.
	stuck atomic.Pointer[error]
	// learned holds the addresses of control members that Learn was given; learnedSignal interrupts the search for a member.
	learnedMu     sync.Mutex
	learned       []string
	learnedSignal chan struct{}
	// wake makes the reporter send a report.
	wake chan struct{}
	// members holds the addresses of control members, beginning with the one that is watched. It is replaced when that changes.
	members atomic.Pointer[[]string]
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// configuration is a parsed revision with its source documents.
type configuration struct {
	parsed    *parser.Configuration
	documents *followerpb.Documents
}

// New loads the stored configuration, if any, and starts following; Close stops it.
func New(cfg Config) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	if cfg.ParseRouting == nil {
		cfg.ParseRouting = parser.ParseRouting
	}
	f := &Follower{cfg: cfg, cancel: cancel, wake: make(chan struct{}, 1), learnedSignal: make(chan struct{}, 1)}
	f.storeEntries(nil)
	f.evacuation.Store(&evacuation{})
	f.controlExpires.Store(&time.Time{})
	f.peersExpires.Store(&time.Time{})
	if cfg.Dir != "" {
		if err := f.load(); err != nil {
			cfg.OnError(errors.WithMessage(err, "stored configuration ignored"))
		}
	}
	f.members.Store(&cfg.Control)
	f.wg.Go(func() { f.followControl(ctx) })
	if cfg.NewReport != nil {
		f.wg.Go(func() { f.sendReports(ctx) })
	}
	if !cfg.ServeUnconfirmed {
		f.wg.Go(func() { f.followPeers(ctx) })
	}
	return f
}

// Close stops the Follower and waits until it has stopped.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
}

// ReportNow sends the result of NewReport to control at once, or reportInterval after the report before. It doesn't wait for that, and leaves
// the watch under way as it is.
func (f *Follower) ReportNow() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// maxLearned limits the addresses that Learn keeps.
const maxLearned = 64

// Learn adds addresses of control members, as ip:port, to those that are tried when no member has responded yet.
func (f *Follower) Learn(addresses []string) {
	f.learnedMu.Lock()
	added := false
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err == nil && len(f.learned) < maxLearned && !slices.Contains(f.learned, address) {
			f.learned = append(f.learned, address)
			added = true
		}
	}
	f.learnedMu.Unlock()
	if !added {
		return
	}
	select {
	case f.learnedSignal <- struct{}{}:
	default:
	}
}

// Current returns the newest configuration that this entry holds, or nil if it has none yet.
func (f *Follower) Current() *parser.Configuration {
	if c := f.current.Load(); c != nil {
		return c.parsed
	}
	return nil
}

// CanServe reports whether the entry may take new calls. It may while control or a majority of the inventory's entries has
// confirmed, within the lease, that no newer revision is accepted; with ServeUnconfirmed, any configuration is enough.
func (f *Follower) CanServe() bool {
	now := time.Now()
	if f.cfg.ServeUnconfirmed {
		return f.current.Load() != nil
	}
	return f.current.Load() != nil && (now.Before(*f.controlExpires.Load()) || now.Before(*f.peersExpires.Load()))
}

// IsConfirmed reports whether control has confirmed within the lease that no newer revision is accepted.
func (f *Follower) IsConfirmed() bool {
	return f.current.Load() != nil && time.Now().Before(*f.controlExpires.Load())
}

// Entries returns the entries that control lists as members.
func (f *Follower) Entries() []*delivererpb.EntryMember { return *f.entries.Load() }

// ServingIDs returns the instance ids of the entries that control lists as serving callers, in a list that is replaced when it changes.
func (f *Follower) ServingIDs() []string { return *f.servingIDs.Load() }

func (f *Follower) storeEntries(list []*delivererpb.EntryMember) {
	ids := make([]string, 0, len(list))
	for _, m := range list {
		if m.Synchronised && !m.Stopping {
			ids = append(ids, m.InstanceId)
		}
	}
	f.entries.Store(&list)
	if old := f.servingIDs.Load(); old == nil || !slices.Equal(*old, ids) {
		f.servingIDs.Store(&ids)
	}
}

// Handler returns the handler for requests from other entries, to be mounted at Prefix.
func (f *Follower) Handler() http.Handler { return followerpb.NewPeerServer(f) }

// Prefix is the path prefix that Handler serves.
const Prefix = followerpb.PeerPathPrefix

func (f *Follower) revision() uint64 {
	if c := f.current.Load(); c != nil {
		return c.parsed.Revision
	}
	return 0
}

// install makes d the current configuration if it is newer. It is stored on disk before OnRevision is called and before other
// entries or control can learn that this entry holds it.
func (f *Follower) install(d *followerpb.Documents) (err error) {
	defer func() { err = errors.WithMessagef(err, "install revision %d", d.Revision) }()
	f.installMu.Lock()
	defer f.installMu.Unlock()
	if d.Revision <= f.revision() {
		return nil
	}
	parsed, err := f.parse(d)
	if err != nil {
		return err
	}
	if f.cfg.Dir != "" {
		if err = f.save(d); err != nil {
			return err
		}
	}
	f.current.Store(&configuration{parsed, d})
	if f.cfg.OnRevision != nil {
		f.cfg.OnRevision(parsed)
	}
	return nil
}

func (f *Follower) parse(d *followerpb.Documents) (*parser.Configuration, error) {
	cfg, err := parser.ParseConfiguration(d.Revision, d.Inventory, d.Rules)
	if err != nil {
		return nil, err
	}
	if len(d.Routing) > 0 {
		if cfg.Routing, err = f.cfg.ParseRouting(d.Routing); err != nil {
			return nil, err
		}
		cfg.Hash = parser.Hash(d.Inventory, d.Rules, d.Routing)
	}
	if cfg.Hash != d.Hash {
		return nil, errors.Errorf("hash is %s, want %s", cfg.Hash, d.Hash)
	}
	return cfg, nil
}
