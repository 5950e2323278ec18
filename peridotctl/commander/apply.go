package commander

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"peridotswitch.example/common/operatorpb"
	"peridotswitch.example/common/parser"
)

// Change is a configuration change as given on the command line; a document whose file name is empty is not changed.
type Change struct {
	// ID is generated when empty.
	ID string
	// FromCurrent sets BaseRevision to the revision in force.
	FromCurrent   bool
	BaseRevision  uint64
	InventoryFile string
	RulesFile     string
	Who           string
	// Wait is how long to wait until the change is in force on every entry.
	Wait time.Duration
}

type applyReport struct {
	ChangeID string `json:"change-id"`
	Accepted bool   `json:"accepted"`
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"in-force"`
}

// Apply sends a change to control. It is idempotent: a change with the same id is applied once.
func (c *Commander) Apply(ctx context.Context, ch Change) (err error) {
	docs, err := readDocuments(ch.InventoryFile, ch.RulesFile)
	if err != nil {
		return errors.WithMessage(err, "apply")
	}
	return c.ApplyDocuments(ctx, ch, docs.inventory, docs.rules)
}

// ApplyDocuments is like Apply, but takes the documents' contents instead of file names; a nil document is not changed.
func (c *Commander) ApplyDocuments(ctx context.Context, ch Change, inventory, rules []byte) (err error) {
	defer func() { err = errors.WithMessage(err, "apply") }()
	if ch.FromCurrent {
		current, err := c.show(ctx, 0)
		if err != nil {
			return err
		}
		ch.BaseRevision = current.Revision
	}
	if ch.ID == "" {
		ch.ID = uuid.NewString()
	}
	fmt.Fprintf(c.cfg.ErrOut, "change id %s, base revision %d; if no response arrives, send it again with --change-id %s --base-revision %d\n", ch.ID, ch.BaseRevision, ch.ID, ch.BaseRevision)
	req := &operatorpb.ApplyRequest{
		ChangeId:      ch.ID,
		BaseRevision:  ch.BaseRevision,
		Inventory:     inventory,
		Rules:         rules,
		Who:           ch.Who,
		WaitInForceMs: uint32(ch.Wait.Milliseconds()),
	}
	var reply *operatorpb.ApplyReply
	err = c.callControl(ctx, func(ctx context.Context, o operatorpb.Operator) (err error) {
		reply, err = o.Apply(ctx, req)
		return err
	})
	if err != nil {
		return err
	}
	if !reply.Accepted {
		return &RefusedError{Reason: reply.Refusal, WinnerChangeID: reply.WinnerChangeId, CurrentRevision: reply.CurrentRevision}
	}
	if c.cfg.JSON {
		err = c.writeJSON(applyReport{ch.ID, true, reply.Revision, reply.InForce})
	} else {
		fmt.Fprintf(c.cfg.Out, "accepted: revision %d, in force: %t\n", reply.Revision, reply.InForce)
	}
	if err == nil && !reply.InForce && ch.Wait > 0 {
		err = &NotInForceError{reply.Revision, ch.Wait}
	}
	return err
}

// documents holds the contents of the given files; nil where no file was given.
type documents struct {
	inventory, rules []byte
}

// readDocuments reads the given files; at least one file name must not be empty.
func readDocuments(inventoryFile, rulesFile string) (d documents, err error) {
	if inventoryFile == "" && rulesFile == "" {
		return d, &UsageError{"give --inventory FILE, --rules FILE or both"}
	}
	for file, doc := range map[string]*[]byte{inventoryFile: &d.inventory, rulesFile: &d.rules} {
		if file == "" {
			continue
		}
		if *doc, err = os.ReadFile(file); err != nil {
			return d, err
		}
		if *doc == nil {
			*doc = []byte{}
		}
	}
	return d, nil
}

// UsageError means that a command line is invalid.
type UsageError struct{ Text string }

func (e *UsageError) Error() string { return e.Text }

// Validate checks files without contacting a fleet. Without an inventory file, the services that rules name are not checked.
func (c *Commander) Validate(inventoryFile, rulesFile string) (err error) {
	docs, err := readDocuments(inventoryFile, rulesFile)
	if err != nil {
		return errors.WithMessage(err, "validate")
	}
	var inv *parser.Inventory
	if docs.inventory != nil {
		if inv, err = parser.ParseInventory(docs.inventory); err != nil {
			return err
		}
	}
	if docs.rules != nil {
		if _, err = parser.ParseRules(docs.rules, inv); err != nil {
			return err
		}
	}
	fmt.Fprintln(c.cfg.Out, "valid")
	return nil
}
