package prover

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotswitch.example/common/operatorpb"
)

// runPeridotctl runs peridotctl and waits until it exits.
func runPeridotctl(args ...string) (stdout, stderr string, code int) {
	cmd := exec.Command(filepath.Join(binDir, "peridotctl"), args...)
	var outBuf, errBuf bytes.Buffer
	cmd.Stdout, cmd.Stderr = &outBuf, &errBuf
	_ = cmd.Run()
	return outBuf.String(), errBuf.String(), cmd.ProcessState.ExitCode()
}

func writeTempFile(name, text string) string {
	file := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return file
}

var _ = Describe("an operator", Label("product"), func() {
	It("runs the demo, and inspects and changes it with peridotctl", func() {
		demo := start("peridotctl", "demo", "--ip", loopback)
		Eventually(demo.output.String, "40s", "50ms").Should(ContainSubstring("Stop:"))
		control, entries := loopback+":7400", loopback+":7300"

		r, err := call(loopback+":7101", http.MethodGet, "/call/slow-reports/x", "", map[string]string{"Peridot-Request-Id": "mine"})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(http.StatusOK), r.body)
		Eventually(func() string { out, _, _ := runPeridotctl("explain", "mine", "--entries", entries); return out }, "10s", "50ms").Should(ContainSubstring("wait-1"))
		_, stderr, code := runPeridotctl("explain", "nobody", "--entries", entries)
		Expect(code).To(Equal(5), stderr)
		out, _, code := runPeridotctl("burn", "--entries", entries, "--output", "json", "--page", filepath.Join(GinkgoT().TempDir(), "burn.html"))
		Expect(code).To(BeZero())
		Expect(json.Valid([]byte(out))).To(BeTrue())
		out, stderr, code = runPeridotctl("status", "--control", control, "--entries", entries)
		Expect(code).To(BeZero(), stderr)
		Expect(out).To(And(ContainSubstring("demo-control-1"), ContainSubstring("demo-entry-2"), ContainSubstring("order-taking-1"), MatchRegexp(`slow-reports-\d .* \d+, [\d.]+m?s ago`)), "with a load report")

		rules, _, _ := runPeridotctl("show", "--control", control, "--document", "rules")
		same, changed := writeTempFile("rules.yaml", rules), writeTempFile("rules.yaml", rules+"# changed\n")
		_, _, code = runPeridotctl("diff", "--control", control, "--rules", same)
		Expect(code).To(BeZero())
		out, _, code = runPeridotctl("diff", "--control", control, "--rules", changed)
		Expect(code).To(Equal(6))
		Expect(out).To(ContainSubstring("+# changed"))

		apply := func(token, id, base string) int {
			_, stderr, code = runPeridotctl("apply", "--control", control, "--rules", changed, "--operator-token", token, "--change-id", id, "--base-revision", base)
			return code
		}
		Expect(apply("wrong", "change-1", "1")).To(Equal(1))
		Expect(stderr).To(ContainSubstring("operator token"))
		_, err = operatorClient(control).Apply(context.Background(), &operatorpb.ApplyRequest{ChangeId: "change-1", BaseRevision: 1, Rules: []byte(rules)})
		Expect(err).To(MatchError(ContainSubstring("operator token")))
		out, _, _ = runPeridotctl("show", "--control", control)
		Expect(out).To(ContainSubstring("# revision 1,"), "no token or a wrong one changes nothing")
		Expect(apply("demo-token", "change-1", "1")).To(BeZero(), stderr)
		Expect(apply("demo-token", "change-1", "1")).To(BeZero(), "a resent change gets the first result")
		Expect(apply("demo-token", "change-2", "1")).To(Equal(3), "made from an old revision")
		Expect(stderr).To(ContainSubstring(`change "change-1" won`))
		out, _, _ = runPeridotctl("history", "--control", control)
		Expect(out).To(ContainSubstring("change-1"))

		Eventually(func() (string, error) { return fetchText("http://" + control + "/metrics") }, "10s", "100ms").Should(And(
			ContainSubstring("peridot_control_revision 2"), ContainSubstring(`peridot_control_changes{result="accepted"} 3`)))

		demo.signal(syscall.SIGINT)
		Eventually(demo.done, "40s").Should(BeClosed())
		Expect(demo.exitCode()).To(BeZero(), demo.output.String())
	})

	It("applies the first change while control elects its leader", func() {
		address := newAddress()
		start("peridot-control", "--instance-id", "c1", "--availability-zone", "a", "--listen", address, "--data", GinkgoT().TempDir(), "--operator-token", operatorToken, "--election", "3s")
		Eventually(func() error { _, err := call(address, http.MethodGet, "/peridot/health", "", nil); return err }, "20s", "50ms").Should(Succeed())
		_, stderr, code := runPeridotctl("apply", "--control", address, "--rules", writeTempFile("rules.yaml", "rules: []\n"), "--operator-token", operatorToken, "--base-revision", "0", "--wait", "0s")
		Expect(code).To(BeZero(), stderr)
	})

	for name, c := range map[string]struct {
		args []string
		want string
	}{
		"names an invalid flag, its environment variable and the allowed values": {[]string{"status", "--control", "localhost:1"}, `--control (PERIDOT_CONTROL) is "localhost:1"`},
		"names an unknown flag":                           {[]string{"status", "--contrl", "x"}, "contrl"},
		"names which flags a command needs":               {[]string{"diff"}, "give --inventory FILE, --rules FILE or both"},
		"names the line of an invalid rule":               {[]string{"validate", "--rules", "RULES"}, "line 2: "},
		"names the line of an invalid asset register row": {[]string{"inventory", "draw", "--from", "REGISTER"}, `line 2: ip is "x", want an IP number`},
	} {
		It("gets a clear error that "+name, func() {
			for i, a := range c.args {
				switch a {
				case "RULES":
					c.args[i] = writeTempFile("rules.yaml", "rules:\n  - servce: x\n")
				case "REGISTER":
					c.args[i] = writeTempFile("register.csv", "instance-id,role,availability-zone,ip\ne1,entry,a,x\n")
				}
			}
			_, stderr, code := runPeridotctl(c.args...)
			Expect(code).To(Equal(2), stderr)
			Expect(stderr).To(ContainSubstring(c.want))
		})
	}
})
