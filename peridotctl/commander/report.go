package commander

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// entryResponse says whether an entry contributed to a report that another entry collected.
type entryResponse struct {
	InstanceID string `json:"instance-id"`
	Answered   bool   `json:"answered"`
	Error      string `json:"error"`
	// CountedMS is how long the entry has counted calls.
	CountedMS int64 `json:"counted-ms"`
}

type burnReport struct {
	Complete bool            `json:"complete"`
	Entries  []entryResponse `json:"entries"`
	Services []struct {
		Service         string  `json:"service"`
		ObjectiveMS     float64 `json:"objective-latency-ms"`
		ObjectiveShare  float64 `json:"objective-share"`
		ErrorBudgetLeft float64 `json:"error-budget-left"`
		FastBurn        bool    `json:"fast-burn"`
		SlowBurn        bool    `json:"slow-burn"`
		Windows         []struct {
			Window   string  `json:"window"`
			BurnRate float64 `json:"burn-rate"`
			Calls    uint64  `json:"calls"`
			Missed   uint64  `json:"missed"`
		} `json:"windows"`
	} `json:"services"`
}

const (
	burnPath     = "/peridot/burn"
	pageFileMode = 0o644
)

// Burn prints the error budget and burn rates of each service over the whole fleet, and saves them as an HTML page if pageFile is not empty.
func (c *Commander) Burn(ctx context.Context, pageFile string) (err error) {
	defer func() { err = errors.WithMessage(err, "burn") }()
	var r burnReport
	raw, err := c.getJSON(ctx, burnPath, &r)
	if err != nil {
		return err
	}
	if pageFile != "" {
		if err = c.savePage(ctx, pageFile); err != nil {
			return err
		}
	}
	if c.cfg.JSON {
		_, err = c.cfg.Out.Write(raw)
		return err
	}
	c.printBurn(&r)
	return nil
}

func (c *Commander) printBurn(r *burnReport) {
	heading := "service\tobjective\tbudget left (6h)"
	var rows [][]string
	for i, s := range r.Services {
		row := []string{s.Service, fmt.Sprintf("%.4g%% in %g ms", 100*s.ObjectiveShare, s.ObjectiveMS), fmt.Sprintf("%.1f%%", 100*s.ErrorBudgetLeft)}
		for _, w := range s.Windows {
			if i == 0 {
				heading += "\tburn " + w.Window
			}
			row = append(row, fmt.Sprintf("%.2f (%d/%d)", w.BurnRate, w.Missed, w.Calls))
		}
		state := "ok"
		if s.SlowBurn {
			state = "slow burn"
		}
		if s.FastBurn {
			state = "fast burn"
		}
		rows = append(rows, append(row, state))
	}
	c.printTable(heading+"\tstate", rows)
	if !r.Complete {
		fmt.Fprintln(c.cfg.Out, "\nincomplete: calls at entries that did not respond, or made before an entry started, are not counted")
	}
	c.printEntryResponses(r.Entries)
}

// printEntryResponses prints which entries did not respond and how long the others have counted calls.
func (c *Commander) printEntryResponses(entries []entryResponse) {
	for _, e := range entries {
		switch {
		case !e.Answered:
			fmt.Fprintf(c.cfg.Out, "entry %s did not respond: %s\n", e.InstanceID, e.Error)
		case e.CountedMS > 0:
			fmt.Fprintf(c.cfg.Out, "entry %s has counted calls for %s\n", e.InstanceID, (time.Duration(e.CountedMS) * time.Millisecond).Truncate(time.Second))
		}
	}
}

