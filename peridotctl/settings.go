package main

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"time"

	"peridotswitch.example/common/configurer"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridotctl/commander"
)

const maxWait = 5 * time.Minute

const anyString = "a string"

// options holds the values of the settings of all subcommands.
type options struct {
	commander    commander.Config
	change       commander.Change
	member       commander.MemberChange
	register     parser.RegisterConfig
	registerFile string
	pageFile     string
	document     commander.DocumentKind
	revision     int
	historyLimit int
	checkOnly    bool
	demoIP       string
	demoDuration time.Duration
	demoLogs     bool
	argument     string
}

// Settings that several subcommands share.

func (o *options) control() configurer.Setting {
	return configurer.Setting{Flag: "control", Usage: "addresses of control members, tried in order", Default: "127.0.0.1:7400", Allowed: "IP addresses and ports, comma-separated", Set: configurer.Addresses(&o.commander.Control)}
}

func (o *options) entries() configurer.Setting {
	return configurer.Setting{Flag: "entries", Usage: "operator addresses of entries, tried in order; one is enough", Default: "127.0.0.1:7300", Allowed: "IP addresses and ports, comma-separated", Set: configurer.Addresses(&o.commander.Entries)}
}

func (o *options) token() configurer.Setting {
	return configurer.Setting{Flag: "operator-token", Usage: "the operator token", Allowed: anyString, Set: configurer.String(&o.commander.OperatorToken)}
}

func (o *options) memberSettings() []configurer.Setting {
	return []configurer.Setting{
		o.control(), o.token(),
		{Flag: "instance-id", Usage: "instance id of the control member to add, remove or move in", Allowed: anyString, Set: configurer.String(&o.member.InstanceID)},
		{Flag: "replaces", Usage: "for move: instance id of the member to replace", Allowed: anyString, Set: configurer.OptionalString(&o.member.Replaces)},
	}
}

func (o *options) output() configurer.Setting {
	return configurer.Setting{Flag: "output", Usage: "output format", Default: "table", Allowed: "table or json", Set: func(v string) error {
		if v != "table" && v != "json" {
			return fmt.Errorf("unknown value")
		}
		o.commander.JSON = v == "json"
		return nil
	}}
}

func (o *options) inventoryFile() configurer.Setting {
	return configurer.Setting{Flag: "inventory", Usage: "inventory file", Allowed: "a file name", Set: configurer.OptionalString(&o.change.InventoryFile)}
}

func (o *options) rulesFile() configurer.Setting {
	return configurer.Setting{Flag: "rules", Usage: "rules file", Allowed: "a file name", Set: configurer.OptionalString(&o.change.RulesFile)}
}

// Settings of one subcommand each.

func (o *options) applySettings() []configurer.Setting {
	return []configurer.Setting{
		o.control(), o.token(), o.output(), o.inventoryFile(), o.rulesFile(),
		{Flag: "change-id", Usage: "id of this change, generated when empty; a change with the same id is applied once", Allowed: anyString, Set: configurer.OptionalString(&o.change.ID)},
		{Flag: "base-revision", Usage: "revision that the change is based on; current overwrites changes made since you read the documents", Default: "current", Allowed: "a whole number or current", Set: o.setBaseRevision},
		{Flag: "who", Usage: "author of the change", Default: os.Getenv("USER"), Allowed: anyString, Set: configurer.OptionalString(&o.change.Who)},
		{Flag: "wait", Usage: "how long to wait until the change is in force on every entry", Default: "5s", Allowed: "a duration up to 5m", Set: configurer.Duration(&o.change.Wait, 0, maxWait)},
	}
}

func (o *options) setBaseRevision(v string) (err error) {
	if v == "current" {
		o.change.FromCurrent = true
		return nil
	}
	o.change.BaseRevision, err = strconv.ParseUint(v, 10, 64)
	return err
}

func (o *options) showSettings() []configurer.Setting {
	return []configurer.Setting{
		o.control(), o.output(),
		{Flag: "revision", Usage: "revision to show; 0 for the revision in force", Default: "0", Allowed: "a whole number", Set: configurer.Int(&o.revision, 0, math.MaxInt)},
		{Flag: "document", Usage: "documents to show", Default: "both", Allowed: "inventory, rules or both", Set: func(v string) error {
			o.document = commander.DocumentKind(v)
			switch o.document {
			case commander.Inventory, commander.Rules, commander.Both:
				return nil
			}
			return fmt.Errorf("unknown value")
		}},
	}
}

func (o *options) historySettings() []configurer.Setting {
	return []configurer.Setting{
		o.control(), o.output(),
		{Flag: "most", Usage: "maximum number of changes to list", Default: "20", Allowed: "1 to 10000", Set: configurer.Int(&o.historyLimit, 1, 10_000)},
	}
}

func (o *options) evacuateSettings() []configurer.Setting {
	return []configurer.Setting{
		o.control(), o.entries(), o.output(),
		{Flag: "operator-token", Usage: "the operator token; a check needs none", Allowed: anyString, Set: configurer.OptionalString(&o.commander.OperatorToken)},
		{Flag: "check", Usage: "only report how many slots of each service would remain", Default: "false", Allowed: "true or false", Switch: true, Set: configurer.Bool(&o.checkOnly)},
	}
}

func (o *options) burnSettings() []configurer.Setting {
	return []configurer.Setting{
		o.entries(), o.output(),
		{Flag: "page", Usage: "file to write an HTML page with charts to; none when empty", Allowed: "a file name", Set: configurer.OptionalString(&o.pageFile)},
	}
}

func (o *options) drawSettings() []configurer.Setting {
	return []configurer.Setting{
		{Flag: "from", Usage: "CSV export of the asset register", Allowed: "a file name", Set: configurer.String(&o.registerFile)},
		{Flag: "entry-port", Usage: "port on which entries accept calls", Default: "7100", Allowed: "a port number", Set: setPort(&o.register.EntryPort)},
		{Flag: "peer-port", Usage: "port on which entries accept connections from other entries", Default: "7200", Allowed: "a port number", Set: setPort(&o.register.PeerPort)},
	}
}

func (o *options) demoSettings() []configurer.Setting {
	return []configurer.Setting{
		{Flag: "ip", Usage: "loopback address to listen on", Default: "127.0.0.1", Allowed: "an IP address", Set: configurer.IP(&o.demoIP)},
		{Flag: "for", Usage: "how long to run; 0s means until Ctrl-C", Default: "0s", Allowed: "a duration", Set: configurer.Duration(&o.demoDuration, 0, math.MaxInt64)},
		{Flag: "logs", Usage: "print the programs' logs", Default: "false", Allowed: "true or false", Set: configurer.Bool(&o.demoLogs)},
	}
}

func setPort(p *uint16) func(string) error {
	return func(v string) error {
		n, err := strconv.ParseUint(v, 10, 16)
		*p = uint16(n)
		return err
	}
}
