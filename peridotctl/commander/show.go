package commander

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/pmezard/go-difflib/difflib"

	"peridotswitch.example/common/operatorpb"
)

// DocumentKind selects which documents to show.
type DocumentKind string

// The values of DocumentKind.
const (
	Both      DocumentKind = "both"
	Inventory DocumentKind = "inventory"
	Rules     DocumentKind = "rules"
)

type showReport struct {
	Revision  uint64 `json:"revision"`
	Hash      string `json:"hash"`
	Inventory string `json:"inventory"`
	Rules     string `json:"rules"`
}

// Show prints the documents of a revision; 0 is the revision in force. A single document is printed byte for byte as it was applied.
func (c *Commander) Show(ctx context.Context, revision uint64, doc DocumentKind) (err error) {
	defer func() { err = errors.WithMessage(err, "show") }()
	r, err := c.show(ctx, revision)
	if err != nil {
		return err
	}
	if c.cfg.JSON {
		return c.writeJSON(showReport{r.Revision, r.Hash, string(r.Inventory), string(r.Rules)})
	}
	switch doc {
	case Inventory:
		_, err = c.cfg.Out.Write(r.Inventory)
	case Rules:
		_, err = c.cfg.Out.Write(r.Rules)
	default:
		fmt.Fprintf(c.cfg.Out, "# revision %d, hash %s\n# inventory\n%s# rules\n%s", r.Revision, r.Hash, r.Inventory, r.Rules)
	}
	if doc != Both {
		fmt.Fprintf(c.cfg.ErrOut, "revision %d\n", r.Revision)
	}
	return err
}

func (c *Commander) show(ctx context.Context, revision uint64) (reply *operatorpb.ShowReply, err error) {
	err = c.callControl(ctx, func(ctx context.Context, o operatorpb.Operator) (err error) {
		reply, err = o.Show(ctx, &operatorpb.ShowRequest{Revision: revision})
		return err
	})
	return reply, err
}

// diffContext is the number of unchanged lines printed around each difference.
const diffContext = 3

// Diff prints the differences between the revision in force and the files, and returns ErrDifferent if there are any.
func (c *Commander) Diff(ctx context.Context, inventoryFile, rulesFile string) (err error) {
	defer func() { err = errors.WithMessage(err, "diff") }()
	docs, err := readDocuments(inventoryFile, rulesFile)
	if err != nil {
		return err
	}
	current, err := c.show(ctx, 0)
	if err != nil {
		return err
	}
	different := false
	for _, d := range []struct {
		name         string
		before, file []byte
	}{{"inventory", current.Inventory, docs.inventory}, {"rules", current.Rules, docs.rules}} {
		if d.file == nil {
			continue
		}
		text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
			A:        difflib.SplitLines(string(d.before)),
			B:        difflib.SplitLines(string(d.file)),
			FromFile: fmt.Sprintf("%s in force (revision %d)", d.name, current.Revision),
			ToFile:   d.name + " file",
			Context:  diffContext,
		})
		if err != nil {
			return err
		}
		different = different || text != ""
		fmt.Fprint(c.cfg.Out, text)
	}
	if different {
		return ErrDifferent
	}
	return nil
}

type changeReport struct {
	ChangeID  string    `json:"change-id"`
	Revision  uint64    `json:"revision"`
	Who       string    `json:"who"`
	When      time.Time `json:"when"`
	Documents []string  `json:"documents"`
}

// History prints the newest accepted changes, up to limit.
func (c *Commander) History(ctx context.Context, limit int) (err error) {
	defer func() { err = errors.WithMessage(err, "history") }()
	var reply *operatorpb.HistoryReply
	err = c.callControl(ctx, func(ctx context.Context, o operatorpb.Operator) (err error) {
		reply, err = o.History(ctx, &operatorpb.HistoryRequest{Most: uint32(limit)})
		return err
	})
	if err != nil {
		return err
	}
	changes := []changeReport{}
	var rows [][]string
	for _, ch := range reply.Changes {
		r := changeReport{ch.ChangeId, ch.Revision, ch.Who, time.UnixMilli(ch.WhenUnixMs).UTC(), ch.Documents}
		changes = append(changes, r)
		rows = append(rows, []string{strconv.FormatUint(r.Revision, 10), r.When.Format(time.RFC3339), r.Who, strings.Join(r.Documents, ","), r.ChangeID})
	}
	if c.cfg.JSON {
		return c.writeJSON(changes)
	}
	c.printTable("revision\twhen\twho\tdocuments\tchange id", rows)
	return nil
}
