// Command peridot-fake is a fake backend server for tests.
package main

import (
	"os"
	"time"

	"peridotswitch.example/common/configurer"
	"peridotswitch.example/common/launcher"
	"peridotswitch.example/peridot-fake/faker"
)

// Bounds and defaults of settings.
const (
	maxSlots           = 10_000
	maxConnections     = 100_000
	maxServiceTime     = time.Hour
	defaultStopTimeout = 10 * time.Second
)

func main() {
	cfg := faker.Config{Behaviour: faker.DefaultBehaviour()}
	behaviour, stopTimeout := "", defaultStopTimeout
	os.Exit(launcher.Run(launcher.Config{
		Name:        "peridot-fake",
		Description: "A fake backend server for tests of peridotswitch.",
		Example:     "peridot-fake --service stock-lookup --instance-id lookup-1 --availability-zone a",
		Settings:    settings(&cfg, &behaviour),
		Check:       func() error { return cfg.Behaviour.Merge([]byte(behaviour)) },
		StopTimeout: &stopTimeout,
		Start: func() (*launcher.Daemon, error) {
			f, err := faker.New(cfg)
			if err != nil {
				return nil, err
			}
			return &launcher.Daemon{Close: f.Close}, nil
		},
	}, os.Args[1:]))
}

func settings(cfg *faker.Config, behaviour *string) []configurer.Setting {
	return []configurer.Setting{
		{Flag: "service", Usage: "service that this backend server belongs to", Allowed: "a non-empty string", Set: configurer.String(&cfg.Service)},
		{Flag: "instance-id", Usage: "name of this instance", Allowed: "a non-empty string", Set: configurer.String(&cfg.InstanceID)},
		{Flag: "availability-zone", Usage: "availability zone of this instance", Allowed: "a non-empty string", Set: configurer.String(&cfg.AvailabilityZone)},
		{Flag: "listen", Usage: "address to listen on", Default: "127.0.0.1:0", Allowed: "an IP address and port", Set: configurer.Address(&cfg.Listen)},
		{Flag: "announce-address", Usage: "address to announce to entries; the listen address when empty", Allowed: "an IP address and port", Set: configurer.OptionalString(&cfg.AnnounceAddress)},
		{Flag: "entries", Usage: "entries to announce to until a response names others", Default: "127.0.0.1:7100", Allowed: "IP addresses and ports, comma-separated", Set: configurer.Addresses(&cfg.Entries)},
		{Flag: "slots", Usage: "maximum number of calls that run concurrently", Default: "6", Allowed: "a whole number", Set: configurer.Int(&cfg.Slots, 1, maxSlots)},
		{Flag: "connections", Usage: "connection limit to announce", Default: "250", Allowed: "a whole number", Set: configurer.Int(&cfg.Connections, 1, maxConnections)},
		{Flag: "service-time", Usage: "mean service time of a call", Default: "2ms", Allowed: "a duration", Set: configurer.Duration((*time.Duration)(&cfg.Behaviour.ServiceTime), 0, maxServiceTime)},
		{Flag: "behaviour", Usage: "initial behaviour, in the format of POST /fake/behaviour", Default: "{}", Allowed: "a JSON object", Set: configurer.String(behaviour)},
		{Flag: "crash-on", Usage: "exit when the body of a call contains this string", Allowed: "a string", Set: configurer.OptionalString(&cfg.CrashOn)},
		{Flag: "ledger", Usage: "file to which a line is appended before each run of a call", Allowed: "a file name", Set: configurer.OptionalString(&cfg.Ledger)},
	}
}
