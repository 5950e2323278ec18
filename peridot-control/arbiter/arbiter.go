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
	// Refusal is the validation error that the leader found, if any. Validated is set when the leader validated the change against
	// BaseRevision.
	Refusal   string `json:"refusal,omitempty"`
	Validated bool   `json:"checked"`
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
	// Quarantine changes the list of contained requests.
	Quarantine *QuarantineChange `json:"quarantine,omitempty"`
	// Evacuation changes the list of evacuated availability zones.
	Evacuation *EvacuationChange `json:"evacuation,omitempty"`
}

// Routing is a routing document with its number; the document with the highest number is in force.
type Routing struct {
	Number uint64 `json:"number"`
	// Encoded is the document compressed by differ.Encode without a base, because the log is sent to every member.
	Encoded []byte `json:"packed"`
}

// ChangeResult is the result of a change. A repeated change id gets the result of the first attempt for as long as that result is
// kept.
type ChangeResult struct {
	Accepted bool   `json:"accepted"`
	Revision uint64 `json:"revision"`
	// WinnerChangeID is the id of the accepted change that has the same base revision, when this change was refused because of it.
	WinnerChangeID string `json:"winner,omitempty"`
	Refusal        string `json:"refusal,omitempty"`
	// Outdated is set if the change was made from an earlier state than the current one. Results that are kept by change id don't have it.
	Outdated bool `json:"-"`
}

// Configuration is one revision of the configuration: the inventory, the rules and the routing document.
type Configuration struct {
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

// HistoryEntry is one accepted change in the history.
type HistoryEntry struct {
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
	MaxResults      = 10_000
	MaxHistory      = 500
	maxRefusalBytes = 1 << 10
)

// Arbiter is the state machine; it is not safe for concurrent use.
type Arbiter struct {
	st state
	// results indexes st.Results by change id.
	results map[string]ChangeResult
}

// state is the content of a snapshot.
type state struct {
	Current Configuration `json:"current"`
	// PreviousEntries lists the entry instances of the revision before the current one; see QuorumEntries.
	PreviousEntries []string         `json:"base"`
	History         []HistoryEntry   `json:"history"`
	Results         []resultByChange `json:"verdicts"`
	Registered      map[string]bool  `json:"registered"`
	Servers         Table            `json:"servers"`
	Quarantine      Quarantine       `json:"quarantine"`
	Evacuations     Evacuations      `json:"evacuations,omitzero"`
}

// resultByChange is the result of a change with the change's id.
type resultByChange struct {
	ChangeID string       `json:"change-id"`
	Result   ChangeResult `json:"verdict"`
}

// New returns an Arbiter at revision 0 with an empty configuration.
func New() *Arbiter {
	return &Arbiter{
		results: make(map[string]ChangeResult),
		st:      state{Current: Configuration{Hash: parser.Hash(nil, nil, nil)}, Registered: make(map[string]bool)},
	}
}

// Snapshot encodes the state for Restore.
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
	for _, r := range restored.st.Results {
		restored.results[r.ChangeID] = r.Result
	}
	*a = *restored
	return nil
}

// Current returns the configuration at its newest accepted revision.
func (a *Arbiter) Current() Configuration { return a.st.Current }

// History returns the accepted changes, oldest first; the caller must not change it.
func (a *Arbiter) History() []HistoryEntry { return slices.Clip(a.st.History) }

// EntryIDs lists the entry instances of the current inventory.
func (a *Arbiter) EntryIDs() []string { return entryIDs(a.st.Current.Inventory) }

// IsRegistered reports whether an entry may have received the configuration.
func (a *Arbiter) IsRegistered(instanceID string) bool { return a.st.Registered[instanceID] }

// QuorumEntries lists the registered entries of the revision before the current one. A majority of them must hold the current revision
// before it is reported as accepted.
func (a *Arbiter) QuorumEntries() []string {
	var out []string
	for _, id := range a.st.PreviousEntries {
		if a.st.Registered[id] {
			out = append(out, id)
		}
	}
	return out
}

