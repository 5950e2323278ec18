// Program standin starts a small deployment of peridotswitch as separate processes and plays the platform around it: backend servers,
// operator and clients that follow the platform's pages.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines.
const (
	frontPort   = 8641
	readyPort   = 8640
	controlPort = 8649
	directory   = 8644
	peerPort    = 7620
	metricsPort = 7630
)

// Bounds of the deployment, as in the settings that DEPLOY.md shows.
const (
	configBound  = 2 * time.Second
	drainBound   = 2 * time.Second
	stableWindow = 3 * time.Second
	graceS       = 6
	heartbeat    = 1500 * time.Millisecond
)

// record is the log of one run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one process of the system on a loopback address of its own.
type machine struct {
	name, ip, bind, role, settings, data string
	cmd                                  *exec.Cmd
	output                               *os.File
	done                                 chan struct{}
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// fleet is a deployment.
type fleet struct {
	rec      *record
	dir      string
	program  string
	controls []*machine
	entries  []*machine
	nextIP   int
	heldIPs  []net.Listener
	mu       sync.Mutex
	backends []*backend
	proxies  []*proxy
	ending   bool
}

func newFleet(rec *record) *fleet {
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	root := os.Getenv("ROOT")
	return &fleet{rec: rec, dir: dir, program: filepath.Join(root, "target", "platform"), nextIP: os.Getpid() % 4000 * 16}
}

// newIP returns a loopback address on which all ports of a machine are free.
func (f *fleet) newIP() string {
	for {
		f.nextIP++
		ip := fmt.Sprintf("127.%d.%d.%d", 20+f.nextIP/62500%200, 1+f.nextIP/250%250, 1+f.nextIP%250)
		free := true
		for _, port := range []int{frontPort, readyPort, controlPort, directory, peerPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return ip
		}
	}
}

// start starts the first machines: all at the same time, with empty disks.
func (f *fleet) start(controls, entries int, behindProxy bool) {
	f.place(controls, entries, behindProxy)
	for _, m := range f.machines() {
		f.startMachine(m, true)
	}
}

// place chooses the addresses of the first machines, which are not started.
func (f *fleet) place(controls, entries int, behindProxy bool) {
	for i := range controls {
		m := &machine{name: fmt.Sprintf("core-%d", i+1), ip: f.newIP(), role: "control"}
		m.data = filepath.Join(f.dir, m.name+"-data")
		must(os.Mkdir(m.data, 0o700))
		if behindProxy {
			m.bind = f.newIP()
			f.proxies = append(f.proxies, newProxy(f.rec, m.addr(peerPort), fmt.Sprintf("%s:%d", m.bind, peerPort)))
		}
		f.controls = append(f.controls, m)
	}
	for i := range entries {
		f.entries = append(f.entries, &machine{name: fmt.Sprintf("front-%d", i+1), ip: f.newIP(), role: "entry"})
	}
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine{}, f.controls...), f.entries...)
}

// writeSettings writes the settings of a machine with the fields of deploy/settings.yaml.
func (f *fleet) writeSettings(m *machine, bootstrap bool) {
	var seeds []string
	for _, c := range f.controls[:min(3, len(f.controls))] {
		seeds = append(seeds, c.addr(controlPort))
	}
	text := fmt.Sprintf("instance-id: %q\navailability-zone: \"a\"\nip: %q\nseeds: %s\npeer-ports: \"%d,%d\"\nfound: %t\nmemory-mb: 284\ngrace-s: %d\nretry-slack: 60\nprobes-per-server: 60\n",
		m.name, m.ip, strings.Join(seeds, ","), peerPort, peerPort+15, bootstrap, graceS)
	if m.bind != "" {
		text += fmt.Sprintf("bind: %q\n", m.bind)
	}
	if m.role == "control" {
		text += fmt.Sprintf("data: %s\ncontrol: %s\ndirectory: %s\n", m.data, m.addr(controlPort), m.addr(directory))
	} else {
		text += fmt.Sprintf("front: %s\nready: %s\ndirectory: %s\n", m.addr(frontPort), m.addr(readyPort), m.addr(directory))
	}
	m.settings = filepath.Join(f.dir, m.name+".yaml")
	must(os.WriteFile(m.settings, []byte(text), 0o600))
}

