// Program peridot-entry runs an entry, which forwards callers' calls to backend servers.
package main

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/configurer"
	"peridotswitch.example/common/launcher"
	"peridotswitch.example/common/reporter"
	"peridotswitch.example/peridot-entry/orderer"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/supervisor"
)

const (
	// defaultLameDuck covers the time until every entry has removed this one from its address list plus the time that callers
	// cache such a list.
	defaultLameDuck = "8s"
	// defaultStopTimeout is longer than the longest deadline that a rule may set.
	defaultStopTimeout = "6m"
	maxStopTimeout     = time.Hour
)

// Upper limits of settings.
const (
	maxClaimAnswerBytes = 1 << 20
	maxClaimSkew        = 12 * time.Hour
)

func main() {
	var cfg supervisor.Config
	var stopTimeout time.Duration
	os.Exit(launcher.Run(launcher.Config{
		Name:        "peridot-entry",
		Description: "An entry of peridotswitch: forwards callers' calls to backend servers.",
		Example:     "peridot-entry --instance-id entry-1 --availability-zone a --control 127.0.0.1:7400",
		Settings:    settings(&cfg, &stopTimeout),
		StopTimeout: &stopTimeout,
		Start: func() (*launcher.Daemon, error) {
			cfg.Log = reporter.NewLogger(os.Stderr, "peridot-entry", cfg.InstanceID)
			s, err := supervisor.New(cfg)
			if err != nil {
				return nil, err
			}
			return &launcher.Daemon{Close: s.Close}, nil
		},
	}, os.Args[1:]))
}

func settings(cfg *supervisor.Config, stopTimeout *time.Duration) []configurer.Setting {
	return []configurer.Setting{
		{Flag: "instance-id", Usage: "name of this instance", Allowed: "a non-empty string", Set: configurer.String(&cfg.InstanceID)},
		{Flag: "availability-zone", Usage: "availability zone of this instance", Allowed: "a non-empty string", Set: configurer.String(&cfg.AvailabilityZone)},
		{Flag: "listen", Usage: "address on which callers and backend servers connect", Default: "127.0.0.1:7100", Allowed: "an IP address and port", Set: configurer.Address(&cfg.Listen)},
		{Flag: "peer-listen", Usage: "address on which other entries connect", Default: "127.0.0.1:7200", Allowed: "an IP address and port", Set: configurer.Address(&cfg.PeerListen)},
		{Flag: "operator-listen", Usage: "address on which operators connect", Default: "127.0.0.1:7300", Allowed: "an IP address and port", Set: configurer.Address(&cfg.OperatorListen)},
		{Flag: "control", Usage: "addresses of control members", Default: "127.0.0.1:7400", Allowed: "IP addresses and ports, comma-separated", Set: configurer.Addresses(&cfg.Control)},
		{Flag: "data", Usage: "data directory of this instance; empty stores nothing", Allowed: "a directory", Set: configurer.OptionalString(&cfg.DataDir)},
		{Flag: "claim-answer-bytes", Usage: "largest response to an at-most-once call that is stored to answer resends", Default: strconv.Itoa(orderer.DefaultMaxAnswerBytes), Allowed: "a whole number up to 1048576", Set: configurer.Int(&cfg.ClaimAnswerBytes, 1, maxClaimAnswerBytes)},
		{Flag: "claim-skew", Usage: "how far ahead of this clock Peridot-Issued-At may be", Default: orderer.DefaultSkew.String(), Allowed: "1s to 12h", Set: configurer.Duration(&cfg.ClaimSkew, time.Second, maxClaimSkew)},
		{Flag: "policy", Usage: "how backend servers are chosen; peridot-platform uses expected, and all policies but corrected and expected are baselines for comparison", Default: string(picker.Corrected), Allowed: policies(), Set: setPolicy(&cfg.Policy)},
		{Flag: "containment", Usage: "how long a request that crashes backend servers is refused", Default: "10m", Allowed: "1s to 24h", Set: configurer.Duration(&cfg.Containment, time.Second, 24*time.Hour)},
		{Flag: "operator-token", Usage: "token that operators must send to change anything; empty allows no changes", Allowed: "a string", Set: configurer.OptionalString(&cfg.OperatorToken)},
		{Flag: "lame-duck", Usage: "how long a stopping entry goes on taking calls", Default: defaultLameDuck, Allowed: "a duration up to 1h", Set: configurer.Duration(&cfg.LameDuck, 0, maxStopTimeout)},
		{Flag: "stop-timeout", Usage: "longest time that stopping may take", Default: defaultStopTimeout, Allowed: "a duration up to 1h", Set: configurer.Duration(stopTimeout, 0, maxStopTimeout)},
	}
}

func policies() string {
	var names []string
	for _, p := range picker.Policies() {
		names = append(names, string(p))
	}
	return strings.Join(names, ", ")
}

func setPolicy(p *picker.Policy) func(string) error {
	return func(v string) error {
		if !slices.Contains(picker.Policies(), picker.Policy(v)) {
			return errors.New("no such policy")
		}
		*p = picker.Policy(v)
		return nil
	}
}
