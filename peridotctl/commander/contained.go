package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// containedReport describes a request that entries refuse because it crashed backend servers.
type containedReport struct {
	Fingerprint string    `json:"fingerprint"`
	Service     string    `json:"service"`
	Method      string    `json:"method"`
	Path        string    `json:"path"`
	Crashed     []string  `json:"crashed"`
	Until       time.Time `json:"until"`
}

// contained returns the requests that the entries refuse, as reported by one entry.
func (c *Commander) contained(ctx context.Context) ([]containedReport, error) {
	var reply struct {
		Contained []containedReport `json:"contained"`
	}
	_, err := c.getJSON(ctx, "/peridot/contained", &reply)
	return reply.Contained, err
}

func (c *Commander) printContained(list []containedReport) {
	if len(list) == 0 {
		return
	}
	var rows [][]string
	for _, r := range list {
		rows = append(rows, []string{r.Fingerprint, r.Service, r.Method, r.Path, strings.Join(r.Crashed, ","), r.Until.Format(time.RFC3339)})
	}
	fmt.Fprintln(c.cfg.Out)
	c.printTable("refused fingerprint\tservice\tmethod\tpath\tcrashed\tuntil", rows)
}

// Lift makes entries accept a request again that they refuse because it crashed backend servers.
func (c *Commander) Lift(ctx context.Context, fingerprint string) (err error) {
	defer func() { err = errors.WithMessagef(err, "lift %s", fingerprint) }()
	for _, address := range c.cfg.Entries {
		if err = c.lift(ctx, address, fingerprint); err == nil {
			fmt.Fprintf(c.cfg.Out, "%s is no longer refused\n", fingerprint)
			return nil
		}
	}
	return err
}

func (c *Commander) lift(ctx context.Context, address, fingerprint string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/peridot/contained/"+url.PathEscape(fingerprint), http.NoBody)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.cfg.OperatorToken)
	res, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	switch {
	case err != nil:
		return err
	case res.StatusCode == http.StatusNotFound:
		return ErrNotFound
	case res.StatusCode != http.StatusOK:
		return errors.Errorf("%s: %s", res.Status, strings.TrimSpace(string(body)))
	}
	return nil
}
