package deliverer

import (
	"testing"
	"time"

	"peridotswitch.example/common/delivererpb"
)

// An entry that loses power sends no more renewals. Callers are directed to it until its lease expires and it leaves the list.
func TestEntryIsListedUntilItsLeaseExpires(t *testing.T) {
	tests := map[string]struct {
		leaseDuration, silence time.Duration
		listed                 bool
	}{
		"silent within the lease":       {2 * time.Second, 1900 * time.Millisecond, true},
		"silent beyond the lease":       {2 * time.Second, 2100 * time.Millisecond, false},
		"silent beyond a shorter lease": {time.Second, 1100 * time.Millisecond, false},
		"silent within a longer lease":  {DefaultEntryLease, 3900 * time.Millisecond, true},
		"silent beyond a longer lease":  {DefaultEntryLease, 4100 * time.Millisecond, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			tab := newTable(func() time.Time { return now }, test.leaseDuration)
			tab.renew(&delivererpb.EntryMember{InstanceId: "silent"})
			tab.renew(&delivererpb.EntryMember{InstanceId: "renewing"})
			now = now.Add(test.silence)
			tab.renew(&delivererpb.EntryMember{InstanceId: "renewing"})
			tab.expire()
			list := tab.list()
			if want := 1 + map[bool]int{true: 1}[test.listed]; len(list) != want {
				t.Errorf("%d entries are listed, want %d", len(list), want)
			}
		})
	}
}
