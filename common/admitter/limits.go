package admitter

import (
	"math"
	"runtime/debug"
	"syscall"
)

// Port is the kind of a port, which decides its share of a process's descriptors.
type Port string

// Kinds of ports.
const (
	Callers   Port = "callers"
	Ready     Port = "ready"
	Directory Port = "directory"
	Control   Port = "control"
	Peers     Port = "peers"
	Operators Port = "operators"
)

// shares are the ports' shares of the descriptors. With outgoingShare, those of an entry are 0.92 together, so that callers leave peers and
// operators their part and the process's files theirs. Entries of the platform serve peers on the operators' port.
var shares = map[Port]float64{Callers: 0.6, Control: 0.4, Ready: 0.03, Directory: 0.07, Peers: 0.15, Operators: 0.07}

const (
	// outgoingShare is the share of the descriptors for connections to backend servers.
	outgoingShare = 0.15
	// memoryShare is the share of the memory that requests which are being received may take up. One byte of an unfinished header costs
	// up to 3.6 bytes of resident memory, since net/http copies lines while they grow: 467 MB for 2,000 headers of 64 KiB.
	memoryShare = 1.0 / 24
	// connectionShare is the share of the memory that the connections of one port may take up, at connectionBytes each.
	connectionShare = 0.35
	// connectionBytes is what a connection of net/http takes up: buffers and a stack.
	connectionBytes = 20 << 10
	// minHeldBytes lets some headers of the largest size through on the smallest machine.
	minHeldBytes = 1 << 20
	// defaultMemory and defaultDescriptors apply if the process's limits are unknown.
	defaultMemory, defaultDescriptors = 512 << 20, 1024
	// minConnections leaves a port usable with any limit on descriptors.
	minConnections = 4
)

// Limits are the limits of an Admitter.
type Limits struct {
	// HeldBytes limits the bytes of all requests that are being received or served, without the first freeBytes of each.
	HeldBytes int64
	// Descriptors is the number of descriptors that the ports share, and Memory the machine's memory in bytes; 0 if it is unknown.
	Descriptors int
	Memory      int64
}

// NewLimits derives limits from a machine's memory in bytes and its number of descriptors. Where one is 0, the process's own limit applies.
func NewLimits(memory int64, descriptors int) Limits {
	usable := memory
	if memory <= 0 {
		usable = defaultMemory
		if soft := debug.SetMemoryLimit(-1); soft < math.MaxInt64 {
			usable = soft
		}
	}
	own := defaultDescriptors
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err == nil {
		own = int(min(r.Cur, math.MaxInt32))
	}
	if descriptors <= 0 || descriptors > own {
		descriptors = own
	}
	return Limits{HeldBytes: max(int64(memoryShare*float64(usable)), minHeldBytes), Descriptors: descriptors, Memory: memory}
}

// Connections returns the maximum number of connections of a port.
func (l Limits) Connections(p Port) int {
	n := shares[p] * float64(l.Descriptors)
	if l.Memory > 0 {
		n = min(n, connectionShare*float64(l.Memory)/connectionBytes)
	}
	return max(int(n), minConnections)
}

// Outgoing returns the maximum number of connections to backend servers.
func (l Limits) Outgoing() int { return max(int(outgoingShare*float64(l.Descriptors)), minConnections) }
