package arbiter

import (
	"fmt"
	"slices"
	"testing"
)

// The list must be the same on each member, grow with no number of crashes and be left as it is by a command that arrives twice.
func TestQuarantine(t *testing.T) {
	contain := func(fingerprints ...string) *QuarantineChange {
		c := &QuarantineChange{}
		for _, f := range fingerprints {
			c.Contained = append(c.Contained, ContainedRequest{Fingerprint: f})
		}
		return c
	}
	var many []string
	for i := range maxContained + 1 {
		many = append(many, fmt.Sprint(i))
	}
	tests := map[string]struct {
		changes []*QuarantineChange
		want    []string
		version uint64
	}{
		"contained":          {[]*QuarantineChange{contain("a"), contain("b")}, []string{"a", "b"}, 2},
		"contained twice":    {[]*QuarantineChange{contain("a"), contain("a")}, []string{"a"}, 1},
		"released":           {[]*QuarantineChange{contain("a", "b"), {Released: []string{"a"}}}, []string{"b"}, 2},
		"released twice":     {[]*QuarantineChange{contain("a"), {Released: []string{"a"}}, {Released: []string{"a"}}}, nil, 2},
		"contained again":    {[]*QuarantineChange{contain("a"), {Released: []string{"a"}}, contain("a")}, []string{"a"}, 3},
		"more than the list": {[]*QuarantineChange{contain(many...)}, many[1:], 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := New()
			for _, c := range test.changes {
				a.Apply(Command{Quarantine: c})
			}
			restored := New()
			if err := restored.Restore(a.Snapshot()); err != nil {
				t.Fatal(err)
			}
			for _, q := range []Quarantine{a.Quarantine(), restored.Quarantine()} {
				var got []string
				for _, r := range q.Requests {
					got = append(got, r.Fingerprint)
				}
				if !slices.Equal(got, test.want) || q.Version != test.version {
					t.Errorf("version %d of %v, want %d of %v", q.Version, got, test.version, test.want)
				}
			}
		})
	}
}
