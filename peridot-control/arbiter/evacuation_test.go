package arbiter

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// Guards against a list that differs between members, that a command which arrives twice changes again, that grows with the number of
// commands, and that is lost when a member restores a snapshot.
func TestEvacuations(t *testing.T) {
	start := func(zones ...string) (list []EvacuationChange) {
		for _, z := range zones {
			list = append(list, EvacuationChange{Zone: z})
		}
		return list
	}
	end := func(zone string) EvacuationChange { return EvacuationChange{Zone: zone, End: true} }
	from := func(version uint64, c EvacuationChange) EvacuationChange {
		c.Version = &version
		return c
	}
	var many []string
	for i := range maxEvacuatedZones {
		many = append(many, fmt.Sprintf("%03d", i))
	}
	tests := map[string]struct {
		changes []EvacuationChange
		want    []string
		version uint64
		// refused is how many of the changes are not accepted.
		refused int
	}{
		"none":                         {nil, nil, 0, 0},
		"evacuated":                    {start("b", "a"), []string{"a", "b"}, 2, 0},
		"evacuated twice":              {start("a", "a"), []string{"a"}, 1, 0},
		"ended":                        {append(start("a", "b"), end("a")), []string{"b"}, 3, 0},
		"ended twice":                  {append(start("a"), end("a"), end("a")), nil, 2, 0},
		"ended without a start":        {[]EvacuationChange{end("a")}, nil, 0, 0},
		"evacuated again":              {append(start("a"), end("a"), EvacuationChange{Zone: "a"}), []string{"a"}, 3, 0},
		"as many zones as may be":      {start(many...), many, maxEvacuatedZones, 0},
		"one more than that":           {start(append(many[:len(many):len(many)], "x")...), many, maxEvacuatedZones, 1},
		"a repeated one of the most":   {start(append(many[:len(many):len(many)], "000")...), many, maxEvacuatedZones, 0},
		"made from the version":        {append(start("a"), from(1, end("a")), from(2, EvacuationChange{Zone: "b"})), []string{"b"}, 3, 0},
		"made from version 0":          {[]EvacuationChange{from(0, EvacuationChange{Zone: "a"})}, []string{"a"}, 1, 0},
		"made from an earlier version": {append(start("a"), end("a"), EvacuationChange{Zone: "a"}, from(1, end("a"))), []string{"a"}, 3, 1},
		"old one that changes nothing": {append(start("a", "b"), from(0, EvacuationChange{Zone: "a"})), []string{"a", "b"}, 2, 1},
		"another after one of the end": {append(start(many...), end("000"), EvacuationChange{Zone: "x"}), append(many[1:len(many):len(many)], "x"), maxEvacuatedZones + 2, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, refused := New(), 0
			for i := range test.changes {
				held := a.Evacuations()
				zones := slices.Clone(held.Zones)
				if !a.Apply(Command{Evacuation: &test.changes[i]}).Accepted {
					refused++
				}
				if !slices.Equal(held.Zones, zones) {
					t.Fatalf("change %d changed a list that readers hold: %v, want %v", i, held.Zones, zones)
				}
			}
			restored := New()
			if err := restored.Restore(a.Snapshot()); err != nil {
				t.Fatal(err)
			}
			for _, e := range []Evacuations{a.Evacuations(), restored.Evacuations()} {
				if !slices.Equal(e.Zones, test.want) || e.Version != test.version || refused != test.refused {
					t.Errorf("version %d of %v with %d refused, want %d of %v with %d", e.Version, e.Zones, refused, test.version, test.want, test.refused)
				}
			}
			if e := a.Evacuations(); len(test.want) > 0 && !e.Contains(test.want[0]) || e.Contains("unknown") {
				t.Errorf("Contains() doesn't agree with the list %v", e.Zones)
			}
		})
	}
}

// Guards against a member of this build that can't start from what an earlier build stored, and against snapshots and commands that differ from
// the earlier build's although nothing has ever been evacuated.
func TestSnapshotsWithoutEvacuations(t *testing.T) {
	a := New()
	a.Apply(Command{Registered: "e1"})
	old := a.Snapshot()
	if strings.Contains(string(old), "evacuation") {
		t.Errorf("the snapshot names evacuations: %s", old)
	}
	restored := New()
	if err := restored.Restore(old); err != nil {
		t.Fatal(err)
	}
	if e := restored.Evacuations(); e.Version != 0 || len(e.Zones) > 0 || !restored.IsRegistered("e1") {
		t.Errorf("the snapshot of an earlier build results in %+v", e)
	}
	text, err := json.Marshal(Command{Registered: "e1"})
	if err != nil || strings.Contains(string(text), "evacuation") {
		t.Errorf("a command without an evacuation is %s, error %v", text, err)
	}
	// An end must stay an end in the log, and the list must stay readable when it is empty again.
	text, err = json.Marshal(Command{Evacuation: &EvacuationChange{Zone: "a", End: true}})
	var cmd Command
	if err == nil {
		err = json.Unmarshal(text, &cmd)
	}
	if err != nil || cmd.Evacuation == nil || *cmd.Evacuation != (EvacuationChange{Zone: "a", End: true}) {
		t.Errorf("the log has %s, error %v", text, err)
	}
}

// Guards against names that the list can't be passed on with, and against a limit that differs from that of servers' announcements.
func TestValidateZone(t *testing.T) {
	tests := map[string]struct {
		zone string
		ok   bool
	}{
		"a name":                 {"centro-a", true},
		"printable text":         {"zone b/ö", true},
		"the longest":            {strings.Repeat("z", maxNameBytes), true},
		"empty":                  {"", false},
		"too long":               {strings.Repeat("z", maxNameBytes+1), false},
		"not UTF-8":              {"a\xff", false},
		"with a line break":      {"a\nb", false},
		"with a null byte in it": {"a\x00b", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if err := ValidateZone(test.zone); (err == nil) != test.ok {
				t.Errorf("error is %v, want valid: %t", err, test.ok)
			}
		})
	}
}