// Apply applies a command. It is deterministic: the result depends only on this and the earlier commands.
func (a *Arbiter) Apply(cmd Command) ChangeResult {
	if cmd.Registered != "" {
		a.st.Registered[cmd.Registered] = true
	}
	if cmd.Routing != nil {
		a.applyRouting(cmd.Routing)
	}
	a.st.Servers.apply(cmd.Servers)
	if cmd.Quarantine != nil {
		a.st.Quarantine.apply(cmd.Quarantine)
	}
	if cmd.Evacuation != nil {
		return a.st.Evacuations.apply(cmd.Evacuation)
	}
	if cmd.Change == nil {
		return ChangeResult{}
	}
	if r, ok := a.results[cmd.Change.ID]; ok {
		return r
	}
	r := a.applyChange(cmd.Change)
	a.storeResult(cmd.Change.ID, r)
	return r
}

// applyRouting puts a routing document into force if its number is higher than all earlier ones; a repeated number changes nothing.
func (a *Arbiter) applyRouting(r *Routing) {
	next := a.st.Current
	if r.Number <= next.RoutingNumber && next.Routing != nil {
		return
	}
	document, err := differ.Decode(nil, r.Encoded)
	if err != nil {
		// The leader encoded the document with its own build, which must use the same encoding as this one.
		return
	}
	next.Revision++
	next.Routing, next.RoutingNumber, next.RoutingSince = document, r.Number, next.Revision
	next.Hash = parser.Hash(next.Inventory, next.Rules, next.Routing)
	a.st.PreviousEntries = entryIDs(a.st.Current.Inventory)
	a.st.Current = next
}

// Servers returns the table of backend servers; the caller must not change it.
func (a *Arbiter) Servers() *Table { return &a.st.Servers }

// Quarantine returns the contained requests; the caller must not change them.
func (a *Arbiter) Quarantine() Quarantine { return a.st.Quarantine }

// Evacuations returns the evacuated availability zones; the caller must not change them.
func (a *Arbiter) Evacuations() Evacuations { return a.st.Evacuations }

func (a *Arbiter) storeResult(id string, r ChangeResult) {
	if len(r.Refusal) > maxRefusalBytes {
		r.Refusal = r.Refusal[:maxRefusalBytes]
	}
	a.results[id] = r
	a.st.Results = append(a.st.Results, resultByChange{id, r})
	if n := len(a.st.Results) - MaxResults; n > 0 {
		for _, old := range a.st.Results[:n] {
			delete(a.results, old.ChangeID)
		}
		a.st.Results = slices.Clone(a.st.Results[n:])
	}
}

// applyChange accepts a change made from the current revision that the leader found valid, and refuses any other.
func (a *Arbiter) applyChange(c *Change) ChangeResult {
	cur := a.st.Current
	switch {
	case c.BaseRevision != cur.Revision:
		return ChangeResult{Revision: cur.Revision, WinnerChangeID: a.acceptedFrom(c.BaseRevision), Refusal: "made from another revision than the current one"}
	case c.Refusal != "":
		return ChangeResult{Revision: cur.Revision, Refusal: c.Refusal}
	case !c.Validated:
		return ChangeResult{Revision: cur.Revision, Refusal: "made from a revision that did not exist yet"}
	}
	next := cur.withChange(c)
	a.st.PreviousEntries = entryIDs(cur.Inventory)
	a.st.History = append(a.st.History, HistoryEntry{
		ChangeID: c.ID, BaseRevision: c.BaseRevision, Revision: next.Revision, Who: c.Who, When: c.When,
		Documents: c.documents(), Diff: diff(cur, next),
	})
	if n := len(a.st.History) - MaxHistory; n > 0 {
		a.st.History = slices.Clone(a.st.History[n:])
	}
	a.st.Current = next
	return ChangeResult{Accepted: true, Revision: next.Revision}
}

// withChange returns the configuration after the change.
func (cfg Configuration) withChange(c *Change) Configuration {
	next := cfg
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

// ValidateChange validates a change against the current configuration and records the result in c. The leader calls it before it
// proposes c, and the other members rely on the recorded result, so that members running different builds can't disagree on what is
// valid.
func ValidateChange(cfg Configuration, c *Change) {
	c.Validated, c.Refusal = false, ""
	if c.BaseRevision != cfg.Revision {
		return
	}
	c.Validated = true
	next := cfg.withChange(c)
	err := parser.CheckText("inventory", c.Inventory)
	if err == nil {
		err = parser.CheckText("rules", c.Rules)
	}
	if err == nil {
		_, err = parser.ParseConfiguration(next.Revision, next.Inventory, next.Rules)
	}
	if err != nil {
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
