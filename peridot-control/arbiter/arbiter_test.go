package arbiter

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

const inventory = "availability-zones:\n  - name: a\nentries:\n  - instance-id: e1\n    address: 10.0.0.1:1\n    peer-address: 10.0.0.1:2\n    availability-zone: a\n"

// applyChange validates a change against the current configuration and applies it; an empty document stays as it is.
func applyChange(a *Arbiter, id string, base uint64, inventory, rules string) ChangeResult {
	c := &Change{ID: id, BaseRevision: base}
	if inventory != "" {
		c.Inventory = []byte(inventory)
	}
	if rules != "" {
		c.Rules = []byte(rules)
	}
	ValidateChange(a.Current(), c)
	return a.Apply(Command{Change: c})
}

// A change that is sent again gets the result of its first attempt, also after a restore from a snapshot.
func TestChangeResultsSurviveSnapshot(t *testing.T) {
	g := NewWithT(t)
	a := New()
	results := map[string]ChangeResult{
		"accepted":    applyChange(a, "accepted", 0, inventory, ""),
		"conflicting": applyChange(a, "conflicting", 0, "", "defaults:\n  deadline: 1s\n"),
		"invalid":     applyChange(a, "invalid", 1, "", "defaults:\n  deadline: soon\n"),
	}
	g.Expect(results["accepted"]).To(Equal(ChangeResult{Accepted: true, Revision: 1}))
	g.Expect(results["conflicting"].WinnerChangeID).To(Equal("accepted"))
	g.Expect(results["invalid"].Refusal).To(ContainSubstring("duration \"soon\""))
	g.Expect(applyChange(a, "next", 1, "", "defaults:\n  deadline: 3s\n").Accepted).To(BeTrue())
	b := New()
	g.Expect(b.Restore(a.Snapshot())).To(Succeed())
	for id, want := range results {
		g.Expect(applyChange(b, id, b.Current().Revision, inventory, "")).To(Equal(want), id)
	}
	g.Expect(b.Current()).To(Equal(a.Current()))
	g.Expect(b.History()).To(Equal(a.History()))
	g.Expect(b.History()[1].Diff).To(ContainSubstring("+  deadline: 3s"))
}

func TestUnvalidatedChangeIsRefused(t *testing.T) {
	g := NewWithT(t)
	a := New()
	result := a.Apply(Command{Change: &Change{ID: "early", Rules: []byte("no: rules")}})
	g.Expect(result.Accepted).To(BeFalse())
	g.Expect(a.Current().Revision).To(BeZero())
}

func TestQuorumEntriesAreRegisteredEntriesOfPreviousRevision(t *testing.T) {
	g := NewWithT(t)
	a := New()
	g.Expect(applyChange(a, "1", 0, inventory, "").Accepted).To(BeTrue())
	g.Expect(a.QuorumEntries()).To(BeEmpty(), "the revision before the first one has no entries")
	g.Expect(applyChange(a, "2", 1, "", "defaults:\n  deadline: 1s\n").Accepted).To(BeTrue())
	g.Expect(a.QuorumEntries()).To(BeEmpty(), "no entry is registered")
	a.Apply(Command{Registered: "e1"})
	a.Apply(Command{Registered: "elsewhere"})
	g.Expect(a.QuorumEntries()).To(Equal([]string{"e1"}))
}

func TestChangeResultsAreBounded(t *testing.T) {
	g := NewWithT(t)
	a := New()
	for i := range MaxResults + 50 {
		applyChange(a, fmt.Sprint(i), 99, "", "x")
	}
	g.Expect(a.st.Results).To(HaveLen(MaxResults))
	g.Expect(a.results).To(HaveLen(MaxResults))
}
