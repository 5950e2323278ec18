package parser_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"peridotswitch.example/common/parser"
)

func TestParserSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "parser")
}

const validInventory = `availability-zones:
  - {name: a, region: r}
entries:
  - {instance-id: e1, address: "10.0.0.1:1", peer-address: "10.0.0.1:2", availability-zone: a}
services:
  - {name: s, objective: {latency: 50ms, share: 0.99}, slots: 6, connections: 250}
`

var _ = Describe("an invalid document", func() {
	for name, c := range map[string]struct {
		inventory, rules string
		want             []string
	}{
		"malformed YAML":                  {inventory: "services: [", want: []string{"line 1: "}},
		"two documents":                   {inventory: "services: []\n---\nservices: []\n", want: []string{"more than one YAML document"}},
		"oversized":                       {inventory: strings.Repeat("#", parser.MaxDocumentBytes+1), want: []string{"want up to 1048576"}},
		"unknown key":                     {inventory: "services:\n  - {nme: s}\n", want: []string{"line 2: field nme not found"}},
		"invalid unit":                    {inventory: "services:\n  - name: s\n    objective: {latency: 50 miles}\n", want: []string{`duration "50 miles": want a number with a unit`}},
		"duplicate service":               {inventory: validInventory + "  - {name: s, objective: {latency: 50ms, share: 0.99}, slots: 6, connections: 250}\n", want: []string{`line 7: service "s" stands twice`}},
		"duplicate address":               {inventory: strings.Replace(validInventory, "services:", "  - {instance-id: e2, address: \"10.0.0.1:1\", peer-address: \"10.0.0.2:2\", availability-zone: b}\nservices:", 1), want: []string{`line 5: entry "e2" names availability zone "b"`, `line 5: address "10.0.0.1:1" stands twice`}},
		"service name with a slash":       {inventory: strings.Replace(validInventory, "name: s", "name: s/t", 1), want: []string{`line 6: service "s/t": want a name that needs no escape`}},
		"numbers out of bounds":           {inventory: strings.Replace(validInventory, "slots: 6, connections: 250", "slots: 0, connections: -1, probe-budget: {per-second: .inf}", 1), want: []string{"slots is 0", "connections is -1", "per-second is +Inf"}},
		"NaN share":                       {inventory: strings.Replace(validInventory, "0.99", ".nan", 1), want: []string{"objective share is NaN"}},
		"unknown service in a rule":       {rules: "rules:\n  - service: s\n  - service: t\n", want: []string{`line 3: rule "t" names service "t"`}},
		"unreachable rule":                {rules: "rules:\n  - {service: s, path: /a}\n  - {service: s, method: GET, path: /a/b}\n", want: []string{`line 3: rule "s GET /a/b" can never match: rule "s /a" before it`}},
		"deadline below the objective":    {rules: "rules:\n  - {service: s, deadline: 49ms}\n", want: []string{"line 2: ", "deadline 49ms is shorter than the objective latency 50ms"}},
		"hedging of an at-most-once call": {rules: "defaults: {repeat: at-most-once}\nrules:\n  - {service: s, hedge-share: 0.1}\n", want: []string{"line 3: ", "at-most-once calls can't hedge"}},
		"hedging with a single attempt":   {rules: "rules:\n  - {service: s, repeat: idempotent, attempts: 1, hedge-share: 0.1}\n", want: []string{"a hedge is a second attempt"}},
		"path that is not normalized":     {rules: "rules:\n  - {service: s, path: /a/../b}\n", want: []string{"no empty, . or .. segments"}},
		"invalid repeat value":            {rules: "rules:\n  - {service: s, repeat: maybe}\n", want: []string{`line 2: rule "s": repeat is "maybe"`}},
		"defaults for a single service":   {rules: "defaults: {service: s}\n", want: []string{"line 1: defaults are for every call"}},
	} {
		It("is rejected with the line of each problem: "+name, func() {
			if c.inventory == "" {
				c.inventory = validInventory
			}
			_, err := parser.ParseConfiguration(1, []byte(c.inventory), []byte(c.rules))
			var de *parser.DocumentError
			Expect(err).To(BeAssignableToTypeOf(de))
			for _, want := range c.want {
				Expect(err).To(MatchError(ContainSubstring(want)))
			}
		})
	}
})

