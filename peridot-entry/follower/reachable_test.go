package follower

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// When control members come back one after the other, an entry must change to the first that listens, not wait for the others.
func TestSelectReachable(t *testing.T) {
	listener := func(t *testing.T) (address string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		return l.Addr().String()
	}
	closed := func(t *testing.T) (address string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		return l.Addr().String()
	}
	tests := map[string]struct {
		members []func(*testing.T) string
		// failed holds the indexes of members that have failed already.
		failed []int
		want   int
		found  bool
	}{
		"one member listens":           {[]func(*testing.T) string{closed, closed, listener}, nil, 2, true},
		"failed member is skipped":     {[]func(*testing.T) string{listener, closed, listener}, []int{0}, 2, true},
		"no member listens":            {[]func(*testing.T) string{closed, closed}, nil, 0, false},
		"only a failed member listens": {[]func(*testing.T) string{closed, listener}, []int{1}, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := &watcher{f: &Follower{}, failedMembers: make(map[string]bool)}
			for _, m := range tt.members {
				w.addresses = append(w.addresses, m(t))
			}
			for _, i := range tt.failed {
				w.failedMembers[w.addresses[i]] = true
			}
			start := time.Now()
			found := w.selectReachable(context.Background())
			if found != tt.found || w.current != tt.want {
				t.Errorf("selectReachable() chose member %d, found %t; want member %d, found %t", w.current, found, tt.want, tt.found)
			}
			if elapsed := time.Since(start); !found && elapsed < reachTimeout {
				t.Errorf("selectReachable() gave up after %v, want %v", elapsed, reachTimeout)
			}
		})
	}
}

// After a restart an entry knows only the seeds. When a control member tells it of others, it must not wait for the seeds any longer.
func TestLearnedMemberIsUsedBeforeTheSeedsReturn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f := &Follower{cfg: Config{OnError: func(error) {}, Seeds: func() []string { return []string{"127.0.0.1:1"} }}, learnedSignal: make(chan struct{}, 1)}
	w := &watcher{f: f, addresses: []string{"127.0.0.1:1"}, failedMembers: make(map[string]bool)}
	const delay = 50 * time.Millisecond
	time.AfterFunc(delay, func() { f.Learn([]string{"no address", l.Addr().String()}) })
	start := time.Now()
	w.waitForReachable(context.Background())
	if elapsed := time.Since(start); w.address() != l.Addr().String() || elapsed >= reachTimeout {
		t.Errorf("chose %s after %v, want the learned member before %v", w.address(), elapsed, reachTimeout)
	}
	if len(w.addresses) != 2 {
		t.Errorf("addresses are %v, want the seed and the learned one", w.addresses)
	}
	for i := range 2 * maxLearned {
		f.Learn([]string{fmt.Sprintf("127.0.0.1:%d", 1000+i)})
	}
	if len(f.learned) != maxLearned {
		t.Errorf("%d addresses are kept, want at most %d", len(f.learned), maxLearned)
	}
}

// When hundreds of entries start together, each must not open a connection to each control member: one that accepts at once is enough.
func TestOneReachableMemberIsDialedAlone(t *testing.T) {
	var accepted atomic.Int32
	w := &watcher{f: &Follower{}, failedMembers: make(map[string]bool)}
	for range 6 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				accepted.Add(1)
				_ = c.Close()
			}
		}()
		w.addresses = append(w.addresses, l.Addr().String())
	}
	if !w.selectReachable(context.Background()) {
		t.Fatal("no member was found")
	}
	time.Sleep(reachTimeout)
	// Beside a busy machine the first may take longer than reachStagger to accept.
	if n := accepted.Load(); n > 2 {
		t.Errorf("%d members were dialed, want one", n)
	}
}
