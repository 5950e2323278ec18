package greeter

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotswitch.example/common/bounder"
	"peridotswitch.example/common/delivererpb"
)

// Config configures a Greeter; all fields but Sync are required.
type Config struct {
	// Dir is the directory that stores the entries.
	Dir              string
	InstanceID       string
	AvailabilityZone string
	// Entries returns the entries that control lists.
	Entries func() []*delivererpb.EntryMember
	// Members returns the members of control, as stored here.
	Members func() []*delivererpb.ControlMember
	// Greet calls an entry at its peer address.
	Greet func(ctx context.Context, address string, req *delivererpb.GreetRequest) error
	Log   zerolog.Logger
	// Sync makes writes to a file or directory durable; (*os.File).Sync when nil.
	Sync func(*os.File) error
}

const (
	fileName = "entries"
	// storeInterval is the least time between two writes of the list.
	storeInterval = 2 * time.Second
	// greetDuration is how long after its start a member calls the entries that have not responded, retryInterval the time between two
	// attempts.
	greetDuration = 2 * time.Second
	retryInterval = 50 * time.Millisecond
	greetTimeout  = 150 * time.Millisecond
	// othersDelay is the time after which a member also calls the entries that other members of its zone call first, unless they are
	// listed by then.
	othersDelay = 600 * time.Millisecond
	// maxParallel limits the calls in progress.
	maxParallel = 8
)

// storedEntry is an entry as stored on disk.
type storedEntry struct {
	InstanceID  string `json:"instance-id"`
	PeerAddress string `json:"peer-address"`
}

// Greeter stores the entries of this member's availability zone and calls them after a restart.
type Greeter struct {
	cfg    Config
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New starts a Greeter; Close stops it.
func New(cfg Config) *Greeter {
	if cfg.Sync == nil {
		cfg.Sync = (*os.File).Sync
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Greeter{cfg: cfg, cancel: cancel}
	stored, err := g.load()
	if err != nil {
		cfg.Log.Warn().Err(err).Msg("stored entries ignored")
	}
	g.wg.Go(func() {
		g.greetAll(ctx, stored)
		g.storeChanges(ctx, stored)
	})
	return g
}

// Close stops the Greeter and waits until it has stopped.
func (g *Greeter) Close() {
	g.cancel()
	g.wg.Wait()
}

// greetAll calls the stored entries until each has responded or is listed again, for greetDuration at most.
func (g *Greeter) greetAll(ctx context.Context, stored []storedEntry) {
	if len(stored) == 0 {
		return
	}
	begin := time.Now()
	zone := g.zoneMembers()
	greeted := make(map[string]bool)
	for ctx.Err() == nil && time.Since(begin) < greetDuration {
		pending := g.pending(stored, greeted, zone, time.Since(begin) >= othersDelay)
		g.greet(ctx, pending, zone, greeted)
		if len(greeted) == len(stored) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	g.cfg.Log.Info().Int("stored", len(stored)).Int("responded", len(greeted)).Dur("took-ms", time.Since(begin)).Msg("entries told of control")
}

// zoneMembers returns the members in this member's zone, ordered by instance id.
func (g *Greeter) zoneMembers() (zone []*delivererpb.ControlMember) {
	for _, m := range g.cfg.Members() {
		if m.AvailabilityZone == g.cfg.AvailabilityZone && m.Role != "spare" {
			zone = append(zone, m)
		}
	}
	slices.SortFunc(zone, func(a, b *delivererpb.ControlMember) int {
		if a.InstanceId < b.InstanceId {
			return -1
		}
		return 1
	})
	return zone
}

// pending returns the entries to call now: those that have neither responded nor are listed, and unless others is set only this member's
// share of them.
func (g *Greeter) pending(stored []storedEntry, greeted map[string]bool, zone []*delivererpb.ControlMember, others bool) (list []storedEntry) {
	for _, m := range g.cfg.Entries() {
		greeted[m.InstanceId] = true
	}
	for _, e := range stored {
		if !greeted[e.InstanceID] && (others || g.isOwn(e, zone)) {
			list = append(list, e)
		}
	}
	return list
}

// isOwn reports whether this member is the first one in its zone to call the entry.
func (g *Greeter) isOwn(e storedEntry, zone []*delivererpb.ControlMember) bool {
	if len(zone) == 0 {
		return true
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.InstanceID))
	return zone[int(h.Sum32())%len(zone)].InstanceId == g.cfg.InstanceID
}

// greet calls the entries, a few at a time, and adds those that respond to greeted.
func (g *Greeter) greet(ctx context.Context, entries []storedEntry, zone []*delivererpb.ControlMember, greeted map[string]bool) {
	// The entry tries the first address first.
	req := &delivererpb.GreetRequest{}
	for _, m := range zone {
		if m.InstanceId == g.cfg.InstanceID {
			req.Control = slices.Insert(req.Control, 0, m.Address)
		} else {
			req.Control = append(req.Control, m.Address)
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallel)
	for _, e := range entries {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, greetTimeout)
			defer cancel()
			if g.cfg.Greet(callCtx, e.PeerAddress, req) == nil {
				mu.Lock()
				greeted[e.InstanceID] = true
				mu.Unlock()
			}
		})
	}
	wg.Wait()
}

// storeChanges writes the list of the zone's entries whenever it has changed. It keeps the stored list while none is listed, as after a
// restart.
func (g *Greeter) storeChanges(ctx context.Context, stored []storedEntry) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(storeInterval):
		}
		var list []storedEntry
		for _, m := range g.cfg.Entries() {
			if m.AvailabilityZone == g.cfg.AvailabilityZone {
				list = append(list, storedEntry{m.InstanceId, m.PeerAddress})
			}
		}
		if len(list) == 0 || slices.Equal(list, stored) {
			continue
		}
		if err := g.store(list); err != nil {
			g.cfg.Log.Warn().Err(err).Msg("failed to store the list of entries")
			continue
		}
		stored = list
	}
}

func (g *Greeter) load() (list []storedEntry, err error) {
	defer func() { err = errors.WithMessage(err, "load entries") }()
	text, err := os.ReadFile(filepath.Join(g.cfg.Dir, fileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if err = json.Unmarshal(text, &list); err != nil {
		return nil, err
	}
	return list, nil
}

// store replaces the file. A loss of power may leave the earlier one in place, which is as good.
func (g *Greeter) store(list []storedEntry) (err error) {
	defer func() { err = errors.WithMessage(err, "store entries") }()
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	name := filepath.Join(g.cfg.Dir, fileName)
	f, err := os.Create(name + ".new")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = g.cfg.Sync(f)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// NewCaller returns a function that calls an entry over HTTP.
func NewCaller() func(ctx context.Context, address string, req *delivererpb.GreetRequest) error {
	client := bounder.NewClient(&http.Transport{DisableKeepAlives: true, DisableCompression: true}, 0)
	return func(ctx context.Context, address string, req *delivererpb.GreetRequest) error {
		_, err := delivererpb.NewGreeterProtobufClient("http://"+address, client).Greet(ctx, req)
		return err
	}
}
