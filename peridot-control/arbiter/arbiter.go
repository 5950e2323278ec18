package arbiter

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/differ"
	"peridotswitch.example/common/parser"
)

// Change is an operator's change of the inventory, the rules or both; a nil document stays as it is.
type Change struct {
	ID           string    `json:"id"`
	BaseRevision uint64    `json:"base-revision"`
	Inventory    []byte    `json:"inventory,omitempty"`
	Rules        []byte    `json:"rules,omitempty"`
	Who          string    `json:"who"`
	When         time.Time `json:"when"`
	// Refusal is the validation error that the leader found, if any. Checked is set when the leader validated the change against
	// BaseRevision.
	Refusal string `json:"refusal,omitempty"`
	Checked bool   `json:"checked"`
}

// Command is the payload of one entry of the replicated log; exactly one field is set.
type Command struct {
	Change *Change `json:"change,omitempty"`
	// Registered is the instance id of an entry that is about to receive the configuration for the first time.
	Registered string `json:"registered,omitempty"`
	// Routing is a numbered routing document that the leader has validated.
	Routing *Routing `json:"routing,omitempty"`
	// Servers are announcements of backend servers that change the table.
	Servers []Server `json:"servers,omitempty"`
}

// Routing is a routing document with its number; the document with the highest number is in force.
type Routing struct {
	Number uint64 `json:"number"`
	// Packed is the document compressed by differ.Encode without a base, because the log is sent to every member.
	Packed []byte `json:"packed"`
}

// Verdict is the result of a change. A repeated change id gets the result of the first attempt for as long as it is kept.
type Verdict struct {
	Accepted bool   `json:"accepted"`
	Revision uint64 `json:"revision"`
	// Winner is the id of the accepted change that has the same base revision, when this change was refused because of it.
	Winner  string `json:"winner,omitempty"`
	Refusal string `json:"refusal,omitempty"`
}

// Document is the configuration at one revision: the inventory, the rules and the routing document.
type Document struct {
	Revision  uint64 `json:"revision"`
	Inventory []byte `json:"inventory"`
	Rules     []byte `json:"rules"`
	Hash      string `json:"hash"`
	// InventorySince and RulesSince are the revisions in which each document last changed.
	InventorySince uint64 `json:"inventory-since"`
	RulesSince     uint64 `json:"rules-since"`
	// Routing is the routing document with the highest number, and RoutingSince the revision that introduced it.
	Routing       []byte `json:"routing,omitempty"`
	RoutingNumber uint64 `json:"routing-number,omitempty"`
	RoutingSince  uint64 `json:"routing-since,omitempty"`
}

// Entry is one accepted change in the history.
type Entry struct {
	ChangeID     string    `json:"change-id"`
	BaseRevision uint64    `json:"base-revision"`
	Revision     uint64    `json:"revision"`
	Who          string    `json:"who"`
	When         time.Time `json:"when"`
	Documents    []string  `json:"documents"`
	// Diff is a unified diff of the changed documents, truncated to a maximum length.
	Diff string `json:"diff"`
}

// Limits of the retained state: results of changes, changes in the history, and bytes of a refusal.
const (
	MaxVerdicts     = 10_000
	MaxHistory      = 500
	maxRefusalBytes = 1 << 10
)

// Arbiter is the state machine; it is not safe for concurrent use.
type Arbiter struct {
	st state
	// verdicts indexes st.Verdicts by change id.
	verdicts map[string]Verdict
}

// state is the content of a snapshot.
type state struct {
	Current Document `json:"current"`
	// Base lists the entry instances of the revision before the current one; see Holders.
	Base       []string          `json:"base"`
	History    []Entry           `json:"history"`
	Verdicts   []verdictByChange `json:"verdicts"`
	Registered map[string]bool   `json:"registered"`
	Servers    Table             `json:"servers"`
}

// verdictByChange is the result of a change with the change's id.
type verdictByChange struct {
	ChangeID string  `json:"change-id"`
	Verdict  Verdict `json:"verdict"`
}

// New returns an Arbiter at revision 0 with an empty configuration.
func New() *Arbiter {
	return &Arbiter{
		verdicts: make(map[string]Verdict),
		st:       state{Current: Document{Hash: parser.Hash(nil, nil, nil)}, Registered: make(map[string]bool)},
	}
}

// Snapshot serialises the state for Restore.
func (a *Arbiter) Snapshot() []byte {
	text, err := json.Marshal(&a.st)
	if err != nil {
		// All types in the state can be encoded as JSON.
		panic(err)
	}
	return text
}

// Restore replaces the state with that of a snapshot.
func (a *Arbiter) Restore(snapshot []byte) (err error) {
	defer func() { err = errors.WithMessage(err, "restore the configuration") }()
	restored := New()
	if err = json.Unmarshal(snapshot, &restored.st); err != nil {
		return err
	}
	for _, v := range restored.st.Verdicts {
		restored.verdicts[v.ChangeID] = v.Verdict
	}
	*a = *restored
	return nil
}

// Current returns the configuration at its newest accepted revision.
func (a *Arbiter) Current() Document { return a.st.Current }

// History returns the accepted changes, oldest first; the caller must not change it.
func (a *Arbiter) History() []Entry { return slices.Clip(a.st.History) }

// Entries lists the entry instances of the current inventory.
func (a *Arbiter) Entries() []string { return entryIDs(a.st.Current.Inventory) }

