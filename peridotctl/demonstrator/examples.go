package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

const maxResponseBytes = 1 << 20

// response is a response as a caller receives it.
type response struct {
	status       int
	outcome      string
	requestID    string
	serverTiming string
	body         string
}

// call makes one call; a status other than 200 is an error.
func (d *Demo) call(ctx context.Context, address, method, path string, header map[string]string) (*response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/call/"+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	r := &response{
		status:       res.StatusCode,
		outcome:      res.Header.Get("Peridot-Outcome"),
		requestID:    res.Header.Get("Peridot-Request-Id"),
		serverTiming: res.Header.Get("Server-Timing"),
		body:         string(body),
	}
	if r.status != http.StatusOK {
		return r, errors.Errorf("%s /call/%s: status %d: %s", method, path, r.status, body)
	}
	return r, nil
}

// printExamples makes one call to each service, and prints the responses and commands to try next.
func (d *Demo) printExamples(ctx context.Context) error {
	w := d.cfg.Out
	fmt.Fprintf(w, "\nOne control member, %d entries and %d fake backend servers run in this process.\n\n", len(d.entries), serversPerService*len(d.inventory.Services))
	for _, c := range []struct {
		method, path string
		header       map[string]string
	}{
		{http.MethodGet, "stock-lookup/items/7", nil},
		{http.MethodPost, "order-taking/orders", map[string]string{"Idempotency-Key": "demo-order-1"}},
		{http.MethodGet, "slow-reports/yearly", map[string]string{"Peridot-Request-Id": "demo-slow-1"}},
	} {
		r, err := d.call(ctx, d.entries[0], c.method, c.path, c.header)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s /call/%s\n  %d, outcome %s, request id %s\n  response: %s\n  server timing: %s\n", c.method, c.path, r.status, r.outcome, r.requestID, r.body, r.serverTiming)
	}
	fmt.Fprintf(w, `
Make a call:        curl -i http://%[1]s/call/stock-lookup/items/8
Send an order:      curl -i -X POST -H 'Idempotency-Key: order-2' -d wax http://%[1]s/call/order-taking/orders
Show the fleet:     go run ./peridotctl status%[3]s
Service levels:     go run ./peridotctl burn%[4]s, or http://%[2]s/peridot/burn in a browser
Explain a call:     go run ./peridotctl explain%[4]s demo-slow-1
Change the rules:   go run ./peridotctl show%[5]s --document rules >rules.yaml, edit it, then
                    go run ./peridotctl diff%[5]s --rules rules.yaml
                    go run ./peridotctl apply%[5]s --rules rules.yaml --operator-token %[6]s
Stop:               Ctrl-C
`, d.entries[0], d.address(firstOperatorPort), d.flags(true, true), d.flags(false, true), d.flags(true, false), token)
	return nil
}

// defaultIP is the address in the defaults of --control and --entries.
const defaultIP = "127.0.0.1"

// flags returns the --control and --entries flags that peridotctl needs to reach the demo; none when it listens on defaultIP.
func (d *Demo) flags(control, entries bool) (text string) {
	if d.cfg.IP == defaultIP {
		return ""
	}
	if control {
		text += " --control " + d.address(controlPort)
	}
	if entries {
		text += " --entries " + d.address(firstOperatorPort)
	}
	return text
}
