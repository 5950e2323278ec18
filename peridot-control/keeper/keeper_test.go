package keeper

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotswitch.example/common/claimerpb"
	"peridotswitch.example/common/decider"
)

// trio is three replicas that reach each other without a network; a nil one is down.
type trio struct {
	g        Gomega
	names    []string
	replicas map[string]*Keeper
	mu       sync.Mutex
}

func (tr *trio) get(name string) *Keeper {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.replicas[name]
}

func (tr *trio) set(name string, k *Keeper) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.replicas[name] = k
}

func newTrio(t *testing.T) *trio {
	tr := &trio{g: NewWithT(t), names: []string{"a", "b", "c"}, replicas: make(map[string]*Keeper)}
	for _, name := range tr.names {
		tr.start(t, name, t.TempDir())
	}
	tr.joinAll()
	for _, name := range tr.names {
		tr.g.Eventually(tr.active(name), "10s").Should(BeTrue())
	}
	return tr
}

// downClient is a replica that can't be reached.
type downClient struct{ claimerpb.Claimer }

func (downClient) Join(context.Context, *claimerpb.JoinRequest) (*claimerpb.JoinReply, error) {
	return nil, errors.New("down")
}

func (tr *trio) start(t *testing.T, name, dir string) {
	k, err := New(Config{Dir: dir, Peer: func(address string) claimerpb.Claimer {
		if k := tr.get(address); k != nil {
			return k
		}
		return downClient{}
	}})
	tr.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = k.Close() })
	tr.set(name, k)
}

func (tr *trio) joinAll() {
	for i, name := range tr.names {
		if k := tr.get(name); k != nil {
			_, err := k.Join(context.Background(), &claimerpb.JoinRequest{Replicas: tr.names, Position: uint32(i)})
			tr.g.Expect(err).NotTo(HaveOccurred())
		}
	}
}

func (tr *trio) active(name string) func() bool {
	return func() bool { return tr.claim(name, "probe-"+name, 0).Status != claimerpb.Status_STATUS_ABSTAINED }
}

func (tr *trio) claim(name, key string, issuedMS int64) *claimerpb.Reply {
	return claim(tr.g, tr.get(name), groupOf(tr.names), key, issuedMS)
}