// startMachine starts the process of a machine.
func (f *fleet) startMachine(m *machine, bootstrap bool) {
	f.writeSettings(m, bootstrap)
	var err error
	m.output, err = os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	m.cmd = exec.Command(f.program, m.role)
	m.cmd.Env = append(os.Environ(), "PERIDOTSWITCH_NODE_FILE="+m.settings)
	m.cmd.Stdout, m.cmd.Stderr = m.output, m.output
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(m.cmd.Start())
	m.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.ending {
			f.rec.log("%s: process ended: %v", m.name, err)
		}
		close(done)
	}(m.cmd, m.done)
	f.rec.log("%s started at %s, bootstrap %t", m.name, m.ip, bootstrap)
}

func (m *machine) signal(s syscall.Signal) { _ = m.cmd.Process.Signal(s) }

// close ends everything that the fleet started.
func (f *fleet) close() {
	f.mu.Lock()
	f.ending = true
	backends := f.backends
	f.mu.Unlock()
	for _, b := range backends {
		b.shut()
	}
	for _, m := range f.machines() {
		if m.cmd != nil {
			m.signal(syscall.SIGCONT)
			m.signal(syscall.SIGKILL)
			<-m.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

var operatorClient = &http.Client{
	Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// post returns the status, 0 without an answer.
func post(url string, body []byte) (status int, reply []byte) {
	res, err := operatorClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	reply, err = io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, reply
}

func get(url string) (status int, reply []byte) {
	res, err := operatorClient.Get(url)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	reply, err = io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, reply
}

// route is a route of a config.
type route struct {
	prefix, kind, service string
	timeoutMS             int
}

// configText returns a config with the routes of host shop.example.
func configText(version int, routes []route) []byte {
	var resources []any
	services := map[string]bool{}
	for i, r := range routes {
		resources = append(resources, map[string]any{"type": "routes", "metadata": map[string]any{"name": fmt.Sprintf("r%d", i)}, "spec": map[string]any{
			"host": "shop.example", "path_prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeoutMS, "slo_ms": 400, "priority": 1, "service": r.service, "attempts": 2,
		}})
		services[r.service] = true
	}
	for s := range services {
		resources = append(resources, map[string]any{"type": "services", "metadata": map[string]any{"name": s}, "spec": map[string]any{
			"health_path": "/health", "max_conns": 220, "protocol": "h1", "tls": false,
		}})
	}
	resources = append(resources, map[string]any{"type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}})
	text, err := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": resources})
	must(err)
	return text
}

// putConfig sends a config to the members in turn until one acknowledges it; it reports whether one did within the time.
func (f *fleet) putConfig(version int, routes []route, within time.Duration) bool {
	text := configText(version, routes)
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, c := range f.controls {
			status, _ := post("http://"+c.addr(controlPort)+"/config/put", text)
			f.rec.log("operator: config %08x to %s: %d", version, c.name, status)
			if status == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// resolve asks the nodes that serve the directory, up to three, for the addresses of entries.
func (f *fleet) resolve() []string {
	nodes := append(append([]*machine{}, f.entries...), f.controls...)
	for _, n := range shuffled(nodes)[:min(3, len(nodes))] {
		status, body := get("http://" + n.addr(directory) + "/resolve?name=shop.example&region=r&zone=a")
		var reply struct {
			Addresses []string `json:"addresses"`
		}
		if status == http.StatusOK && json.Unmarshal(body, &reply) == nil && len(reply.Addresses) > 0 {
			return reply.Addresses
		}
	}
	return nil
}

// waitReady waits until all entries are ready and serve a path.
func (f *fleet) waitReady(path string, within time.Duration) bool {
	deadline := time.Now().Add(within)
	for _, e := range f.entries {
		for {
			status, _ := get("http://" + e.addr(readyPort) + "/ready")
			if status == http.StatusOK {
				if a := f.send(e.addr(frontPort), &call{method: "GET", path: path, deadline: 2 * time.Second}); a.status == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				f.rec.log("%s isn't ready", e.name)
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		panic(couldNotRun{err})
	}
}

// couldNotRun is the panic of a run that can't be carried out.
type couldNotRun struct{ err error }
