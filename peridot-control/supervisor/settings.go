package supervisor

import (
	"cmp"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/configurer"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-control/replicatorpb"
)

// OptionalAddress returns a setter that sets p to an IP address and port; an empty value leaves p unchanged.
func OptionalAddress(p *string) func(string) error {
	return func(v string) error {
		if v == "" {
			return nil
		}
		return configurer.Address(p)(v)
	}
}

// InitialMembers returns a setter that parses a list such as control-1=10.0.0.1:7400@zone-a,control-2=10.0.0.2:7400@zone-b into p.
// An empty value leaves p unchanged.
func InitialMembers(p *[]*replicatorpb.Member) func(string) error {
	return func(v string) error {
		if v == "" {
			return nil
		}
		seen := make(map[string]bool)
		var list []*replicatorpb.Member
		for _, text := range strings.Split(v, ",") {
			id, rest, _ := strings.Cut(text, "=")
			address, zone, ok := strings.Cut(rest, "@")
			if id == "" || !ok || zone == "" {
				return errors.Errorf("member %q: want id=ip:port@availability-zone", text)
			}
			if _, err := netip.ParseAddrPort(address); err != nil {
				return errors.WithMessagef(err, "member %q", text)
			}
			if seen[id] || seen[address] {
				return errors.Errorf("member %q: instance id or address is listed twice", text)
			}
			seen[id], seen[address] = true, true
			list = append(list, &replicatorpb.Member{InstanceId: id, Address: address, AvailabilityZone: zone})
		}
		*p = list
		return nil
	}
}

// DialAddresses returns a setter that parses a list such as control-1=10.9.0.1:7400 into p, as a map from instance ids to addresses.
// An empty value leaves p unchanged.
func DialAddresses(p *map[string]string) func(string) error {
	return func(v string) error {
		if v == "" {
			return nil
		}
		m := make(map[string]string)
		for _, text := range strings.Split(v, ",") {
			id, address, _ := strings.Cut(text, "=")
			if _, err := netip.ParseAddrPort(address); err != nil || id == "" {
				return errors.Errorf("address %q: want id=ip:port", text)
			}
			m[id] = address
		}
		*p = m
		return nil
	}
}

// Defaults of the timing settings.
const (
	DefaultHeartbeat    = 400 * time.Millisecond
	DefaultElection     = 850 * time.Millisecond
	DefaultReplaceAfter = 5 * time.Minute
	// DefaultServerLease covers several announcement intervals and a short network partition. It need not be shorter: entries
	// detect a failed backend server earlier by their own calls.
	DefaultServerLease = 12 * time.Second
)

// Check validates settings that depend on each other and fills in defaults and derived values.
func (cfg *Config) Check() error {
	cfg.Heartbeat = cmp.Or(cfg.Heartbeat, DefaultHeartbeat)
	cfg.Election = cmp.Or(cfg.Election, DefaultElection)
	cfg.ReplaceAfter = cmp.Or(cfg.ReplaceAfter, DefaultReplaceAfter)
	cfg.ServerLease = cmp.Or(cfg.ServerLease, DefaultServerLease)
	if cfg.ParseRouting == nil {
		cfg.ParseRouting = parser.ParseRouting
	}
	if cfg.OnFailure == nil {
		cfg.OnFailure = func(error) {}
	}
	if cfg.Heartbeat*2 > cfg.Election {
		return &configurer.Error{Flag: "heartbeat", Value: cfg.Heartbeat.String(), Allowed: "at most half of the election timeout", Err: errors.Errorf("the election timeout is %v", cfg.Election)}
	}
	for _, m := range cfg.InitialMembers {
		if m.InstanceId != cfg.InstanceID {
			continue
		}
		if m.AvailabilityZone != cfg.AvailabilityZone {
			return &configurer.Error{Flag: "availability-zone", Value: cfg.AvailabilityZone, Allowed: "the availability zone of this instance in --members", Err: errors.Errorf("--members has %q", m.AvailabilityZone)}
		}
		if cfg.Advertise == "" {
			cfg.Advertise = m.Address
		}
	}
	return nil
}
