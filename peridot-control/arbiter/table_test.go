package arbiter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"peridotswitch.example/common/differ"
)

// announcement returns an announcement of instance a at address 10.0.0.1:1.
func announcement(started int64, sequence uint64, state ServerState) Server {
	return Server{Service: "s", InstanceID: "a", Address: "10.0.0.1:1", Slots: 6, Started: started, Sequence: sequence, State: state}
}

func (s Server) withID(id string) Server { s.InstanceID = id; return s }

func TestTable(t *testing.T) {
	tests := map[string]struct {
		steps []Server
		// want is the expected state of each instance.
		want map[string]ServerState
	}{
		"a server announces itself":                          {[]Server{announcement(1, 1, Ready)}, map[string]ServerState{"a": Ready}},
		"a server drains":                                    {[]Server{announcement(1, 1, Ready), announcement(1, 2, Draining)}, map[string]ServerState{"a": Draining}},
		"a delayed announcement doesn't undo draining":       {[]Server{announcement(1, 1, Ready), announcement(1, 5, Draining), announcement(1, 4, Ready)}, map[string]ServerState{"a": Draining}},
		"an earlier incarnation doesn't undo draining":       {[]Server{announcement(2, 1, Draining), announcement(1, 9, Ready)}, map[string]ServerState{"a": Draining}},
		"a newer announcement ends draining":                 {[]Server{announcement(1, 1, Draining), announcement(1, 2, Ready)}, map[string]ServerState{"a": Ready}},
		"left is final":                                      {[]Server{announcement(1, 1, Ready), announcement(1, 0, Left), announcement(1, 9, Ready)}, map[string]ServerState{"a": Left}},
		"a server leaves without naming the incarnation":     {[]Server{announcement(7, 1, Ready), announcement(0, 0, Left), announcement(7, 9, Ready)}, map[string]ServerState{"a": Left}},
		"a server that leaves before it is known stays left": {[]Server{announcement(1, 0, Left), announcement(1, 1, Ready)}, map[string]ServerState{"a": Left}},
		"a later incarnation follows one that left":          {[]Server{announcement(1, 9, Ready), announcement(1, 0, Left), announcement(2, 1, Ready)}, map[string]ServerState{"a": Ready}},
		"an announcement restores a lost server":             {[]Server{announcement(1, 1, Ready), announcement(1, 1, Lost), announcement(1, 2, Ready)}, map[string]ServerState{"a": Ready}},
		"an unknown server can't be lost":                    {[]Server{announcement(1, 1, Lost)}, map[string]ServerState{}},
		"a later incarnation takes the address over":         {[]Server{announcement(1, 1, Ready), announcement(2, 1, Ready).withID("b")}, map[string]ServerState{"a": Left, "b": Ready}},
		"an earlier incarnation can't take an address":       {[]Server{announcement(2, 1, Ready).withID("b"), announcement(1, 7, Ready)}, map[string]ServerState{"a": Lost, "b": Ready}},
		// Guard against a late announcement that brings a server back after its leave was acknowledged.
		"a leave ends the incarnation that it names":             {[]Server{announcement(1, 9, Ready), announcement(2, 2, Left), announcement(2, 1, Ready)}, map[string]ServerState{"a": Left}},
		"so does one after an incarnation that was lost":         {[]Server{announcement(1, 9, Ready), announcement(1, 9, Lost), announcement(2, 2, Left), announcement(2, 1, Ready)}, map[string]ServerState{"a": Left}},
		"the incarnation after that is listed":                   {[]Server{announcement(1, 9, Ready), announcement(2, 2, Left), announcement(3, 1, Ready)}, map[string]ServerState{"a": Ready}},
		"a leave of an earlier incarnation ends no later one":    {[]Server{announcement(2, 1, Ready), announcement(1, 9, Left)}, map[string]ServerState{"a": Ready}},
		"draining is kept while another server has the address":  {[]Server{announcement(2, 1, Ready).withID("b"), announcement(1, 5, Draining), announcement(2, 1, Lost).withID("b"), announcement(1, 4, Ready)}, map[string]ServerState{"a": Lost, "b": Lost}},
		"a superseded server is listed once the address is free": {[]Server{announcement(2, 1, Ready).withID("b"), announcement(1, 5, Ready), announcement(2, 0, Left).withID("b"), announcement(1, 6, Ready)}, map[string]ServerState{"a": Ready, "b": Left}},
		"a lease that ended before a later announcement":         {[]Server{announcement(1, 1, Ready), announcement(1, 2, Draining), announcement(1, 1, Lost)}, map[string]ServerState{"a": Draining}},
		"a lease of an incarnation that isn't listed any more":   {[]Server{announcement(1, 9, Ready), announcement(2, 1, Ready), announcement(1, 9, Lost)}, map[string]ServerState{"a": Ready}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := New()
			for _, s := range tt.steps {
				a.Apply(Command{Servers: []Server{s}})
			}
			got := make(map[string]ServerState)
			for id, s := range a.Servers().Servers {
				got[id] = s.State
			}
			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("table holds %v, want %v", got, tt.want)
			}
		})
	}
}

