package follower

import (
	"context"
	"net/http"
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
	// Control is where control members listen, as ip:port.
	Control []string
	// Folder keeps the newest revision over restarts; nothing is kept when empty.
	Folder string
	// Self fills in what this entry says of itself; the Follower sets revision, hash and wait.
	Self func() *delivererpb.WatchRequest
	// OnError is told of each failed watch.
	OnError func(error)
	// OnServers is told what has changed in control's table of backend servers, or with whole set all of it; nil when entries hear
	// announcements themselves.
	OnServers func(changed []*delivererpb.BackendServer, whole bool)
	// Seeds lists further addresses of control members, which may change; nil for none.
	Seeds func() []string
	// ParseRouting decodes routing documents; parser.ParseRouting when nil.
	ParseRouting parser.RoutingParser
	// ServeUnconfirmed lets the entry go on with what it holds while nobody confirms that it is the newest.
	ServeUnconfirmed bool
	// OnRevision is told of each revision that comes into force; nil for nobody.
	OnRevision func(*parser.Configuration)
}

// maxLease is how long after a confirmation an entry may take its revision for the newest.
const maxLease = 3 * time.Second

// Follower holds the newest configuration that this entry has heard of.
type Follower struct {
	cfg     Config
	current atomic.Pointer[configuration]
	entries atomic.Pointer[[]*delivererpb.EntryMember]
	// controlExpires and peersUntil are when the confirmation by control and by the other entries runs out.
	controlExpires atomic.Pointer[time.Time]
	peersExpires   atomic.Pointer[time.Time]
	installMu      sync.Mutex
	// serversVersion is of the table of backend servers; only the watch touches it.
	serversVersion uint64
	// wake ends the wait of the watch under way.
	wake   chan struct{}
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// configuration is a parsed revision with the text that it came from.
type configuration struct {
	parsed    *parser.Configuration
	documents *followerpb.Documents
}

// New reads what the folder holds and starts following; Close stops it.
func New(cfg Config) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	if cfg.ParseRouting == nil {
		cfg.ParseRouting = parser.ParseRouting
	}
	f := &Follower{cfg: cfg, cancel: cancel, wake: make(chan struct{}, 1)}
	f.entries.Store(&[]*delivererpb.EntryMember{})
	f.controlExpires.Store(&time.Time{})
	f.peersExpires.Store(&time.Time{})
	if cfg.Folder != "" {
		if err := f.load(); err != nil {
			cfg.OnError(errors.WithMessage(err, "the kept configuration is left unused"))
		}
	}
	f.wg.Go(func() { f.followControl(ctx) })
	if !cfg.ServeUnconfirmed {
		f.wg.Go(func() { f.followPeers(ctx) })
	}
	return f
}

// Close stops following and waits for it.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
}

// Tell has control told at once what Self says now.
func (f *Follower) Tell() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Current returns the newest configuration that this entry holds, or nil before the first.
func (f *Follower) Current() *parser.Configuration {
	if c := f.current.Load(); c != nil {
		return c.parsed
	}
	return nil
}

// Serving reports whether the entry may take new calls: control, or a majority of the inventory's entries, has confirmed
// within the lease that no newer revision is accepted.
func (f *Follower) Serving() bool {
	now := time.Now()
	if f.cfg.ServeUnconfirmed {
		return f.current.Load() != nil
	}
	return f.current.Load() != nil && (now.Before(*f.controlExpires.Load()) || now.Before(*f.peersExpires.Load()))
}

// Entries returns the entries that control lists.
func (f *Follower) Entries() []*delivererpb.EntryMember { return *f.entries.Load() }

// Handler serves the other entries under Prefix.
func (f *Follower) Handler() http.Handler { return followerpb.NewPeerServer(f) }

// Prefix is the path that Handler serves.
const Prefix = followerpb.PeerPathPrefix

func (f *Follower) revision() uint64 {
	if c := f.current.Load(); c != nil {
		return c.parsed.Revision
	}
	return 0
}

// install makes documents the current ones when they are newer; they are kept on disk before anyone is told.
func (f *Follower) install(d *followerpb.Documents) (err error) {
	defer func() { err = errors.WithMessagef(err, "take revision %d", d.Revision) }()
	f.installMu.Lock()
	defer f.installMu.Unlock()
	if d.Revision <= f.revision() {
		return nil
	}
	parsed, err := f.parse(d)
	if err != nil {
		return err
	}
	if f.cfg.Folder != "" {
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
