package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"peridotswitch.example/peridot-control/arbiter"
)

// simulation is a leader whose changes are committed at once.
type simulation struct {
	now  time.Time
	q    *Quarantiner
	list arbiter.Arbiter
}

func newSimulation() *simulation {
	s := &simulation{now: time.Unix(1000, 0), list: *arbiter.New()}
	s.elect()
	return s
}

// elect replaces the leader by one that only knows what is committed.
func (s *simulation) elect() {
	s.q = New(Config{Now: func() time.Time { return s.now }})
}

func (s *simulation) report(fingerprint string, cleared bool, servers ...string) {
	s.record(fingerprint, cleared, servers...)
	s.commit()
}

func (s *simulation) record(fingerprint string, cleared bool, servers ...string) {
	r := Report{ContainedRequest: arbiter.ContainedRequest{Fingerprint: fingerprint}, Cleared: cleared}
	for _, id := range servers {
		r.Crashes = append(r.Crashes, arbiter.Crash{InstanceID: id, Incarnation: 1})
	}
	s.q.Record([]Report{r})
}

func (s *simulation) commit() {
	held := s.list.Quarantine()
	if c := s.q.Change(&held); c != nil {
		s.list.Apply(arbiter.Command{Quarantine: c})
	}
}

func (s *simulation) isContained(fingerprint string) bool {
	held := s.list.Quarantine()
	return held.Contains(fingerprint)
}

// Entries see one crash each of a request that comes back at a random one: together the crashes must contain it, and nothing else.
func TestCrashesAreCountedOverAllEntries(t *testing.T) {
	tests := map[string]struct {
		steps func(s *simulation)
		want  bool
	}{
		"one crash": {func(s *simulation) { s.report("f", false, "a") }, false},
		"the same crash, seen by many entries": {func(s *simulation) {
			for range 449 {
				s.report("f", false, "a")
			}
		}, false},
		"two crashes, seen by two entries": {func(s *simulation) { s.report("f", false, "a"); s.report("f", false, "b") }, true},
		"a server ran it in between":       {func(s *simulation) { s.report("f", false, "a"); s.report("f", true, "a"); s.report("f", false, "b") }, false},
		"a server ran it after":            {func(s *simulation) { s.report("f", false, "a", "b"); s.report("f", true, "a", "b") }, false},
		"two more crashes after it ran":    {func(s *simulation) { s.report("f", true, "x"); s.report("f", false, "a"); s.report("f", false, "b") }, true},
		"a server ran it after one of two": {func(s *simulation) { s.report("f", false, "a", "b"); s.report("f", true, "a") }, false},
		"cleared under another leader": {func(s *simulation) {
			s.report("f", false, "a", "b")
			s.elect()
			s.commit()
			s.report("f", true, "a", "b")
		}, false},
		"crashes long apart": {func(s *simulation) {
			s.report("f", false, "a")
			s.now = s.now.Add(Expiry + time.Second)
			s.report("f", false, "b")
		}, false},
		"a new leader in between, one crash since": {func(s *simulation) { s.report("f", false, "a"); s.elect(); s.report("f", false, "b") }, false},
		"a new leader, contained before":           {func(s *simulation) { s.report("f", false, "a", "b"); s.elect(); s.commit() }, true},
		"contained for its time": {func(s *simulation) {
			s.report("f", false, "a", "b")
			s.now = s.now.Add(Expiry)
			s.commit()
		}, false},
		"contained for its time by another leader": {func(s *simulation) {
			s.report("f", false, "a", "b")
			s.elect()
			s.commit()
			s.now = s.now.Add(Expiry)
			s.commit()
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation()
			test.steps(s)
			if got := s.isContained("f"); got != test.want {
				t.Errorf("contained is %t, want %t", got, test.want)
			}
		})
	}
}

// A call that happened to be in flight in the same two crashes must not be refused for long.
func TestRequestsThatShareAllCrashesAreReleasedSoon(t *testing.T) {
	s := newSimulation()
	s.report("f", false, "a", "b")
	s.report("g", false, "a", "b")
	s.now = s.now.Add(sharedExpiry)
	s.commit()
	if s.isContained("f") || s.isContained("g") {
		t.Error("requests that can't be told apart are still refused")
	}
	s.report("f", false, "c")
	s.now = s.now.Add(sharedExpiry)
	s.commit()
	if !s.isContained("f") || s.isContained("g") {
		t.Error("a third crash tells them apart")
	}
}

// When many servers crash at once, each call in flight is a suspect. What the leader keeps of them is bounded.
func TestSuspectsAreBounded(t *testing.T) {
	s := newSimulation()
	for i := range 2 * maxSuspects {
		s.now = s.now.Add(time.Millisecond)
		s.record(fmt.Sprint(i), false, "a")
	}
	if n := len(s.q.suspects); n > maxSuspects {
		t.Errorf("%d suspects, want at most %d", n, maxSuspects)
	}
	for i := range maxCrashes * 2 {
		s.report("f", false, fmt.Sprint(i))
	}
	held := s.list.Quarantine()
	if n := len(s.q.suspects["f"].crashes); n > maxCrashes || !held.Contains("f") {
		t.Errorf("%d crashes, want at most %d", n, maxCrashes)
	}
}

// A clearing that arrives once more, or late, must not release a request that has crashed servers since; a crash that arrives after its
// clearing must not count.
func TestLateReportsDoNotOutweighLaterOnes(t *testing.T) {
	tests := map[string]struct {
		steps func(s *simulation)
		want  bool
	}{
		"the clearing of earlier crashes comes again": {func(s *simulation) {
			s.report("f", false, "a")
			s.report("f", true, "a")
			s.report("f", false, "b", "c")
			s.report("f", true, "a")
		}, true},
		"the clearing of earlier crashes comes again at a new leader": {func(s *simulation) {
			s.report("f", true, "a")
			s.report("f", false, "b", "c")
			s.elect()
			s.report("f", true, "a")
		}, true},
		"a clearing that names no crash": {func(s *simulation) { s.report("f", false, "b", "c"); s.report("f", true) }, true},
		"a clearing comes before its crash": {func(s *simulation) {
			s.report("f", true, "a")
			s.report("f", false, "a")
			s.report("f", false, "b")
		}, false},
		"a cleared crash comes again": {func(s *simulation) {
			s.report("f", false, "a", "b")
			s.report("f", true, "a", "b")
			s.report("f", false, "a", "b")
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation()
			test.steps(s)
			if got := s.isContained("f"); got != test.want {
				t.Errorf("contained is %t, want %t", got, test.want)
			}
		})
	}
}

// Guards against cleared crashes that pile up at the leader.
func TestClearedCrashesAreBounded(t *testing.T) {
	s := newSimulation()
	for i := range 2 * maxCleared {
		s.report("f", true, fmt.Sprint(i))
	}
	if n := len(s.q.suspects["f"].cleared); n > maxCleared {
		t.Errorf("%d cleared crashes, want at most %d", n, maxCleared)
	}
}