func claim(g Gomega, k *Keeper, group uint64, key string, issuedMS int64) *claimerpb.Reply {
	r, err := k.Accept(context.Background(), &claimerpb.AcceptRequest{
		Group: group, Key: key, Ballot: &claimerpb.Ballot{Owner: "me"},
		Value: &claimerpb.Value{State: claimerpb.State_STATE_CLAIMED, Token: "me", IssuedAtMs: issuedMS},
	})
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

func TestLostDisk(t *testing.T) {
	tr := newTrio(t)
	for _, name := range tr.names {
		tr.g.Expect(tr.claim(name, "k", 0).Status).To(Equal(claimerpb.Status_STATUS_OK))
	}
	before := tr.claim("c", "k", 0).Identities
	b := tr.get("b")
	tr.set("b", nil)
	tr.start(t, "c", t.TempDir())
	tr.joinAll()
	tr.g.Consistently(tr.active("c"), "1s").Should(BeFalse(), "with one other replica it can't know what it held")
	tr.set("b", b)
	tr.g.Eventually(tr.active("c"), "10s").Should(BeTrue())
	r, err := tr.get("c").Read(context.Background(), &claimerpb.ReadRequest{Group: groupOf(tr.names), Key: "k"})
	tr.g.Expect(err).NotTo(HaveOccurred())
	tr.g.Expect(r.Value.GetToken()).To(Equal("me"))
	after := tr.claim("a", "other", 0).Identities
	tr.g.Expect(decider.CurrentDisks([]int{2, 0}, [][]uint64{before, after})).To(Equal([]bool{false, true}), "the old disk no longer counts")
}

// alone starts a replica whose group is itself.
func alone(t *testing.T, cfg Config) (*Keeper, uint64) {
	g := NewWithT(t)
	k, err := New(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = k.Join(context.Background(), &claimerpb.JoinRequest{Replicas: []string{"a"}})
	k.join(context.Background())
	return k, groupOf([]string{"a"})
}

func TestDamagedLog(t *testing.T) {
	for name, c := range map[string]struct {
		damage  func(text []byte) []byte
		refused bool
		keys    int
	}{
		"whole":                   {func(b []byte) []byte { return b }, false, 2},
		"torn last record":        {func(b []byte) []byte { return b[:len(b)-3] }, false, 1},
		"torn header":             {func(b []byte) []byte { return append(b, 1, 2, 3) }, false, 2},
		"zeros behind the end":    {func(b []byte) []byte { return append(b, make([]byte, 4096)...) }, false, 2},
		"flipped in the last":     {func(b []byte) []byte { b[len(b)-3] ^= 1; return b }, true, 0},
		"flipped in the middle":   {func(b []byte) []byte { b[len(b)/2] ^= 1; return b }, true, 0},
		"flipped in first length": {func(b []byte) []byte { b[1] ^= 1; return b }, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g, dir := NewWithT(t), t.TempDir()
			k, group := alone(t, Config{Dir: dir})
			claim(g, k, group, "k1", 0)
			claim(g, k, group, "k2", 0)
			g.Expect(k.Close()).To(Succeed())
			path := filepath.Join(dir, logName)
			text, _ := os.ReadFile(path)
			g.Expect(os.WriteFile(path, c.damage(text), 0o600)).To(Succeed())
			k, err := New(Config{Dir: dir})
			if c.refused {
				var corrupt *CorruptError
				g.Expect(errors.As(err, &corrupt)).To(BeTrue(), "%v", err)
				g.Expect(err.Error()).To(ContainSubstring(path))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(k.table.keys).To(Equal(c.keys))
			g.Expect(k.Close()).To(Succeed())
		})
	}
}

func TestFailedSync(t *testing.T) {
	g, dir := NewWithT(t), t.TempDir()
	var broken atomic.Pointer[error]
	full := errors.New("no space left")
	failed := make(chan error, 1)
	k, group := alone(t, Config{Dir: dir, Failed: func(err error) { failed <- err }, Sync: func(f *os.File) error {
		if err := broken.Load(); err != nil {
			return *err
		}
		return f.Sync()
	}})
	t.Cleanup(func() { _ = k.Close() })
	claim(g, k, group, "k1", 0)
	broken.Store(&full)
	for range 2 {
		_, err := k.Prepare(context.Background(), &claimerpb.PrepareRequest{Group: group, Key: "k2", Ballot: &claimerpb.Ballot{Number: 2, Owner: "me"}})
		g.Expect(err).To(MatchError(ContainSubstring("no space left")))
	}
	g.Expect(failed).To(Receive())
	_, err := k.Read(context.Background(), &claimerpb.ReadRequest{Group: group, Key: "k2"})
	g.Expect(err).To(HaveOccurred(), "what isn't synced is not told")
}

func TestNoKeyIsForgotten(t *testing.T) {
	const hour = int64(time.Hour / time.Millisecond)
	for name, wrong := range map[string]time.Duration{"right clock": 0, "10 minutes behind": -10 * time.Minute, "10 minutes ahead": 10 * time.Minute} {
		t.Run(name, func(t *testing.T) {
			g, dir := NewWithT(t), t.TempDir()
			now := func() time.Time { return time.Now().Add(wrong) }
			cfg := Config{Dir: dir, Retention: 24 * time.Hour, Skew: 15 * time.Minute, Now: now}
			k, group := alone(t, cfg)
			issued := time.Now().UnixMilli()
			g.Expect(claim(g, k, group, "old", issued).Status).To(Equal(claimerpb.Status_STATUS_OK))
			g.Expect(claim(g, k, group, "unstamped", 0).Status).To(Equal(claimerpb.Status_STATUS_OK))
			k.mu.Lock()
			k.elapsed += 24*time.Hour + 14*time.Minute
			k.mu.Unlock()
			k.sweep()
			g.Expect(k.table.get("old")).NotTo(BeNil(), "kept for the retention and the skew")
			k.mu.Lock()
			k.elapsed += 2 * time.Minute
			k.mu.Unlock()
			k.sweep()
			g.Expect(k.table.get("old")).To(BeNil())
			g.Expect(k.table.get("unstamped")).NotTo(BeNil(), "kept for longer")
			g.Expect(k.Close()).To(Succeed())
			k, group = alone(t, cfg)
			g.Expect(claim(g, k, group, "old", issued).Status).To(Equal(claimerpb.Status_STATUS_EXPIRED))
			g.Expect(claim(g, k, group, "new", issued+1).Status).To(Equal(claimerpb.Status_STATUS_OK))
			g.Expect(claim(g, k, group, "ancient", issued-25*hour).Status).To(Equal(claimerpb.Status_STATUS_EXPIRED))
			g.Expect(k.Close()).To(Succeed())
		})
	}
}