// An announcement that only renews the lease must not change the table, so that it needs no log entry.
func TestRenewalDoesNotChangeTable(t *testing.T) {
	a := New()
	first := announcement(1, 1, Ready)
	a.Apply(Command{Servers: []Server{first}})
	renewal := announcement(1, 2, Ready)
	if a.Servers().NeedsUpdate(&renewal) {
		t.Error("a renewal is reported as a change of the table")
	}
}

// Guards against a new version of the table, which all entries are told of, with each announcement of a server that can't be used because another one
// has its address.
func TestSupersededAnnouncementsAreNotPassedOn(t *testing.T) {
	a := New()
	a.Apply(Command{Servers: []Server{announcement(2, 1, Ready).withID("b")}})
	before := a.Servers().Version
	for sequence := range uint64(5) {
		a.Apply(Command{Servers: []Server{announcement(1, 1+sequence, Ready)}})
	}
	if s := a.Servers(); s.Version != before || s.Servers["a"].Sequence != 5 {
		t.Errorf("version %d, sequence %d; want version %d, sequence 5", s.Version, s.Servers["a"].Sequence, before)
	}
	moved := announcement(3, 1, Ready)
	moved.Address = "10.0.0.2:1"
	a.Apply(Command{Servers: []Server{moved, announcement(4, 1, Ready).withID("b"), announcement(3, 2, Ready)}})
	if changed, _ := a.Servers().ChangesSince(before); len(changed) != 2 || changed[1].InstanceID != "a" || changed[1].State != Lost {
		t.Errorf("a server that was usable and isn't any more is not passed on: %+v", changed)
	}
}

// A follower that applies the changes since any version must end with the same live servers as the table itself.
func TestIncrementalChangesMatchTable(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 9))
		a := New()
		followers := make([]map[string]ServerState, 3)
		versions := make([]uint64, len(followers))
		for i := range followers {
			followers[i] = make(map[string]ServerState)
		}
		for step := range 300 {
			s := announcement(int64(1+rnd.IntN(3)), rnd.Uint64N(20), []ServerState{Ready, Draining, Left, Lost}[rnd.IntN(4)]).withID(fmt.Sprint(rnd.IntN(8)))
			s.Address = fmt.Sprintf("10.0.0.%d:1", rnd.IntN(6))
			a.Apply(Command{Servers: []Server{s}})
			i := rnd.IntN(len(followers))
			if step < 299 && rnd.IntN(4) > 0 {
				continue
			}
			changed, full := a.Servers().ChangesSince(versions[i])
			if full {
				clear(followers[i])
			}
			for _, c := range changed {
				followers[i][c.InstanceID] = c.State
			}
			versions[i] = a.Servers().Version
		}
		for i, f := range followers {
			changed, _ := a.Servers().ChangesSince(versions[i])
			for _, c := range changed {
				f[c.InstanceID] = c.State
			}
			for id, s := range a.Servers().Servers {
				if live := s.isLive(); live != (f[id] == Ready || f[id] == Draining) {
					t.Fatalf("seed %d: follower %d has server %s in state %s, the table in state %s", seed, i, id, f[id], s.State)
				}
			}
		}
	}
}

