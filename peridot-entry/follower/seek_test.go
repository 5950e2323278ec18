package follower

import (
	"context"
	"net"
	"testing"
	"time"
)

// Load pattern: control members come back one after the other. An entry turns to the first that listens instead of waiting for others.
func TestSeek(t *testing.T) {
	listener := func(t *testing.T) (address string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		return l.Addr().String()
	}
	silent := func(t *testing.T) (address string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		return l.Addr().String()
	}
	tests := map[string]struct {
		members []func(*testing.T) string
		// tried are positions in members that have failed already.
		tried []int
		want  int
		found bool
	}{
		"the only one that listens":                   {[]func(*testing.T) string{silent, silent, listener}, nil, 2, true},
		"one that has failed is left out":             {[]func(*testing.T) string{listener, silent, listener}, []int{0}, 2, true},
		"nobody listens":                              {[]func(*testing.T) string{silent, silent}, nil, 0, false},
		"nobody listens but one that has just failed": {[]func(*testing.T) string{silent, listener}, []int{1}, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := &watcher{failedMembers: make(map[string]bool)}
			for _, m := range tt.members {
				w.addresses = append(w.addresses, m(t))
			}
			for _, i := range tt.tried {
				w.failedMembers[w.addresses[i]] = true
			}
			began := time.Now()
			found := w.selectReachable(context.Background())
			if found != tt.found || w.current != tt.want {
				t.Errorf("turned to member %d, found %t; want %d, %t", w.current, found, tt.want, tt.found)
			}
			if took := time.Since(began); !found && took < reachTimeout {
				t.Errorf("gave up after %v, want %v", took, reachTimeout)
			}
		})
	}
}
