package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// Ports that are the same on all machines.
const (
	frontPort     = 8641
	readyPort     = 8640
	controlPort   = 8649
	directoryPort = 8644
	peerPort      = 7620
	metricsPort   = 7630
)

// Bounds of the deployment that the settings files name.
const (
	stableWindow = 3 * time.Second
	ackBound     = 4 * time.Second
	drainBound   = 2 * time.Second
	graceBound   = 6 * time.Second
	configBound  = 2 * time.Second
	evacBound    = 5 * time.Second
	maxSkew      = 5 * time.Second
)

// machine is a machine of the system with the one process that runs on it.
type machine struct {
	name, zone, ip, role    string
	settings, data, logPath string
	// core is the number of the processor core that the process stays on.
	core int

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// fleet is a deployment of the system.
type fleet struct {
	root, dir string
	// network is the first two octets of all addresses.
	network string
	control []*machine
	entries []*machine
	rec     *recorder
	// backends counts the backend servers.
	backends int
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// freeNetwork returns the first two octets of loopback addresses at which no port of the system is in use.
func freeNetwork() string {
	for i := range 200 {
		network := fmt.Sprintf("127.%d", 20+(os.Getpid()+i)%200)
		l, err := net.Listen("tcp", network+".1.1:"+fmt.Sprint(controlPort))
		if err != nil {
			continue
		}
		_ = l.Close()
		return network
	}
	fatalf("no loopback network is free")
	return ""
}

type fleetConfig struct {
	control, entries int
	// spread is the time within which the machines start, one after the other.
	spread time.Duration
}

// memoryMB is the memory of a machine of the small sites.
const memoryMB = 284

// startFleet starts control members and entries in three zones.
func startFleet(root string, rec *recorder, cfg fleetConfig) *fleet {
	dir, err := os.MkdirTemp("", "review-2-")
	check(err)
	network := freeNetwork()
	f := &fleet{root: root, dir: dir, network: network, rec: rec}
	for i := range cfg.control {
		m := &machine{name: fmt.Sprintf("core-%d", i+1), zone: zones[i%3], ip: fmt.Sprintf("%s.1.%d", network, i+1), role: "control"}
		m.data = filepath.Join(dir, m.name)
		f.control = append(f.control, m)
	}
	for i := range cfg.entries {
		f.entries = append(f.entries, &machine{name: fmt.Sprintf("front-%d", i+1), zone: zones[i%3], ip: fmt.Sprintf("%s.2.%d", network, i+1), role: "entry"})
	}
	for i, m := range f.machines() {
		m.core = i % runtime.NumCPU()
		m.settings = filepath.Join(dir, m.name+".yaml")
		m.logPath = filepath.Join(dir, m.name+".log")
	}
	for _, m := range f.machines() {
		f.writeSettings(m, true)
	}
	for i, m := range f.machines() {
		if i > 0 {
			time.Sleep(cfg.spread / time.Duration(len(f.machines())-1))
		}
		m.start(root)
	}
	return f
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine(nil), f.control...), f.entries...)
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// writeSettings fills in the template of the deploy file as the platform does.
func (f *fleet) writeSettings(m *machine, bootstrap bool) {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.yaml"))
	check(err)
	var seeds []string
	for _, c := range f.control[:min(3, len(f.control))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	fields := map[string]any{
		"node_name": m.name, "zone": m.zone, "ip": m.ip, "seeds": strings.Join(seeds, ","), "peer_port_range": "7620,7635", "bootstrap": bootstrap,
		"limits.memory_mb": memoryMB, "limits.max_fds": 4100, "bounds.grace_s": 6, "bounds.retry_slack": 60, "bounds.probes_per_s": 60, "bounds.quota_slack": 20,
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	fields["listen.directory"] = at(directoryPort)
	if m.role == "control" {
		fields["listen.control"], fields["data_dir"] = at(controlPort), m.data
	} else {
		fields["listen.front"], fields["listen.ready"] = at(frontPort), at(readyPort)
	}
	out := placeholder.ReplaceAllStringFunc(string(text), func(s string) string {
		g := placeholder.FindStringSubmatch(s)
		v, ok := fields[g[1]]
		switch {
		case g[2] != "":
			b, err := json.Marshal(v)
			check(err)
			return string(b)
		case !ok:
			return ""
		}
		return fmt.Sprint(v)
	})
	check(os.WriteFile(m.settings, []byte(out), 0o600))
}

// start starts the process of the machine with the command of the deploy file.
func (m *machine) start(root string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command(filepath.Join(root, "target", "platform"), m.role)
	cmd.Dir = root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERIDOTSWITCH_NODE_FILE=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	check(startOnOneCore(cmd, m.core))
	done := make(chan struct{})
	m.cmd, m.done = cmd, done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (m *machine) running() bool {
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	for _, m := range f.machines() {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// grep returns the lines of a machine's log that contain text.
func (f *fleet) grep(m *machine, text string) (lines []string) {
	b, _ := os.ReadFile(m.logPath)
	for line := range strings.Lines(string(b)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// leader returns the member that the logs name as the leader of the highest term, or nil.
func (f *fleet) leader() (leader *machine) {
	highest := uint64(0)
	for _, m := range f.control {
		text, _ := os.ReadFile(m.logPath)
		for line := range strings.Lines(string(text)) {
			var l struct {
				Message, Leader string
				Term            uint64
			}
			if json.Unmarshal([]byte(line), &l) != nil || l.Message != "leader changed" || l.Leader == "" || l.Term < highest {
				continue
			}
			highest = l.Term
			for _, c := range f.control {
				if c.name == l.Leader {
					leader = c
				}
			}
		}
	}
	return leader
}

// startOnOneCore starts a process that stays on one processor core, as processes do on the platform.
func startOnOneCore(cmd *exec.Cmd, core int) error {
	const words = 16
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var old, one [words]uintptr
	call := func(number uintptr, set *[words]uintptr) error {
		if _, _, errno := syscall.RawSyscall(number, 0, words*unsafe.Sizeof(old[0]), uintptr(unsafe.Pointer(set))); errno != 0 {
			return errno
		}
		return nil
	}
	if err := call(syscall.SYS_SCHED_GETAFFINITY, &old); err != nil {
		return err
	}
	// The cores that this process may use, of which the process gets one.
	var cores []int
	for i := range words * 64 {
		if old[i/64]&(1<<(i%64)) != 0 {
			cores = append(cores, i)
		}
	}
	n := cores[core%len(cores)]
	one[n/64] = 1 << (n % 64)
	if err := call(syscall.SYS_SCHED_SETAFFINITY, &one); err != nil {
		return err
	}
	defer func() { _ = call(syscall.SYS_SCHED_SETAFFINITY, &old) }()
	return cmd.Start()
}
