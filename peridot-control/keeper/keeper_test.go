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

// cluster is a group of three replicas that call each other directly. A nil replica is down.
type cluster struct {
	g        Gomega
	names    []string
	replicas map[string]*Keeper
	mu       sync.Mutex
}

func (cl *cluster) get(name string) *Keeper {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.replicas[name]
}

func (cl *cluster) set(name string, k *Keeper) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.replicas[name] = k
}

func newCluster(t *testing.T) *cluster {
	cl := &cluster{g: NewWithT(t), names: []string{"a", "b", "c"}, replicas: make(map[string]*Keeper)}
	for _, name := range cl.names {
		cl.start(t, name, t.TempDir())
	}
	cl.joinAll()
	for _, name := range cl.names {
		cl.g.Eventually(cl.active(name), "10s").Should(BeTrue())
	}
	return cl
}

// downClient is the client of an unreachable replica.
type downClient struct{ claimerpb.Claimer }

func (downClient) Join(context.Context, *claimerpb.JoinRequest) (*claimerpb.JoinReply, error) {
	return nil, errors.New("down")
}

func (cl *cluster) start(t *testing.T, name, dir string) {
	k, err := New(Config{Dir: dir, NewPeerClient: func(address string) claimerpb.Claimer {
		if k := cl.get(address); k != nil {
			return k
		}
		return downClient{}
	}})
	cl.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = k.Close() })
	cl.set(name, k)
}

func (cl *cluster) joinAll() {
	for i, name := range cl.names {
		if k := cl.get(name); k != nil {
			_, err := k.Join(context.Background(), &claimerpb.JoinRequest{Replicas: cl.names, Position: uint32(i)})
			cl.g.Expect(err).NotTo(HaveOccurred())
		}
	}
}

func (cl *cluster) active(name string) func() bool {
	return func() bool { return cl.claim(name, "probe-"+name, 0).Status != claimerpb.Status_STATUS_ABSTAINED }
}

func (cl *cluster) claim(name, key string, issuedMS int64) *claimerpb.Reply {
	return claim(cl.g, cl.get(name), groupHash(cl.names), key, issuedMS)
}

