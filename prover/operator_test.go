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

// ctl runs peridotctl to its end.
func ctl(args ...string) (stdout, stderr string, code int) {
	cmd := exec.Command(filepath.Join(binDir, "peridotctl"), args...)
	var out, notes bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &notes
	_ = cmd.Run()
	return out.String(), notes.String(), cmd.ProcessState.ExitCode()
}

func write(name, text string) string {
	file := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return file
}

var _ = Describe("an operator", Label("product"), func() {
	It("tries the demo from start to finish", func() {
		demo := start("peridotctl", "demo", "--ip", loopback)
		Eventually(demo.output.String, "40s", "50ms").Should(ContainSubstring("Stop:"))
		control, entries := loopback+":7400", loopback+":7300"

		r, err := call(loopback+":7101", http.MethodGet, "/call/slow-reports/x", "", map[string]string{"Peridot-Request-Id": "mine"})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(http.StatusOK), r.body)
		Eventually(func() string { out, _, _ := ctl("explain", "mine", "--entries", entries); return out }, "10s", "50ms").Should(ContainSubstring("wait-1"))
		_, notes, code := ctl("explain", "nobody", "--entries", entries)
		Expect(code).To(Equal(5), notes)
		out, _, code := ctl("burn", "--entries", entries, "--output", "json", "--page", filepath.Join(GinkgoT().TempDir(), "burn.html"))
		Expect(code).To(BeZero())
		Expect(json.Valid([]byte(out))).To(BeTrue())
		out, notes, code = ctl("status", "--control", control, "--entries", entries)
		Expect(code).To(BeZero(), notes)
		Expect(out).To(And(ContainSubstring("demo-control-1"), ContainSubstring("demo-entry-2"), ContainSubstring("order-taking-1"), MatchRegexp(`slow-reports-\d .* \d+, [\d.]+m?s ago`)), "with a load report")

		rules, _, _ := ctl("show", "--control", control, "--document", "rules")
		same, changed := write("rules.yaml", rules), write("rules.yaml", rules+"# changed\n")
		_, _, code = ctl("diff", "--control", control, "--rules", same)
		Expect(code).To(BeZero())
		out, _, code = ctl("diff", "--control", control, "--rules", changed)
		Expect(code).To(Equal(6))
		Expect(out).To(ContainSubstring("+# changed"))

		apply := func(token, id, base string) int {
			_, notes, code = ctl("apply", "--control", control, "--rules", changed, "--operator-token", token, "--change-id", id, "--base-revision", base)
			return code
		}
		Expect(apply("wrong", "change-1", "1")).To(Equal(1))
		Expect(notes).To(ContainSubstring("operator token"))
		_, err = operatorClient(control).Apply(context.Background(), &operatorpb.ApplyRequest{ChangeId: "change-1", BaseRevision: 1, Rules: []byte(rules)})
		Expect(err).To(MatchError(ContainSubstring("operator token")))
		out, _, _ = ctl("show", "--control", control)
		Expect(out).To(ContainSubstring("# revision 1,"), "no token or a wrong one changes nothing")
		Expect(apply("demo-token", "change-1", "1")).To(BeZero(), notes)
		Expect(apply("demo-token", "change-1", "1")).To(BeZero(), "a resend gets the first answer")
		Expect(apply("demo-token", "change-2", "1")).To(Equal(3), "made from an old revision")
		Expect(notes).To(ContainSubstring(`change "change-1" won`))
		out, _, _ = ctl("history", "--control", control)
		Expect(out).To(ContainSubstring("change-1"))

		Eventually(func() (string, error) { return httpText("http://" + control + "/metrics") }, "10s", "100ms").Should(And(
			ContainSubstring("peridot_control_revision 2"), ContainSubstring(`peridot_control_changes{result="accepted"} 3`)))

		demo.signal(syscall.SIGINT)
		Eventually(demo.done, "40s").Should(BeClosed())
		Expect(demo.exitCode()).To(BeZero(), demo.output.String())
	})

	It("applies the first change while control elects its leader", func() {
		address := newAddress()
		start("peridot-control", "--instance-id", "c1", "--availability-zone", "a", "--listen", address, "--data", GinkgoT().TempDir(), "--operator-token", operatorToken, "--election", "3s")
		Eventually(func() error { _, err := call(address, http.MethodGet, "/peridot/health", "", nil); return err }, "20s", "50ms").Should(Succeed())
		_, notes, code := ctl("apply", "--control", address, "--rules", write("rules.yaml", "rules: []\n"), "--operator-token", operatorToken, "--base-revision", "0", "--wait", "0s")
		Expect(code).To(BeZero(), notes)
	})

	for name, c := range map[string]struct {
		args []string
		want string
	}{
		"names a bad flag, its variable and what is allowed": {[]string{"status", "--control", "localhost:1"}, `--control (PERIDOT_CONTROL) is "localhost:1"`},
		"names an unknown flag":                              {[]string{"status", "--contrl", "x"}, "contrl"},
		"names what a command lacks":                         {[]string{"diff"}, "give --inventory FILE, --rules FILE or both"},
		"names the line of a bad rule":                       {[]string{"validate", "--rules", "RULES"}, "line 2: "},
		"names the line of a bad register row":               {[]string{"inventory", "draw", "--from", "REGISTER"}, `line 2: ip is "x", want an IP number`},
	} {
		It("gets a clear error that "+name, func() {
			for i, a := range c.args {
				switch a {
				case "RULES":
					c.args[i] = write("rules.yaml", "rules:\n  - servce: x\n")
				case "REGISTER":
					c.args[i] = write("register.csv", "instance-id,role,availability-zone,ip\ne1,entry,a,x\n")
				}
			}
			_, notes, code := ctl(c.args...)
			Expect(code).To(Equal(2), notes)
			Expect(notes).To(ContainSubstring(c.want))
		})
	}
})
