package prover

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// platformFleet is a deployment on a simulation of the users' platform: it writes settings files, puts configurations and sends the
// heartbeats of backend servers as the platform's documentation describes.
type platformFleet struct {
	dir string
	// plain is set if the programs were built without the race detector.
	plain bool
	// memory is the memory of each process, in megabytes; 0 for that of its role.
	memory int
	// zones are the availability zones, over which the processes of each role are spread; only "a" when empty.
	zones []string
	// proxied puts a proxy in front of each port of the control members.
	proxied bool
	control []*platformProcess
	entries []*platformProcess
	mu      sync.Mutex
	servers []*platformServer
	// ended is set at the end of the spec, after which no server starts.
	ended bool
}

type platformProcess struct {
	*process
	ip, settings, data string
	// zone is "a" when empty. bind is the address on which the process listens behind proxies; ip when empty.
	zone, bind string
	proxies    []*proxy
}

func (p *platformProcess) url(port int, path string) string {
	return fmt.Sprintf("http://%s:%d%s", p.ip, port, path)
}

// Ports that are the same on all instances, each of which has an IP address of its own.
const (
	frontPort     = 8641
	readyPort     = 8640
	controlPort   = 8649
	directoryPort = 8644
)

var lastInstance atomic.Int32

// newIP returns a loopback address that no other instance uses.
func newIP() string {
	n := lastInstance.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 1+n/250, 1+n%250)
}

func newPlatformFleet(members, entries int) *platformFleet {
	return startFleet(&platformFleet{dir: tempDir()}, "platform", members, entries)
}

// newPlainFleet starts programs that were built without the race detector, which multiplies their memory.
func newPlainFleet(members, entries int) *platformFleet {
	const program = "platform-plain"
	cmd := exec.Command("go", "build", "-o", filepath.Join(binDir, program), ".")
	cmd.Dir = filepath.Join("..", "platform")
	out, err := cmd.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	return startFleet(&platformFleet{dir: tempDir(), plain: true}, program, members, entries)
}

func startFleet(f *platformFleet, program string, members, entries int) *platformFleet {
	deferCleanup(f.stopServers)
	for i := range members {
		p := &platformProcess{ip: newIP(), zone: f.zone(i)}
		if f.proxied {
			p.openProxies(7620, controlPort, directoryPort)
		}
		f.control = append(f.control, p)
	}
	for i, p := range f.control {
		p.data = filepath.Join(f.dir, fmt.Sprintf("data-%d", i))
		f.writeSettings(p, fmt.Sprintf("core-%d", i), true)
		p.process = start(program, "control", "--settings", p.settings)
	}
	for i := range entries {
		p := &platformProcess{ip: newIP(), zone: f.zone(i)}
		f.writeSettings(p, fmt.Sprintf("front-%d", i), true)
		p.process = start(program, "entry", "--settings", p.settings)
		f.entries = append(f.entries, p)
	}
	return f
}

// zone returns the availability zone of the process with the given number in its role.
func (f *platformFleet) zone(i int) string {
	if len(f.zones) == 0 {
		return "a"
	}
	return f.zones[i%len(f.zones)]
}

// openProxies makes the process reachable only through proxies. It is called before the settings are written.
func (p *platformProcess) openProxies(ports ...int) {
	p.bind = newIP()
	for _, port := range ports {
		proxy, stop := openProxyAt(fmt.Sprintf("%s:%d", p.ip, port), fmt.Sprintf("%s:%d", p.bind, port))
		deferCleanup(stop)
		p.proxies = append(p.proxies, proxy)
	}
}

// addMember starts an empty control member at a new address, which asks the others to join.
func (f *platformFleet) addMember(id string) *platformProcess {
	p := &platformProcess{ip: newIP(), data: filepath.Join(f.dir, "data-"+id)}
	f.writeSettings(p, id, false)
	p.process = start("platform", "control", "--settings", p.settings)
	return p
}

// loseDisk kills the control member with the given number and restarts it with an empty disk.
func (f *platformFleet) loseDisk(i int) {
	p := f.control[i]
	p.kill()
	Expect(os.RemoveAll(p.data)).To(Succeed())
	f.writeSettings(p, fmt.Sprintf("core-%d", i), false)
	p.start()
}

// memoryMB returns the memory that a process may use, in megabytes. The race detector needs more.
func (f *platformFleet) memoryMB(p *platformProcess) int {
	if f.memory > 0 {
		return f.memory
	}
	if f.plain && p.data == "" {
		return entryMemory >> 20
	}
	return controlMemory >> 20
}

