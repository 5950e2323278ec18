package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"peridotswitch.example/common/operatorpb"
)

// Config configures a Commander.
type Config struct {
	// Control lists the addresses of control members, as ip:port; they are tried in order until one responds.
	Control []string
	// Entries lists the operator addresses of entries, as ip:port; they are tried in order until one responds.
	Entries []string
	// OperatorToken is the operator token, sent as a bearer token.
	OperatorToken string
	// JSON selects JSON output instead of tables.
	JSON bool
	Out  io.Writer
	// ErrOut receives messages for the user that are not part of the result.
	ErrOut io.Writer
}

// Commander runs operator commands against a fleet.
type Commander struct {
	cfg    Config
	client *http.Client
}

// New returns a Commander.
func New(cfg Config) *Commander {
	return &Commander{cfg: cfg, client: &http.Client{Timeout: requestTimeout}}
}

const (
	requestTimeout   = 10 * time.Second
	maxResponseBytes = 64 << 20
	// electionTimeout limits how long a command is retried while control elects a leader.
	electionTimeout       = 10 * time.Second
	electionRetryInterval = 200 * time.Millisecond
)

// Errors that peridotctl maps to exit codes of their own, so that scripts can tell them from failures.
var (
	// ErrNotFound means that the entry knows no object with the given id.
	ErrNotFound = errors.New("not found")
	// ErrDifferent means that the files differ from the documents in force.
	ErrDifferent = errors.New("the files differ from the documents in force")
)

// RefusedError means that control refused a change.
type RefusedError struct {
	Reason          string
	WinnerChangeID  string
	CurrentRevision uint64
}

func (e *RefusedError) Error() string {
	text := fmt.Sprintf("refused: %s; the current revision is %d", e.Reason, e.CurrentRevision)
	if e.WinnerChangeID != "" {
		text += fmt.Sprintf("; change %q won", e.WinnerChangeID)
	}
	return text
}

// NotInForceError means that a change was accepted, but was not in force on every entry when the wait ended.
type NotInForceError struct {
	Revision uint64
	Waited   time.Duration
}

func (e *NotInForceError) Error() string {
	return fmt.Sprintf("revision %d was accepted, but is not in force on every entry after %v", e.Revision, e.Waited)
}

// callControl calls rpc on one control member after another until one responds, and retries while control has no leader.
func (c *Commander) callControl(ctx context.Context, rpc func(context.Context, operatorpb.Operator) error) (err error) {
	h := make(http.Header)
	h.Set("Authorization", "Bearer "+c.cfg.OperatorToken)
	if ctx, err = twirp.WithHTTPRequestHeaders(ctx, h); err != nil {
		return err
	}
	for end := time.Now().Add(electionTimeout); ; {
		err = c.tryMembers(ctx, rpc)
		if !isUnavailable(err) || time.Now().After(end) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(electionRetryInterval):
		}
	}
}

func (c *Commander) tryMembers(ctx context.Context, rpc func(context.Context, operatorpb.Operator) error) (err error) {
	for _, address := range c.cfg.Control {
		err = rpc(ctx, operatorpb.NewOperatorProtobufClient("http://"+address, c.client))
		if err == nil || isPermanent(err) {
			return err
		}
		err = errors.WithMessagef(err, "call control member %s", address)
	}
	return err
}

// isUnavailable reports whether the control member responded that control can't serve the request now, as during an election.
func isUnavailable(err error) bool {
	var te twirp.Error
	return errors.As(err, &te) && te.Code() == twirp.Unavailable
}

// isPermanent reports whether every other control member would return the same error.
func isPermanent(err error) bool {
	var te twirp.Error
	if !errors.As(err, &te) {
		return false
	}
	switch te.Code() {
	case twirp.Unauthenticated, twirp.InvalidArgument, twirp.NotFound, twirp.PermissionDenied:
		return true
	}
	return false
}

// getJSON requests path from one entry after another until one responds, and decodes the JSON body into v. The body of a 404 response
// is decoded too, and the error is then ErrNotFound.
func (c *Commander) getJSON(ctx context.Context, path string, v any) (raw []byte, err error) {
	err = errors.New("no entry address given")
	for _, address := range c.cfg.Entries {
		raw, err = c.getJSONFrom(ctx, address, path, v)
		if err == nil || errors.Is(err, ErrNotFound) {
			return raw, err
		}
		err = errors.WithMessagef(err, "request to entry %s", address)
	}
	return nil, err
}

func (c *Commander) getJSONFrom(ctx context.Context, address, path string, v any) ([]byte, error) {
	raw, status, err := c.fetch(ctx, address, path, "application/json")
	if err != nil {
		return nil, err
	}
	if err = json.Unmarshal(raw, v); err != nil {
		return nil, err
	}
	if status == http.StatusNotFound {
		return raw, ErrNotFound
	}
	return raw, nil
}

func (c *Commander) fetch(ctx context.Context, address, path, accept string) (raw []byte, status int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set("Accept", accept)
	res, err := c.client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer res.Body.Close()
	if raw, err = io.ReadAll(io.LimitReader(res.Body, maxResponseBytes)); err != nil {
		return nil, 0, err
	}
	if res.StatusCode != http.StatusOK && res.StatusCode != http.StatusNotFound {
		return nil, 0, errors.Errorf("%s: %s", res.Status, strings.TrimSpace(string(raw)))
	}
	return raw, res.StatusCode, nil
}

// writeJSON prints v as indented JSON.
func (c *Commander) writeJSON(v any) error {
	e := json.NewEncoder(c.cfg.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable prints rows in aligned columns under heading, whose columns are separated by tabs.
func (c *Commander) printTable(heading string, rows [][]string) {
	w := tabwriter.NewWriter(c.cfg.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(heading))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}
