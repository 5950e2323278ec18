package deliverer

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/peridot-control/arbiter"
)

// Load pattern: everything has lost power. Entries are told what was accepted before there is a leader, as something unconfirmed.
func TestAStartingMemberTellsWhatWasAccepted(t *testing.T) {
	tests := map[string]struct {
		// up is for how long the member has run, held the revision that the entry has already.
		up        time.Duration
		held      uint64
		revision  uint64
		confirmed bool
		told      bool
	}{
		"just started":                        {10 * time.Millisecond, 0, 7, false, true},
		"nothing was accepted":                {10 * time.Millisecond, 0, 0, false, false},
		"cut off rather than starting":        {startingFor, 0, 7, false, false},
		"a leader has been heard of":          {10 * time.Millisecond, 0, 7, true, false},
		"an entry that holds the same":        {10 * time.Millisecond, 7, 7, false, false},
		"an entry that holds an older one":    {10 * time.Millisecond, 6, 7, false, true},
		"an entry that holds a newer version": {10 * time.Millisecond, 8, 7, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			d := New(Config{
				Now:     func() time.Time { return now },
				Current: func() arbiter.Document { return arbiter.Document{Revision: tt.revision} },
				Changed: func(revision, _ uint64) <-chan struct{} {
					c := make(chan struct{})
					if tt.revision > revision {
						close(c)
					}
					return c
				},
				Listed:    func(string) bool { return false },
				Leader:    func() (string, bool) { return "", false },
				Status:    func() Status { return Status{Members: []*delivererpb.ControlMember{{}}} },
				Servers:   func(uint64) ([]arbiter.Server, bool, uint64) { return nil, false, 0 },
				RoutingAt: func(uint64) ([]byte, uint64) { return nil, 0 },
				Log:       zerolog.Nop(),
			})
			// The renewals are not what this is about.
			d.Close()
			d.started = now.Add(-tt.up)
			if tt.confirmed {
				d.confirmed = now.Add(-time.Millisecond)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			reply, err := d.Watch(ctx, &delivererpb.WatchRequest{InstanceId: "front-1", Revision: tt.held})
			if (err == nil) != tt.told {
				t.Fatalf("error %v, want an answer: %t", err, tt.told)
			}
			if err == nil && (reply.Revision != tt.revision || reply.LeaseMs != 0) {
				t.Errorf("revision %d for %d ms, want %d unconfirmed", reply.Revision, reply.LeaseMs, tt.revision)
			}
		})
	}
}
