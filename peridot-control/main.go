// Command peridot-control runs a control member, which stores the accepted configuration and serves it to entries.
package main

import (
	"os"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"peridotswitch.example/common/configurer"
	"peridotswitch.example/common/launcher"
	"peridotswitch.example/common/reporter"
	"peridotswitch.example/peridot-control/keeper"
	"peridotswitch.example/peridot-control/supervisor"
)

const defaultStopTimeout = 30 * time.Second

// Bounds of the settings.
const (
	minRetention = 2 * time.Second
	maxRetention = 30 * 24 * time.Hour
	maxSkew      = 12 * time.Hour
	maxKeys      = 10_000_000
)

func main() {
	var cfg supervisor.Config
	recoverAlone, stopTimeout := false, defaultStopTimeout
	os.Exit(launcher.Run(launcher.Config{
		Name:        "peridot-control",
		Description: "Runs a control member of peridotswitch, which stores the accepted configuration and the claims of at-most-once calls.",
		Example:     "peridot-control --instance-id control-1 --availability-zone a --data data --operator-token secret",
		Settings:    settings(&cfg),
		Flags: func(p *flaggy.Parser) {
			p.Bool(&recoverAlone, "", "recover-alone", "make the member in this data directory the only one of a new cluster and exit; use only if a majority is permanently lost")
		},
		Check:       func() error { return cfg.Check() },
		StopTimeout: &stopTimeout,
		Start: func() (*launcher.Daemon, error) {
			cfg.Log = reporter.NewLogger(os.Stderr, "peridot-control", cfg.InstanceID)
			if recoverAlone {
				return nil, supervisor.RecoverAlone(cfg)
			}
			return start(cfg)
		},
	}, os.Args[1:]))
}

func start(cfg supervisor.Config) (*launcher.Daemon, error) {
	// A disk can't be trusted with further writes after one has failed: exit, so that a restart continues from what is on disk.
	failed := make(chan error, 1)
	cfg.OnFailure = func(err error) {
		cfg.Log.Error().Err(err).Msg("failed to persist or restore state; exiting")
		failed <- err
	}
	s, err := supervisor.New(cfg)
	if err != nil {
		return nil, err
	}
	return &launcher.Daemon{Close: s.Close, Failed: failed}, nil
}

func settings(cfg *supervisor.Config) []configurer.Setting {
	return []configurer.Setting{
		{Flag: "instance-id", Usage: "name of this instance", Allowed: "a non-empty string", Set: configurer.String(&cfg.InstanceID)},
		{Flag: "availability-zone", Usage: "availability zone of this instance", Allowed: "a non-empty string", Set: configurer.String(&cfg.AvailabilityZone)},
		{Flag: "listen", Usage: "address on which entries, control members and operators connect", Default: "127.0.0.1:7400", Allowed: "an IP address and port", Set: configurer.Address(&cfg.Listen)},
		{Flag: "data", Usage: "data directory of this instance", Allowed: "a directory", Set: configurer.String(&cfg.DataDir)},
		{Flag: "advertise", Usage: "address at which others connect to this instance; when empty, its address in members, else listen", Allowed: "an IP address and port", Set: supervisor.OptionalAddress(&cfg.Advertise)},
		{Flag: "members", Usage: "initial members of the cluster, identical on all of them; only this instance when empty", Allowed: "id=ip:port@availability-zone, comma-separated", Set: supervisor.InitialMembers(&cfg.InitialMembers)},
		{Flag: "spare", Usage: "start as a spare, which joins only to replace a failed member", Default: "false", Allowed: "true or false", Set: configurer.Bool(&cfg.Spare)},
		{Flag: "reach", Usage: "addresses to dial for control members, where they differ from the advertised ones", Allowed: "id=ip:port, comma-separated", Set: supervisor.DialAddresses(&cfg.DialAddresses)},
		{Flag: "heartbeat", Usage: "interval between the leader's heartbeats", Default: supervisor.DefaultHeartbeat.String(), Allowed: "50ms to 10s, at most half of election", Set: configurer.Duration(&cfg.Heartbeat, 50*time.Millisecond, 10*time.Second)},
		{Flag: "election", Usage: "minimum election timeout; the actual one is random, up to twice this", Default: supervisor.DefaultElection.String(), Allowed: "200ms to 1m", Set: configurer.Duration(&cfg.Election, 200*time.Millisecond, time.Minute)},
		{Flag: "replace-after", Usage: "how long a member may be unreachable before a spare replaces it", Default: supervisor.DefaultReplaceAfter.String(), Allowed: "2s to 24h", Set: configurer.Duration(&cfg.ReplaceAfter, 2*time.Second, 24*time.Hour)},
		{Flag: "claim-retention", Usage: "retention of the keys of at-most-once calls", Default: keeper.DefaultRetention.String(), Allowed: "2s to 720h", Set: configurer.Duration(&cfg.Claims.Retention, minRetention, maxRetention)},
		{Flag: "claim-unstamped-retention", Usage: "retention of keys of calls without Peridot-Issued-At", Default: keeper.DefaultUnstampedRetention.String(), Allowed: "2s to 720h", Set: configurer.Duration(&cfg.Claims.UnstampedRetention, minRetention, maxRetention)},
		{Flag: "claim-answer-retention", Usage: "retention of responses to at-most-once calls", Default: keeper.DefaultAnswerRetention.String(), Allowed: "1s to 720h", Set: configurer.Duration(&cfg.Claims.AnswerRetention, time.Second, maxRetention)},
		{Flag: "claim-skew", Usage: "clock skew up to which calls are not refused", Default: keeper.DefaultSkew.String(), Allowed: "1s to 12h", Set: configurer.Duration(&cfg.Claims.Skew, time.Second, maxSkew)},
		{Flag: "claim-max-keys", Usage: "maximum number of keys; above it, new at-most-once calls are refused", Default: strconv.Itoa(keeper.DefaultMaxKeys), Allowed: "a whole number up to 10000000", Set: configurer.Int(&cfg.Claims.MaxKeys, 1, maxKeys)},
		{Flag: "operator-token", Usage: "token that operators must send with every change", Allowed: "a non-empty string", Set: configurer.String(&cfg.OperatorToken)},
	}
}
