package supervisor

import (
	"net"
	"testing"
	"time"
)

// A crash must be distinguished from a broken connection even if the process closes its listener last, after its connections.
func TestConnectionRefused(t *testing.T) {
	tests := map[string]struct {
		serve func(l net.Listener)
		want  bool
	}{
		"closed":               {func(l net.Listener) { _ = l.Close() }, true},
		"closed shortly after": {func(l net.Listener) { time.AfterFunc(exitTime/4, func() { _ = l.Close() }) }, true},
		"never accepts":        {func(net.Listener) {}, false},
		"keeps connections open": {func(l net.Listener) {
			go func() {
				for {
					if _, err := l.Accept(); err != nil {
						return
					}
				}
			}()
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			test.serve(l)
			if got := connectionRefused(l.Addr().String()); got != test.want {
				t.Errorf("connectionRefused() = %v, want %v", got, test.want)
			}
		})
	}
}