func (c *Commander) savePage(ctx context.Context, file string) error {
	var page []byte
	err := errors.New("no entry address given")
	for _, address := range c.cfg.Entries {
		if page, _, err = c.fetch(ctx, address, burnPath, "text/html"); err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	if err = os.WriteFile(file, page, pageFileMode); err != nil {
		return err
	}
	fmt.Fprintln(c.cfg.ErrOut, "HTML page written to", file)
	return nil
}

type explainAttempt struct {
	Server        string `json:"server"`
	Start         int64  `json:"start-ns"`
	Result        string `json:"result"`
	Hedge         bool   `json:"hedge"`
	Address       string `json:"address"`
	LocalPort     int    `json:"local-port"`
	Exchange      int    `json:"exchange"`
	Status        int    `json:"status"`
	Refusal       string `json:"refusal"`
	RefusalKind   string `json:"refusal-kind"`
	Contradictory bool   `json:"contradictory"`
	Unproven      bool   `json:"unproven"`
	Written       bool   `json:"written"`
	MayHaveRun    bool   `json:"may-have-run"`
}

// details returns the connection of the attempt and what is known of its outcome, with the names of the log's fields.
func (a *explainAttempt) details() string {
	var d []string
	add := func(name string, value any, known bool) {
		if known {
			d = append(d, fmt.Sprintf("%s %v", name, value))
		}
	}
	add("address", a.Address, a.Address != "")
	add("local-port", a.LocalPort, a.LocalPort > 0)
	add("exchange", a.Exchange, a.Exchange > 0)
	add("status", a.Status, a.Status > 0)
	add("refusal", strconv.Quote(a.Refusal), a.Refusal != "")
	add("refusal-kind", strconv.Quote(a.RefusalKind), a.RefusalKind != "")
	add("contradictory", a.Contradictory, a.Contradictory)
	add("unproven", a.Unproven, a.Unproven)
	add("written", a.Written, true)
	add("may-have-run", a.MayHaveRun, a.MayHaveRun)
	return strings.Join(d, ", ")
}

type explainReport struct {
	Calls []struct {
		RequestID string    `json:"request-id"`
		Service   string    `json:"service"`
		Method    string    `json:"method"`
		Path      string    `json:"path"`
		Begin     time.Time `json:"begin"`
		Outcome   string    `json:"outcome"`
		Status    int       `json:"status"`
		Total     int64     `json:"total-ns"`
		Entry     string    `json:"entry"`
		Notes     []string  `json:"notes"`
		Cause     string    `json:"cause"`
		NoRetry   string    `json:"no-retry"`
		Unlisted  int       `json:"unlisted-attempts"`

		Caller        string `json:"caller"`
		CallerRequest int    `json:"caller-request"`
		Body          int64  `json:"body-ns"`
		BodyBytes     int    `json:"body-bytes"`
		Chunked       bool   `json:"chunked"`

		Attempts []explainAttempt `json:"attempts"`
		Parts    []struct {
			Part       string  `json:"part"`
			DurationMS float64 `json:"duration-ms"`
			Share      float64 `json:"share"`
		} `json:"parts"`
	} `json:"calls"`
	Entries []entryResponse `json:"entries"`
}

// Explain prints how long each part of a slow or failed call took, whichever entry served the call.
func (c *Commander) Explain(ctx context.Context, requestID string) (err error) {
	defer func() { err = errors.WithMessagef(err, "explain %s", requestID) }()
	var r explainReport
	raw, err := c.getJSON(ctx, "/peridot/explain/"+url.PathEscape(requestID), &r)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return err
	}
	if c.cfg.JSON {
		_, _ = c.cfg.Out.Write(raw)
		return err
	}
	for _, call := range r.Calls {
		fmt.Fprintf(c.cfg.Out, "%s %s%s at %s through entry %s: status %d, outcome %s, %.3f ms\n", call.Method, call.Service, call.Path,
			call.Begin.Format(time.RFC3339Nano), call.Entry, call.Status, call.Outcome, float64(call.Total)/float64(time.Millisecond))
		var rows [][]string
		for _, p := range call.Parts {
			rows = append(rows, []string{p.Part, fmt.Sprintf("%.3f", p.DurationMS), fmt.Sprintf("%.1f%%", 100*p.Share)})
		}
		c.printTable("part\tms\tshare", rows)
		for i, a := range call.Attempts {
			kind := "attempt"
			if a.Hedge {
				kind = "hedge, attempt"
			}
			fmt.Fprintf(c.cfg.Out, "%s %d to %s after %.3f ms: %s\n", kind, i+1, strconv.Quote(a.Server), float64(a.Start)/float64(time.Millisecond), a.Result)
			fmt.Fprintln(c.cfg.Out, "   ", a.details())
		}
		if call.CallerRequest > 0 {
			fmt.Fprintf(c.cfg.Out, "request %d on the connection from %s, body of %d bytes in %.3f ms, chunked %t\n",
				call.CallerRequest, strconv.Quote(call.Caller), call.BodyBytes, float64(call.Body)/float64(time.Millisecond), call.Chunked)
		}
		if call.Cause != "" || call.NoRetry != "" || call.Unlisted != 0 {
			fmt.Fprintf(c.cfg.Out, "cause %q, no-retry %q, unlisted-attempts %d\n", call.Cause, call.NoRetry, call.Unlisted)
		}
		for _, n := range call.Notes {
			fmt.Fprintln(c.cfg.Out, "note:", n)
		}
	}
	if err != nil {
		c.printEntryResponses(r.Entries)
		err = errors.WithMessage(err, "no slow or failed call has this request id; calls that met their objective are not kept")
	}
	return err
}
