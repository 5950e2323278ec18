package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines of a deployment. Each machine has a loopback address of its own.
const (
	frontPort     = 8641
	readyPort     = 8640
	controlPort   = 8649
	directoryPort = 8644
	backendPort   = 8080
)

// Bounds of a small deployment, as the users' page gives them for roj-linia.
const (
	graceS     = 6
	retrySlack = 58
	probesPerS = 60
	// catchUp is bounds.catch_up_s: a machine counts as lost until so long after it is back.
	catchUp = 4 * time.Second
	// restartDelay is the short delay after which the platform restarts a process that has ended.
	restartDelay = 300 * time.Millisecond
)

// platform starts, kills and restarts the processes of a deployment and records what happens.
type platform struct {
	root, dir string
	// net is the first three numbers of the loopback addresses.
	net      string
	begin    time.Time
	mu       sync.Mutex
	record   io.Writer
	machines []*machine
	backends []*backend
}

// machine runs one role of the deploy file.
type machine struct {
	p              *platform
	name, role, ip string
	zone, dataDir  string
	memoryMB       int
	// bootstrap is rendered into the settings; it is true only when the whole system starts for the first time.
	bootstrap bool

	mu  sync.Mutex
	cmd *exec.Cmd
	// down keeps the platform from restarting the process, ended is closed when the current process has ended.
	down  bool
	ended chan struct{}
	// starts counts starts, ownEnds those that ended by themselves; killed is set while the script kills the process.
	starts, ownEnds int
	killed          bool
	lastOutput      string
}

func newPlatform(record io.Writer) (*platform, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "peridot-review-")
	if err != nil {
		return nil, err
	}
	p := &platform{root: root, dir: dir, begin: time.Now(), record: record}
	for range 100 {
		p.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if p.areFree() {
			return p, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

// areFree reports whether nothing listens at the ports of the first addresses.
func (p *platform) areFree() bool {
	for i := 1; i <= 16; i++ {
		for _, port := range []int{frontPort, controlPort, 7620, 7630} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", p.net, i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// log writes a line with the time since the start to the record.
func (p *platform) log(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	line := strings.ReplaceAll(strings.ReplaceAll(fmt.Sprintf(format, args...), p.dir, "DIR"), p.root, "ROOT")
	fmt.Fprintf(p.record, "%9.3f %s\n", time.Since(p.begin).Seconds(), line)
}

// addMachine adds a machine that isn't started yet.
func (p *platform) addMachine(role, name, zone string, memoryMB int) *machine {
	m := &machine{p: p, name: name, role: role, zone: zone, ip: fmt.Sprintf("%s.%d", p.net, len(p.machines)+1), memoryMB: memoryMB, bootstrap: true}
	if role == "control" {
		m.dataDir = filepath.Join(p.dir, name)
	}
	p.machines = append(p.machines, m)
	return m
}

func (p *platform) withRole(role string) (list []*machine) {
	for _, m := range p.machines {
		if m.role == role {
			list = append(list, m)
		}
	}
	return list
}

// fields are the settings of a machine, by the names of the users' pages.
func (m *machine) fields() map[string]any {
	var seeds []string
	for _, c := range m.p.withRole("control") {
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, controlPort))
		}
	}
	f := map[string]any{
		"node_name": m.name, "zone": m.zone, "ip": m.ip, "seeds": strings.Join(seeds, ","), "peer_port_range": "7620,7635",
		"bootstrap": m.bootstrap, "data_dir": m.dataDir, "limits.memory_mb": m.memoryMB, "limits.max_fds": 4096,
		"bounds.grace_s": graceS, "bounds.retry_slack": retrySlack, "bounds.probes_per_s": probesPerS,
	}
	if m.role == "control" {
		f["listen.control"] = fmt.Sprintf("%s:%d", m.ip, controlPort)
	} else {
		f["listen.front"] = fmt.Sprintf("%s:%d", m.ip, frontPort)
		f["listen.ready"] = fmt.Sprintf("%s:%d", m.ip, readyPort)
	}
	f["listen.directory"] = fmt.Sprintf("%s:%d", m.ip, directoryPort)
	return f
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// writeSettings fills in the template of the deploy file, at each start.
func (m *machine) writeSettings() (path string, err error) {
	template, err := os.ReadFile(filepath.Join(m.p.root, "deploy", "settings.yaml"))
	if err != nil {
		return "", err
	}
	fields := m.fields()
	text := placeholder.ReplaceAllFunc(template, func(b []byte) []byte {
		parts := placeholder.FindSubmatch(b)
		v, ok := fields[string(parts[1])]
		if !ok {
			return nil
		}
		if len(parts[2]) > 0 {
			out, _ := json.Marshal(v)
			return out
		}
		return fmt.Append(nil, v)
	})
	path = filepath.Join(m.p.dir, m.name+".yaml")
	return path, os.WriteFile(path, text, 0o600)
}

// start starts the process and restarts it whenever it ends, until the machine is down.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = false
	return m.startLocked()
}

func (m *machine) startLocked() error {
	settings, err := m.writeSettings()
	if err != nil {
		return err
	}
	var stderr bytes.Buffer
	out, err := os.OpenFile(filepath.Join(m.p.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(m.p.root, "target", "platform"), m.role)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.p.root, out, &stderr
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERIDOTSWITCH_NODE_FILE=" + settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	m.cmd, m.ended, m.killed = cmd, make(chan struct{}), false
	m.starts++
	ended := m.ended
	if m.isLogged() {
		m.p.log("platform: %s started, pid %d, bootstrap %t", m.name, cmd.Process.Pid, m.bootstrap)
	}
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		m.mu.Lock()
		own := !m.killed
		if own {
			m.ownEnds++
			m.lastOutput = strings.TrimSpace(stderr.String())
		}
		m.mu.Unlock()
		if own && m.isLogged() {
			m.p.log("platform: %s ENDED BY ITSELF: %v: %s", m.name, err, m.lastOutput)
		}
		close(ended)
		time.Sleep(restartDelay)
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.down && m.cmd == cmd {
			if err := m.startLocked(); err != nil {
				m.p.log("platform: %s not started: %v", m.name, err)
			}
		}
	}()
	return nil
}

// maxLoggedEnds is how many ends of a process by itself are recorded one by one; all are counted.
const maxLoggedEnds = 3

func (m *machine) isLogged() bool { return m.ownEnds <= maxLoggedEnds }

// kill sends SIGKILL to the process. The platform restarts it, unless down is set.
func (m *machine) kill(down bool) {
	m.mu.Lock()
	m.killed, m.down = true, m.down || down
	cmd, ended := m.cmd, m.ended
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-ended
}

// signal sends a signal to the running process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	m.p.log("platform: %s to %s", s, m.name)
	_ = cmd.Process.Signal(s)
}

