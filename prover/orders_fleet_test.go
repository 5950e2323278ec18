package prover

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"peridotswitch.example/peridot-fake/faker"
)

const orderService = "order-taking"

// claimFleet is a fleet whose control members store claims; each control member and backend server is behind a proxy.
type claimFleet struct {
	*fleet
	dataDirs       []string
	controlProxies []*proxy
	fakes          []*process
	fakeProxies    []*proxy
	ledgers        []string
}

func newClaimFleet(replicas, entries, fakes int, fakeArgs ...string) *claimFleet {
	f := &claimFleet{fleet: &fleet{}}
	f.load("velario", entries)
	var listens, members []string
	for i := range replicas {
		listens = append(listens, newAddress())
		p := newProxy(listens[i])
		f.controlProxies = append(f.controlProxies, p)
		f.controlAddresses = append(f.controlAddresses, p.address)
		members = append(members, fmt.Sprintf("control-%d=%s@%s", i+1, p.address, f.controlZone(i)))
	}
	for i := range replicas {
		dir := GinkgoT().TempDir()
		f.control = append(f.control, start("peridot-control",
			"--instance-id", fmt.Sprintf("control-%d", i+1), "--availability-zone", f.controlZone(i),
			"--listen", listens[i], "--members", strings.Join(members, ","),
			"--data", dir, "--operator-token", operatorToken,
		))
		f.dataDirs = append(f.dataDirs, dir)
	}
	for _, e := range f.inventory.Entries {
		f.startEntry(e)
	}
	text, err := yaml.Marshal(f.inventory)
	Expect(err).NotTo(HaveOccurred())
	f.apply("first", 0, text, f.rules)
	for i := range fakes {
		f.startOrderFake(i, fakeArgs...)
	}
	for i, e := range f.entries {
		Eventually(func() int { return e.status("/peridot/ready") }, "20s", "50ms").Should(Equal(http.StatusOK))
		if fakes == 0 {
			continue
		}
		Eventually(func(g Gomega) {
			r, err := order(e.address, fmt.Sprintf("warm-%d", i), "wax", nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.header.Get("Peridot-Outcome")).To(Equal("ran"), r.body)
		}, "20s", "50ms").Should(Succeed())
	}
	return f
}

func (f *claimFleet) startOrderFake(i int, args ...string) {
	listen := newAddress()
	p := newProxy(listen)
	ledger := filepath.Join(GinkgoT().TempDir(), "ledger")
	f.fakes = append(f.fakes, f.startFake(orderService, fmt.Sprintf("order-%d", i), "a", append([]string{
		"--listen", listen, "--announce-address", p.address, "--ledger", ledger}, args...)...))
	f.fakeProxies = append(f.fakeProxies, p)
	f.ledgers = append(f.ledgers, ledger)
}

// loseDisk kills a control member, deletes its claims and starts it again.
func (f *claimFleet) loseDisk(i int) {
	f.control[i].kill()
	Expect(os.RemoveAll(filepath.Join(f.dataDirs[i], "claims"))).To(Succeed())
	f.control[i].restart()
}

// runs reads the backend servers' ledgers and returns their lines by idempotency key.
func (f *claimFleet) runs() map[string][]faker.LedgerLine {
	out := make(map[string][]faker.LedgerLine)
	for _, path := range f.ledgers {
		file, err := os.Open(path)
		if os.IsNotExist(err) {
			continue
		}
		Expect(err).NotTo(HaveOccurred())
		s := bufio.NewScanner(file)
		s.Buffer(nil, 1<<20)
		for s.Scan() {
			var line faker.LedgerLine
			Expect(json.Unmarshal(s.Bytes(), &line)).To(Succeed())
			out[line.Key] = append(out[line.Key], line)
		}
		Expect(s.Err()).NotTo(HaveOccurred())
		file.Close()
	}
	return out
}

// order sends one order with the given idempotency key and additional headers.
func order(address, key, body string, header map[string]string) (*response, error) {
	h := map[string]string{"Idempotency-Key": key}
	for k, v := range header {
		h[k] = v
	}
	return call(address, http.MethodPost, "/call/"+orderService+"/orders", body, h)
}