func claim(g Gomega, k *Keeper, group uint64, key string, issuedMS int64) *claimerpb.Reply {
	r, err := k.Accept(context.Background(), &claimerpb.AcceptRequest{
		Group: group, Key: key, Ballot: &claimerpb.Ballot{Owner: "me"},
		Value: &claimerpb.Value{State: claimerpb.State_STATE_CLAIMED, Token: "me", IssuedAtMs: issuedMS},
	})
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

// A replica that has lost its disk may have accepted claims there: it must not take part before it has copied the registers from a
// quorum, and replies from its old disk must no longer count.
func TestReplicaRebuildsAfterDiskLoss(t *testing.T) {
	cl := newCluster(t)
	for _, name := range cl.names {
		cl.g.Expect(cl.claim(name, "k", 0).Status).To(Equal(claimerpb.Status_STATUS_OK))
	}
	before := cl.claim("c", "k", 0).Identities
	b := cl.get("b")
	cl.set("b", nil)
	cl.start(t, "c", t.TempDir())
	cl.joinAll()
	cl.g.Consistently(cl.active("c"), "1s").Should(BeFalse(), "activated without a quorum to copy from")
	cl.set("b", b)
	cl.g.Eventually(cl.active("c"), "10s").Should(BeTrue())
	r, err := cl.get("c").Read(context.Background(), &claimerpb.ReadRequest{Group: groupHash(cl.names), Key: "k"})
	cl.g.Expect(err).NotTo(HaveOccurred())
	cl.g.Expect(r.Value.GetToken()).To(Equal("me"))
	after := cl.claim("a", "other", 0).Identities
	cl.g.Expect(decider.CurrentDisks([]int{2, 0}, [][]uint64{before, after})).To(Equal([]bool{false, true}), "replies from c's old disk count, or those from a don't")
}

// startSingle starts a replica that is the only one of its group.
func startSingle(t *testing.T, cfg Config) (*Keeper, uint64) {
	g := NewWithT(t)
	k, err := New(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = k.Join(context.Background(), &claimerpb.JoinRequest{Replicas: []string{"a"}})
	k.join(context.Background())
	return k, groupHash([]string{"a"})
}

func TestCorruptLog(t *testing.T) {
	for name, c := range map[string]struct {
		corrupt func(data []byte) []byte
		refused bool
		keys    int
	}{
		"intact":                  {func(b []byte) []byte { return b }, false, 2},
		"torn last record":        {func(b []byte) []byte { return b[:len(b)-3] }, false, 1},
		"torn header":             {func(b []byte) []byte { return append(b, 1, 2, 3) }, false, 2},
		"zeros after the end":     {func(b []byte) []byte { return append(b, make([]byte, 4096)...) }, false, 2},
		"bit flip in last record": {func(b []byte) []byte { b[len(b)-3] ^= 1; return b }, true, 0},
		"bit flip in the middle":  {func(b []byte) []byte { b[len(b)/2] ^= 1; return b }, true, 0},
		"bit flip in a length":    {func(b []byte) []byte { b[1] ^= 1; return b }, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g, dir := NewWithT(t), t.TempDir()
			k, group := startSingle(t, Config{Dir: dir})
			claim(g, k, group, "k1", 0)
			claim(g, k, group, "k2", 0)
			g.Expect(k.Close()).To(Succeed())
			path := filepath.Join(dir, logName)
			data, _ := os.ReadFile(path)
			g.Expect(os.WriteFile(path, c.corrupt(data), 0o600)).To(Succeed())
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

func TestReplicaAcknowledgesNothingAfterFailedSync(t *testing.T) {
	g, dir := NewWithT(t), t.TempDir()
	var syncErr atomic.Pointer[error]
	noSpace := errors.New("no space left")
	failed := make(chan error, 1)
	k, group := startSingle(t, Config{Dir: dir, OnFailure: func(err error) { failed <- err }, Sync: func(f *os.File) error {
		if err := syncErr.Load(); err != nil {
			return *err
		}
		return f.Sync()
	}})
	t.Cleanup(func() { _ = k.Close() })
	claim(g, k, group, "k1", 0)
	syncErr.Store(&noSpace)
	for range 2 {
		_, err := k.Prepare(context.Background(), &claimerpb.PrepareRequest{Group: group, Key: "k2", Ballot: &claimerpb.Ballot{Number: 2, Owner: "me"}})
		g.Expect(err).To(MatchError(ContainSubstring("no space left")))
	}
	g.Expect(failed).To(Receive())
	_, err := k.Read(context.Background(), &claimerpb.ReadRequest{Group: group, Key: "k2"})
	g.Expect(err).To(HaveOccurred(), "a read returned state that isn't synced")
}

// A key that was dropped at the end of its retention must be refused as expired, also after a restart and with a clock that is wrong
// by less than the skew: otherwise a late resend would run the call again.
func TestDroppedKeyStaysExpired(t *testing.T) {
	const hour = int64(time.Hour / time.Millisecond)
	for name, clockError := range map[string]time.Duration{"correct clock": 0, "10 minutes slow": -10 * time.Minute, "10 minutes fast": 10 * time.Minute} {
		t.Run(name, func(t *testing.T) {
			g, dir := NewWithT(t), t.TempDir()
			now := func() time.Time { return time.Now().Add(clockError) }
			cfg := Config{Dir: dir, Retention: 24 * time.Hour, Skew: 15 * time.Minute, Now: now}
			k, group := startSingle(t, cfg)
			issued := time.Now().UnixMilli()
			g.Expect(claim(g, k, group, "old", issued).Status).To(Equal(claimerpb.Status_STATUS_OK))
			g.Expect(claim(g, k, group, "unstamped", 0).Status).To(Equal(claimerpb.Status_STATUS_OK))
			k.mu.Lock()
			k.priorUptime += 24*time.Hour + 14*time.Minute
			k.mu.Unlock()
			k.sweep()
			g.Expect(k.table.get("old")).NotTo(BeNil(), "dropped before the retention plus the skew")
			k.mu.Lock()
			k.priorUptime += 2 * time.Minute
			k.mu.Unlock()
			k.sweep()
			g.Expect(k.table.get("old")).To(BeNil())
			g.Expect(k.table.get("unstamped")).NotTo(BeNil(), "dropped before the unstamped retention")
			g.Expect(k.Close()).To(Succeed())
			k, group = startSingle(t, cfg)
			g.Expect(claim(g, k, group, "old", issued).Status).To(Equal(claimerpb.Status_STATUS_EXPIRED))
			g.Expect(claim(g, k, group, "new", issued+1).Status).To(Equal(claimerpb.Status_STATUS_OK))
			g.Expect(claim(g, k, group, "ancient", issued-25*hour).Status).To(Equal(claimerpb.Status_STATUS_EXPIRED))
			g.Expect(k.Close()).To(Succeed())
		})
	}
}

// Guards against claims that are gone after a loss of power because the log's directory was created and never synced in its parent.
func TestNewLogIsDurableWithItsDirectory(t *testing.T) {
	g := NewWithT(t)
	parent := t.TempDir()
	var synced []string
	k, err := New(Config{Dir: filepath.Join(parent, "claims"), Sync: func(f *os.File) error {
		synced = append(synced, f.Name())
		return f.Sync()
	}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(k.Close()).To(Succeed())
	g.Expect(synced).To(ContainElements(parent, filepath.Join(parent, "claims"), filepath.Join(parent, "claims", logName)))
}