// stopAll ends all processes that were started and removes the temporary folder.
func (p *platform) stopAll() {
	var wg sync.WaitGroup
	for _, m := range p.machines {
		wg.Go(func() { m.kill(true) })
	}
	wg.Wait()
	for _, b := range p.backends {
		b.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	}
}

var plain = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request to one address and returns the status and body; status 0 means that there was no response within a second.
func call(method, url, body string) (status int, text string) {
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := plain.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	out, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(out)
}

// putConfig sends a config to the control members in turn until one acknowledges or refuses it, for the given time.
func (p *platform) putConfig(version int, text string, limit time.Duration) (status int) {
	control := p.withRole("control")
	end := time.Now().Add(limit)
	for i := rand.IntN(len(control)); time.Now().Before(end); i++ {
		c := control[i%len(control)]
		status, _ = call(http.MethodPost, fmt.Sprintf("http://%s:%d/config/put", c.ip, controlPort), text)
		p.log("operator: put version %08x at %s: status %d", version, c.name, status)
		if status != 0 && status < 500 && status != 408 && status != 429 {
			return status
		}
		time.Sleep(150 * time.Millisecond)
	}
	return 0
}

// getConfig reads the config at a control member; version is -1 without a 200.
func (m *machine) getConfig() (status, version int) {
	status, text := call(http.MethodGet, fmt.Sprintf("http://%s:%d/config/get", m.ip, controlPort), "")
	if status != http.StatusOK {
		return status, -1
	}
	var c struct {
		Version string `json:"version"`
	}
	version = -1
	if json.Unmarshal([]byte(text), &c) == nil {
		_, _ = fmt.Sscanf(c.Version, "%x", &version)
	}
	return status, version
}

// isReady asks an entry's ready address, as the platform does.
func (m *machine) isReady() bool {
	status, _ := call(http.MethodGet, fmt.Sprintf("http://%s:%d/ready", m.ip, readyPort), "")
	return status == http.StatusOK
}

// wait calls f every 50 ms until it returns true, for the given time.
func wait(limit time.Duration, f func() bool) bool {
	end := time.Now().Add(limit)
	for !f() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}