// At most one live server may have an address, whatever is announced in whatever order.
func TestOneLiveServerPerAddress(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		a := New()
		for range 200 {
			s := announcement(int64(1+rnd.IntN(5)), rnd.Uint64N(9), []ServerState{Ready, Draining, Left}[rnd.IntN(3)]).withID(fmt.Sprint(rnd.IntN(6)))
			a.Apply(Command{Servers: []Server{s}})
			live := 0
			for _, o := range a.Servers().Servers {
				if o.isLive() {
					live++
				}
			}
			if live > 1 {
				t.Fatalf("seed %d: %d live servers at one address, want at most 1", seed, live)
			}
		}
	}
}

func TestTombstonesAreBounded(t *testing.T) {
	a := New()
	for i := range 3 * maxTombstones {
		s := announcement(1, 1, Left).withID(fmt.Sprint(i))
		a.Apply(Command{Servers: []Server{s}})
	}
	if n := len(a.Servers().Servers); n > maxTombstones {
		t.Errorf("%d tombstones are kept, want at most %d", n, maxTombstones)
	}
	if _, full := a.Servers().ChangesSince(1); !full {
		t.Error("ChangesSince(1) isn't full although tombstones after version 1 have been dropped")
	}
}

// Guards against members that drop different tombstones, of records that share a version.
func TestAllMembersDropTheSameTombstones(t *testing.T) {
	var want []byte
	for range 5 {
		a := New()
		a.Apply(Command{Servers: []Server{announcement(9, 1, Ready)}})
		for i := range 2 * maxTombstones {
			s := announcement(1, 1, Ready).withID(fmt.Sprint("b", i))
			a.Apply(Command{Servers: []Server{s}})
		}
		if want == nil {
			want = a.Snapshot()
		}
		if !bytes.Equal(a.Snapshot(), want) {
			t.Fatal("the same commands result in different tables")
		}
	}
}

func TestNumberedRouting(t *testing.T) {
	put := func(number uint64, text string) Command {
		return Command{Routing: &Routing{Number: number, Encoded: differ.Encode(nil, []byte(text))}}
	}
	tests := map[string]struct {
		steps []Command
		want  string
		// revision is the expected revision of the configuration.
		revision uint64
	}{
		"the first document":                              {[]Command{put(3, "a")}, "a", 1},
		"number 0":                                        {[]Command{put(0, "a")}, "a", 1},
		"a higher number replaces the document":           {[]Command{put(3, "a"), put(9, "b")}, "b", 2},
		"a lower number changes nothing":                  {[]Command{put(3, "a"), put(2, "b")}, "a", 1},
		"the same number with another document":           {[]Command{put(3, "a"), put(3, "b")}, "a", 1},
		"a repeated command":                              {[]Command{put(3, "a"), put(3, "a")}, "a", 1},
		"the first of two operators with the same number": {[]Command{put(3, "a"), put(4, "b"), put(4, "c")}, "b", 2},
		"an old command that is delivered again":          {[]Command{put(3, "a"), put(4, "b"), put(3, "a")}, "b", 2},
		"other commands leave the routing as is":          {[]Command{put(3, "a"), {Registered: "e"}}, "a", 1},
		"gaps between the numbers":                        {[]Command{put(3, "a"), put(100, "b"), put(101, "c")}, "c", 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := New()
			for _, c := range tt.steps {
				a.Apply(c)
			}
			restored := New()
			if err := restored.Restore(a.Snapshot()); err != nil {
				t.Fatal(err)
			}
			for _, a := range []*Arbiter{a, restored} {
				if got := a.Current(); string(got.Routing) != tt.want || got.Revision != tt.revision {
					t.Errorf("routing %q at revision %d, want %q at revision %d", got.Routing, got.Revision, tt.want, tt.revision)
				}
			}
		})
	}
}

func TestCommandSurvivesJSON(t *testing.T) {
	in := Command{Routing: &Routing{Number: 7, Encoded: []byte("{}")}, Servers: []Server{announcement(1, 2, Draining)}}
	text, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	var out Command
	if err = json.Unmarshal(text, &out); err != nil || !reflect.DeepEqual(in, out) {
		t.Errorf("decoded %+v, error %v; want %+v", out, err, in)
	}
}