// Registered reports whether an entry may have received the configuration.
func (a *Arbiter) Registered(instanceID string) bool { return a.st.Registered[instanceID] }

// Holders lists the registered entries of the revision before the current one. A majority of them must hold the current revision
// before it is reported as accepted.
func (a *Arbiter) Holders() []string {
	var out []string
	for _, id := range a.st.Base {
		if a.st.Registered[id] {
			out = append(out, id)
		}
	}
	return out
}

// Apply applies a command. It is deterministic: the result depends only on this and the earlier commands.
func (a *Arbiter) Apply(cmd Command) Verdict {
	if cmd.Registered != "" {
		a.st.Registered[cmd.Registered] = true
	}
	if cmd.Routing != nil {
		a.applyRouting(cmd.Routing)
	}
	a.st.Servers.apply(cmd.Servers)
	if cmd.Change == nil {
		return Verdict{}
	}
	if v, ok := a.verdicts[cmd.Change.ID]; ok {
		return v
	}
	v := a.applyChange(cmd.Change)
	a.storeVerdict(cmd.Change.ID, v)
	return v
}

// applyRouting puts a routing document into force if its number is higher than all earlier ones; a repeated number changes nothing.
func (a *Arbiter) applyRouting(r *Routing) {
	next := a.st.Current
	if r.Number <= next.RoutingNumber && next.Routing != nil {
		return
	}
	document, err := differ.Decode(nil, r.Packed)
	if err != nil {
		// The leader encoded the document with its own build, which must use the same encoding as this one.
		return
	}
	next.Revision++
	next.Routing, next.RoutingNumber, next.RoutingSince = document, r.Number, next.Revision
	next.Hash = parser.Hash(next.Inventory, next.Rules, next.Routing)
	a.st.Base = entryIDs(a.st.Current.Inventory)
	a.st.Current = next
}

// Servers returns the table of backend servers; the caller must not change it.
func (a *Arbiter) Servers() *Table { return &a.st.Servers }

func (a *Arbiter) storeVerdict(id string, v Verdict) {
	if len(v.Refusal) > maxRefusalBytes {
		v.Refusal = v.Refusal[:maxRefusalBytes]
	}
	a.verdicts[id] = v
	a.st.Verdicts = append(a.st.Verdicts, verdictByChange{id, v})
	if n := len(a.st.Verdicts) - MaxVerdicts; n > 0 {
		for _, old := range a.st.Verdicts[:n] {
			delete(a.verdicts, old.ChangeID)
		}
		a.st.Verdicts = slices.Clone(a.st.Verdicts[n:])
	}
}

// applyChange accepts a change made from the current revision that the leader found valid, and refuses any other.
func (a *Arbiter) applyChange(c *Change) Verdict {
	cur := a.st.Current
	switch {
	case c.BaseRevision != cur.Revision:
		return Verdict{Revision: cur.Revision, Winner: a.acceptedFrom(c.BaseRevision), Refusal: "made from another revision than the current one"}
	case c.Refusal != "":
		return Verdict{Revision: cur.Revision, Refusal: c.Refusal}
	case !c.Checked:
		return Verdict{Revision: cur.Revision, Refusal: "made from a revision that did not exist yet"}
	}
	next := cur.withChange(c)
	a.st.Base = entryIDs(cur.Inventory)
	a.st.History = append(a.st.History, Entry{
		ChangeID: c.ID, BaseRevision: c.BaseRevision, Revision: next.Revision, Who: c.Who, When: c.When,
		Documents: c.documents(), Diff: diff(cur, next),
	})
	if n := len(a.st.History) - MaxHistory; n > 0 {
		a.st.History = slices.Clone(a.st.History[n:])
	}
	a.st.Current = next
	return Verdict{Accepted: true, Revision: next.Revision}
}

// withChange returns the configuration after the change.
func (d Document) withChange(c *Change) Document {
	next := d
	next.Revision++
	if c.Inventory != nil {
		next.Inventory, next.InventorySince = c.Inventory, next.Revision
	}
	if c.Rules != nil {
		next.Rules, next.RulesSince = c.Rules, next.Revision
	}
	next.Hash = parser.Hash(next.Inventory, next.Rules, next.Routing)
	return next
}

// Check validates a change against d, the current configuration, and records the result in c. The leader calls it before proposing c,
// and the other members rely on the recorded result, so that members running different builds can't disagree on what is valid.
func Check(d Document, c *Change) {
	c.Checked, c.Refusal = false, ""
	if c.BaseRevision != d.Revision {
		return
	}
	c.Checked = true
	next := d.withChange(c)
	if _, err := parser.ParseConfiguration(next.Revision, next.Inventory, next.Rules); err != nil {
		c.Refusal = err.Error()
	}
}

// documents returns the names of the documents that the change replaces.
func (c *Change) documents() (out []string) {
	if c.Inventory != nil {
		out = append(out, "inventory")
	}
	if c.Rules != nil {
		out = append(out, "rules")
	}
	return out
}

// acceptedFrom returns the id of the accepted change whose base revision is base, or "" if there is none in the history.
func (a *Arbiter) acceptedFrom(base uint64) string {
	for _, e := range a.st.History {
		if e.BaseRevision == base {
			return e.ChangeID
		}
	}
	return ""
}
