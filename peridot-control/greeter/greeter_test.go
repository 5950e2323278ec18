package greeter

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotswitch.example/common/delivererpb"
)

// fleet simulates the entries and the control members of one zone.
type fleet struct {
	mu sync.Mutex
	// up is when each entry starts to respond; told is when each was first greeted, and calls counts all calls.
	up    map[string]time.Time
	told  map[string]time.Time
	calls int
	list  []*delivererpb.EntryMember
}

func (f *fleet) greet(_ context.Context, address string, req *delivererpb.GreetRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if up, ok := f.up[address]; !ok || time.Now().Before(up) || len(req.Control) == 0 {
		return errors.New("connection refused")
	}
	if f.told[address].IsZero() {
		f.told[address] = time.Now()
	}
	return nil
}

func (f *fleet) entries() []*delivererpb.EntryMember {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list
}

func (f *fleet) setEntries(n int, zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = nil
	for i := range n {
		f.list = append(f.list, &delivererpb.EntryMember{InstanceId: fmt.Sprint("front-", i), PeerAddress: fmt.Sprint("entry-", i), AvailabilityZone: zone})
	}
}

func (f *fleet) newGreeter(dir, id string, members int) *Greeter {
	return New(Config{
		Dir: dir, InstanceID: id, AvailabilityZone: "a", Log: zerolog.Nop(), Entries: f.entries, Greet: f.greet,
		Sync: func(*os.File) error { return nil },
		Members: func() (list []*delivererpb.ControlMember) {
			for i := range members {
				list = append(list, &delivererpb.ControlMember{InstanceId: fmt.Sprint("core-", i), Address: fmt.Sprint("control-", i), AvailabilityZone: "a"})
			}
			return list
		},
	})
}

// After a loss of power of all machines, the seeds may be the last to come back. All entries of a zone must learn of its other members
// soon after their start, also those that a missing member would have called, and without each member calling all at once.
func TestEntriesLearnOfControlAfterPowerLoss(t *testing.T) {
	const entries, members = 88, 4
	// An entry starts within 88 ms, so that the member that calls it first does so three times at most, and the others then call it once.
	const calls = (3 + members - 1) * entries
	tests := map[string]struct {
		missing int
		within  time.Duration
	}{
		"all members of the zone return": {0, 2 * retryInterval},
		"one member stays away":          {1, othersDelay + 2*retryInterval},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			dirs := make([]string, members)
			for i := range dirs {
				dirs[i] = t.TempDir()
			}
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{up: make(map[string]time.Time), told: make(map[string]time.Time)}
				f.setEntries(entries, "a")
				for i := range members {
					g := f.newGreeter(dirs[i], fmt.Sprint("core-", i), members)
					time.Sleep(storeInterval + time.Millisecond)
					g.Close()
				}
				f.setEntries(0, "a")
				begin := time.Now()
				for i := range entries {
					f.up[fmt.Sprint("entry-", i)] = begin.Add(time.Duration(i) * time.Millisecond)
				}
				for i := test.missing; i < members; i++ {
					defer f.newGreeter(dirs[i], fmt.Sprint("core-", i), members).Close()
				}
				time.Sleep(greetDuration + time.Second)
				f.mu.Lock()
				defer f.mu.Unlock()
				for address, up := range f.up {
					if told := f.told[address]; told.IsZero() || told.Sub(up) > test.within {
						t.Errorf("%s was told %v after its start, want within %v", address, told.Sub(up), test.within)
					}
				}
				if f.calls > calls {
					t.Errorf("%d calls, want at most %d", f.calls, calls)
				}
			})
		})
	}
}

// Entries of other zones are not stored, an empty list does not replace the stored one, and a damaged file is ignored.
func TestStoredEntries(t *testing.T) {
	tests := map[string]struct {
		entries int
		zone    string
		file    string
		want    int
	}{
		"entries of the zone":        {3, "a", "", 3},
		"entries of another zone":    {3, "b", "", 0},
		"none listed after a start":  {0, "a", `[{"instance-id":"front-9","peer-address":"entry-9"}]`, 1},
		"a damaged file":             {0, "a", `[{"inst`, 0},
		"a damaged file is replaced": {2, "a", "\x00\x00", 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if test.file != "" {
				if err := os.WriteFile(filepath.Join(dir, fileName), []byte(test.file), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			synctest.Test(t, func(*testing.T) {
				f := &fleet{}
				f.setEntries(test.entries, test.zone)
				g := f.newGreeter(dir, "core-0", 1)
				time.Sleep(greetDuration + 2*storeInterval)
				g.Close()
			})
			g := &Greeter{cfg: Config{Dir: dir}}
			if got, _ := g.load(); len(got) != test.want {
				t.Errorf("%d entries are stored, want %d", len(got), test.want)
			}
		})
	}
}
