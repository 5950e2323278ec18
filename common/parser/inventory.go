package parser

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

// Inventory lists the services, availability zones and entry instances that the operator runs.
type Inventory struct {
	AvailabilityZones []AvailabilityZone `yaml:"availability-zones"`
	Entries           []Entry            `yaml:"entries"`
	Services          []Service          `yaml:"services"`
}

// AvailabilityZone is a failure domain within a region.
type AvailabilityZone struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
}

// Entry is an entry instance that may serve callers.
type Entry struct {
	InstanceID       string `yaml:"instance-id"`
	Address          string `yaml:"address"`
	PeerAddress      string `yaml:"peer-address"`
	AvailabilityZone string `yaml:"availability-zone"`
}

// Service is a named group of interchangeable backend servers.
type Service struct {
	Name        string      `yaml:"name"`
	Objective   Objective   `yaml:"objective"`
	Slots       int         `yaml:"slots"`
	Connections int         `yaml:"connections"`
	ProbeBudget ProbeBudget `yaml:"probe-budget"`
}

// Objective is a service level objective: the share of calls that must succeed within the latency.
type Objective struct {
	Latency Duration `yaml:"latency"`
	Share   float64  `yaml:"share"`
}

// ProbeBudget bounds the load that probes cause on a backend server.
type ProbeBudget struct {
	// PerSecond is the maximum number of probes per second to each backend server, from all entries together.
	PerSecond float64 `yaml:"per-second"`
}

// Duration is a time.Duration that YAML documents contain in Go duration syntax, such as 250ms or 4s.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("duration %q: want a number with a unit, such as 250ms or 4s", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// ParseInventory decodes and validates an inventory. The error is a *DocumentError that lists all problems with their lines.
func ParseInventory(text []byte) (inv *Inventory, err error) {
	inv = &Inventory{}
	if err = decode("inventory", text, inv); err != nil {
		return nil, err
	}
	c := newChecker("inventory", text)
	inv.check(c)
	if err = c.err(); err != nil {
		return nil, err
	}
	return inv, nil
}

// Upper bounds of the values in an inventory.
const (
	MaxSlots           = 10_000
	MaxConnections     = 1_000_000
	MaxProbesPerSecond = 1_000
	MaxLatency         = time.Minute
)

func (inv *Inventory) check(c *checker) {
	zones := make(map[string]bool)
	for i, z := range inv.AvailabilityZones {
		c.setItem("availability-zones", i)
		c.requireUnique("availability zone", z.Name, zones)
	}
	entries, addresses := make(map[string]bool), make(map[string]bool)
	for i, e := range inv.Entries {
		c.setItem("entries", i)
		c.requireUnique("entry", e.InstanceID, entries)
		c.require(zones[e.AvailabilityZone], "entry %q names availability zone %q, which the inventory lacks", e.InstanceID, e.AvailabilityZone)
		c.addrPort(e.InstanceID, "address", e.Address)
		c.addrPort(e.InstanceID, "peer-address", e.PeerAddress)
		c.requireUnique("address", e.Address, addresses)
		c.requireUnique("address", e.PeerAddress, addresses)
	}
	services := make(map[string]bool)
	for i := range inv.Services {
		c.setItem("services", i)
		s := &inv.Services[i]
		c.requireUnique("service", s.Name, services)
		s.check(c)
	}
}

func (s *Service) check(c *checker) {
	// The name must be a single segment of the path /call/{service}/{path}.
	c.require(url.PathEscape(s.Name) == s.Name && s.Name != "." && s.Name != "..", "service %q: want a name that needs no escape in a URL path", s.Name)
	c.require(s.Slots > 0 && s.Slots <= MaxSlots, "service %q: slots is %d, want 1 to %d", s.Name, s.Slots, MaxSlots)
	c.require(s.Connections > 0 && s.Connections <= MaxConnections, "service %q: connections is %d, want 1 to %d", s.Name, s.Connections, MaxConnections)
	latency := s.Objective.Latency.Std()
	c.require(latency > 0 && latency <= MaxLatency, "service %q: objective latency is %v, want more than 0s and up to %v", s.Name, latency, MaxLatency)
	c.require(s.Objective.Share > 0 && s.Objective.Share < 1, "service %q: objective share is %v, want between 0 and 1", s.Name, s.Objective.Share)
	probes := s.ProbeBudget.PerSecond
	c.require(probes >= 0 && probes <= MaxProbesPerSecond, "service %q: probe-budget per-second is %v, want 0 to %d", s.Name, probes, MaxProbesPerSecond)
}

func (c *checker) addrPort(name, key, value string) {
	_, err := netip.ParseAddrPort(value)
	c.require(err == nil, "entry %q: %s is %q, want an IP number and port, such as 10.0.0.1:7000", name, key, value)
}

// Service returns the service with the given name, or nil if there is none.
func (inv *Inventory) Service(name string) *Service {
	for i := range inv.Services {
		if inv.Services[i].Name == name {
			return &inv.Services[i]
		}
	}
	return nil
}