var _ = Describe("a rule", func() {
	rules, err := parser.ParseRules([]byte("rules:\n  - {path: /orders, deadline: 1s}\n  - {path: /, deadline: 3s}\n"), nil)
	for path, want := range map[string]string{
		"/orders": "1s", "/orders/7": "1s", "//orders": "1s", "/x/../orders": "1s", "/./orders/": "1s", "/ordersheet": "3s", "": "3s", "/orders/..": "3s",
	} {
		It("matches whole segments of the normalized path: "+path, func() {
			Expect(err).NotTo(HaveOccurred())
			Expect(rules.Match("s", "GET", path).Deadline.Std().String()).To(Equal(want))
		})
	}
})

const register = `asset,instance-id,role,availability-zone,region,ip,service,slots,connections,objective-latency,objective-share,probes-per-second
1,e1,entry,a,r,10.0.0.1,,,,,,
2,p9,printer,a,r,10.0.0.9,,,,,,
3,b1,backend-server,a,r,10.0.0.2,s,6,250,50ms,0.99,2
4,b2,backend-server,b,r,10.0.0.3,s,6,,,,
`

var _ = Describe("an asset register", func() {
	It("is converted to an inventory", func() {
		inv, skipped, err := parser.ParseRegister(strings.NewReader(register), parser.RegisterConfig{EntryPort: 7100, PeerPort: 7200})
		Expect(err).NotTo(HaveOccurred())
		Expect(skipped).To(Equal(1), "only the printer's row is skipped")
		Expect(inv.Entries).To(Equal([]parser.Entry{{InstanceID: "e1", Address: "10.0.0.1:7100", PeerAddress: "10.0.0.1:7200", AvailabilityZone: "a"}}))
		Expect(inv.AvailabilityZones).To(HaveLen(2))
		Expect(inv.Service("s").Connections).To(Equal(250))
	})
	for name, c := range map[string]struct{ old, with, want string }{
		"missing role column": {"role", "rank", `line 1: no column "role"`},
		"too few fields":      {",,,,,,\n2", "\n2", "line 2: wrong number of fields"},
		"host name as ip":     {"10.0.0.1", "entry-1.example", `line 2: ip is "entry-1.example", want an IP number`},
		"duplicate instance":  {"b2", "b1", `line 5: duplicate instance "b1"`},
		"contradicting rows":  {"s,6,,", "s,8,,", `line 5: slots of service "s" is 8, but 6 on an earlier line`},
		"missing value":       {"0.99", "", `service "s": objective share is 0`},
		"zone in two regions": {"b,r,", "a,q,", `line 5: availability zone "a" is in region "q", but in "r"`},
	} {
		It("is rejected: "+name, func() {
			_, _, err := parser.ParseRegister(strings.NewReader(strings.Replace(register, c.old, c.with, 1)), parser.RegisterConfig{})
			Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
})

func FuzzParseConfiguration(f *testing.F) {
	f.Add([]byte(validInventory), []byte("rules:\n  - {service: s, path: /a, hedge-share: 0.1, repeat: idempotent}\n"))
	f.Add([]byte("services: &a [*a]"), []byte("defaults: {deadline: -1s}"))
	f.Add([]byte(validInventory), []byte("defaults: {deadline: 0s}"))
	f.Fuzz(func(t *testing.T, inventory, rules []byte) {
		cfg, err := parser.ParseConfiguration(1, inventory, rules)
		if err != nil {
			return
		}
		if cfg.Rules.Match("s", "GET", "/a").Deadline <= 0 {
			t.Fatal("Match returned a rule without a deadline")
		}
		text, err := yaml.Marshal(cfg.Inventory)
		if err != nil {
			t.Fatal(err)
		}
		if _, err = parser.ParseInventory(text); err != nil {
			t.Fatalf("an accepted inventory is rejected after encoding: %v\n%s", err, text)
		}
	})
}

func FuzzParseRegister(f *testing.F) {
	f.Add([]byte(register))
	f.Add([]byte("instance-id,role,availability-zone\n\"a\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		inv, _, err := parser.ParseRegister(bytes.NewReader(text), parser.RegisterConfig{EntryPort: 1, PeerPort: 2})
		if err != nil {
			return
		}
		out, err := yaml.Marshal(inv)
		if err != nil {
			t.Fatal(err)
		}
		if _, err = parser.ParseInventory(out); err != nil {
			t.Fatalf("the inventory from the register is rejected: %v\n%s", err, out)
		}
	})
}