// writeSettings writes the settings file of a process.
func (f *platformFleet) writeSettings(p *platformProcess, id string, found bool) {
	var seeds []string
	for _, c := range f.control[:min(len(f.control), 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	p.settings = filepath.Join(f.dir, id+".yaml")
	bind := cmp.Or(p.bind, p.ip)
	text := fmt.Sprintf("instance-id: %s\navailability-zone: %s\nip: %s\nbind: %s\nseeds: %s\npeer-ports: \"7620,7635\"\nfound: %t\nmemory-mb: %d\ngrace-s: 6\nretry-slack: 60\n",
		id, cmp.Or(p.zone, "a"), p.ip, bind, strings.Join(seeds, ","), found, f.memoryMB(p))
	if p.data != "" {
		text += fmt.Sprintf("data: %s\ncontrol: %s:%d\ndirectory: %s:%d\n", p.data, bind, controlPort, bind, directoryPort)
	} else {
		text += fmt.Sprintf("front: %s:%d\nready: %s:%d\ndirectory: %s:%d\n", p.ip, frontPort, p.ip, readyPort, p.ip, directoryPort)
	}
	Expect(os.WriteFile(p.settings, []byte(text), 0o600)).To(Succeed())
}

// putConfig sends a configuration to the members in turn until one answers with a status other than 503, which it returns.
func (f *platformFleet) putConfig(text string) (status int) {
	Eventually(func() int {
		for _, c := range f.control {
			status = postJSON(c.url(controlPort, "/config/put"), text)
			if status != 0 && status != http.StatusServiceUnavailable {
				return status
			}
		}
		return 0
	}, "20s", "50ms").ShouldNot(BeZero())
	return status
}

// configJSON returns a configuration that routes the paths below /s/ and /o/ of shop.example to service s.
func configJSON(version int) string {
	return fmt.Sprintf(`{"version":"%08x","resources":[
{"type":"routes","metadata":{"name":"r1"},"spec":{"host":"shop.example","path_prefix":"/s/","kind":"safe","timeout_ms":2000,"slo_ms":300,"priority":2,"service":"s","attempts":2}},
{"type":"routes","metadata":{"name":"r2"},"spec":{"host":"shop.example","path_prefix":"/o/","kind":"unsafe","timeout_ms":2000,"slo_ms":300,"priority":1,"service":"s","attempts":2}},
{"type":"services","metadata":{"name":"s"},"spec":{"health_path":"/health","max_conns":100}}]}`, version)
}

var platformClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// postJSON returns the status of the response, or 0 without one.
func postJSON(url, body string) int {
	res, err := platformClient.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func get(url string) (status int, body string) {
	res, err := platformClient.Get(url)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(text)
}

// send sends one call to an entry and returns the status and header of the response, or 0 when the connection broke.
func (p *platformProcess) send(method, path, id string) (status int, header http.Header) {
	req, err := http.NewRequest(method, p.url(frontPort, path), nil)
	Expect(err).NotTo(HaveOccurred())
	req.Host = "shop.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")
	res, err := platformClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	if _, err = io.Copy(io.Discard, res.Body); err != nil {
		return 0, nil
	}
	return res.StatusCode, res.Header
}

// logLine returns the line that a process has logged about a request; it searches by request ID, as the operators' manual describes.
func logLine(p *platformProcess, id string) string {
	for line := range strings.Lines(p.output.String()) {
		if strings.Contains(line, fmt.Sprintf("%q:%q", "request-id", id)) {
			return line
		}
	}
	return ""
}

// waitServing waits until every entry is ready and a call through each succeeds.
func (f *platformFleet) waitServing() {
	GinkgoHelper()
	for _, e := range f.entries {
		Eventually(func() int { status, _ := get(e.url(readyPort, "/ready")); return status }, "20s", "50ms").Should(Equal(http.StatusOK))
		Eventually(func() int { status, _ := e.send(http.MethodGet, "/s/x", "warm"); return status }, "20s", "50ms").Should(Equal(http.StatusOK))
	}
}

// waitServersKnown waits until every entry has all servers on its list.
func (f *platformFleet) waitServersKnown() {
	GinkgoHelper()
	for _, e := range f.entries {
		for _, s := range f.servers {
			Eventually(func() bool { return strings.Contains(e.output.String(), fmt.Sprintf("%q:%q", "server", s.id)) }, "20s", "20ms").Should(BeTrue())
		}
	}
}
