package prover

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/gomega"
	"github.com/twitchtv/twirp"
	"go.yaml.in/yaml/v3"

	"peridotswitch.example/common/operatorpb"
	"peridotswitch.example/common/parser"
)

const operatorToken = "let-me-in"

// fleet is a running deployment of control members and entries.
type fleet struct {
	inventory *parser.Inventory
	rules     []byte
	control   []*process
	entries   []*entryProcess
	// controlAddresses holds the addresses on which the control members listen, as ip:port.
	controlAddresses []string
}

type entryProcess struct {
	*process
	id, zone, address, peerAddress, operatorAddress string
}

// newFleet starts three control members and n entries for the example deployment and applies its inventory and rules after
// edits have changed them.
func newFleet(example string, n int, edits ...func(*fleet)) *fleet {
	f := &fleet{}
	f.load(example, n)
	f.startControl(3)
	for i := range f.inventory.Entries {
		f.startEntry(f.inventory.Entries[i])
	}
	for _, edit := range edits {
		edit(f)
	}
	text, err := yaml.Marshal(f.inventory)
	Expect(err).NotTo(HaveOccurred())
	f.apply("first", 0, text, f.rules)
	for _, e := range f.entries {
		Eventually(func() int { return e.status("/peridot/ready") }, "20s", "50ms").Should(Equal(http.StatusOK))
	}
	return f
}

// startControl starts n control members spread over the availability zones.
func (f *fleet) startControl(n int) {
	var members []string
	for i := range n {
		f.controlAddresses = append(f.controlAddresses, newAddress())
		members = append(members, fmt.Sprintf("control-%d=%s@%s", i+1, f.controlAddresses[i], f.controlZone(i)))
	}
	for i := range n {
		f.control = append(f.control, start("peridot-control",
			"--instance-id", fmt.Sprintf("control-%d", i+1),
			"--availability-zone", f.controlZone(i),
			"--listen", f.controlAddresses[i],
			"--members", strings.Join(members, ","),
			"--data", tempDir(),
			"--operator-token", operatorToken,
		))
	}
}

// controlZone returns the availability zone of the i-th control member.
func (f *fleet) controlZone(i int) string {
	zones := f.inventory.AvailabilityZones
	return zones[i%len(zones)].Name
}

// load reads the documents of the example and gives its first n entries loopback addresses.
func (f *fleet) load(example string, n int) {
	text, err := os.ReadFile(filepath.Join("..", "examples", example, "inventory.yaml"))
	Expect(err).NotTo(HaveOccurred())
	f.inventory, err = parser.ParseInventory(text)
	Expect(err).NotTo(HaveOccurred())
	f.rules, err = os.ReadFile(filepath.Join("..", "examples", example, "rules.yaml"))
	Expect(err).NotTo(HaveOccurred())
	f.inventory.Entries = f.inventory.Entries[:n]
	for i := range f.inventory.Entries {
		f.inventory.Entries[i].Address = newAddress()
		f.inventory.Entries[i].PeerAddress = newAddress()
	}
}

func (f *fleet) startEntry(e parser.Entry) {
	ep := &entryProcess{id: e.InstanceID, zone: e.AvailabilityZone, address: e.Address, peerAddress: e.PeerAddress, operatorAddress: newAddress()}
	ep.process = start("peridot-entry",
		"--instance-id", e.InstanceID,
		"--availability-zone", e.AvailabilityZone,
		"--listen", e.Address,
		"--peer-listen", e.PeerAddress,
		"--operator-listen", ep.operatorAddress,
		"--control", strings.Join(f.controlAddresses, ","),
		"--operator-token", operatorToken,
	)
	f.entries = append(f.entries, ep)
}

// operatorClient returns an Operator client for the control member at address. Changes need a context made by withOperatorToken.
func operatorClient(address string) operatorpb.Operator {
	return operatorpb.NewOperatorProtobufClient("http://"+address, http.DefaultClient)
}

// withOperatorToken adds the operator token to ctx.
func withOperatorToken(ctx context.Context) context.Context {
	h := make(http.Header)
	h.Set("Authorization", "Bearer "+operatorToken)
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, h)
	Expect(err).NotTo(HaveOccurred())
	return ctx
}

// apply sends a change until it is accepted.
func (f *fleet) apply(id string, base uint64, inventory, rules []byte) {
	Eventually(func(g Gomega) {
		ctx, cancel := context.WithTimeout(withOperatorToken(context.Background()), 5*time.Second)
		defer cancel()
		r, err := operatorClient(f.controlAddresses[0]).Apply(ctx, &operatorpb.ApplyRequest{ChangeId: id, BaseRevision: base, Inventory: inventory, Rules: rules, Who: "prover"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Accepted).To(BeTrue(), r.Refusal)
	}, "20s", "100ms").Should(Succeed())
}

// startFake starts a backend server that announces itself to all entries.
func (f *fleet) startFake(service, id, zone string, args ...string) *process {
	var entries []string
	for _, e := range f.entries {
		entries = append(entries, e.address)
	}
	return start("peridot-fake", append([]string{
		"--service", service,
		"--instance-id", id,
		"--availability-zone", zone,
		"--listen", newAddress(),
		"--entries", strings.Join(entries, ","),
	}, args...)...)
}

func (e *entryProcess) status(path string) int {
	res, err := http.Get("http://" + e.address + path)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// response is the response to a call, as its caller received it.
type response struct {
	status int
	header http.Header
	body   string
}

// callerClient opens a new connection for each call, so that a connection broken by one spec isn't reused by another.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}

// call sends a call to the entry at address.
func call(address, method, path, body string, header map[string]string) (*response, error) {
	return callContext(context.Background(), address, method, path, body, header)
}

func callContext(ctx context.Context, address, method, path, body string, header map[string]string) (*response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := callerClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	return &response{status: res.StatusCode, header: res.Header, body: string(text)}, nil
}

// entryAddresses returns the addresses of entries that the entry at address advertises for a service.
func entryAddresses(address, service string) ([]string, error) {
	r, err := call(address, http.MethodGet, "/peridot/addresses?service="+service, "", nil)
	if err != nil {
		return nil, err
	}
	if r.status != http.StatusOK {
		return nil, fmt.Errorf("get addresses of service %q from %s: status %d: %s", service, address, r.status, r.body)
	}
	var list struct {
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
	}
	if err = json.Unmarshal([]byte(r.body), &list); err != nil {
		return nil, err
	}
	var out []string
	for _, a := range list.Addresses {
		out = append(out, a.Address)
	}
	return out, nil
}
