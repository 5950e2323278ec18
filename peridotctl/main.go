// Command peridotctl is the command-line tool for operators of a fleet.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"peridotswitch.example/common/configurer"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridotctl/commander"
	"peridotswitch.example/peridotctl/demonstrator"
)

// Exit codes; 0 means success.
const (
	exitFailed     = 1
	exitSettings   = 2
	exitRefused    = 3
	exitNotInForce = 4
	exitNotFound   = 5
	exitDifferent  = 6
)

const version = "0.1.0"

const examples = `
  Examples:
    peridotctl demo
    peridotctl inventory draw --from register.csv >inventory.yaml
    peridotctl validate --inventory inventory.yaml --rules rules.yaml
    peridotctl diff --rules rules.yaml
    PERIDOT_OPERATOR_TOKEN=... peridotctl apply --rules rules.yaml
    peridotctl status --output json
    peridotctl evacuate centro-a --check
    peridotctl explain 7f0c9a3e-5c1f-4f7e-9a55-2f0b1d6f7d11
    peridotctl completion bash

  Each flag can also be set with an environment variable named PERIDOT_ and the flag's name, such as PERIDOT_CONTROL for --control.
  Exit codes: 0 success, 1 failure, 2 invalid flag or document, 3 change refused, 4 accepted but not yet in force, 5 not found,
  6 documents differ.`

func main() {
	os.Exit(run(os.Args[1:]))
}

// command describes a subcommand.
type command struct {
	name        string
	description string
	settings    []configurer.Setting
	// argument is the name of the positional argument; empty for none.
	argument string
	// parent is the name of the subcommand that this one belongs to; empty for none.
	parent string
	run    func(ctx context.Context) error
}

func commands(o *options) []command {
	newCommander := func() *commander.Commander { return commander.New(o.commander) }
	return []command{
		{name: "apply", description: "apply a new inventory or new rules", settings: o.applySettings(),
			run: func(ctx context.Context) error { return newCommander().Apply(ctx, o.change) }},
		{name: "show", description: "print the inventory and the rules in force", settings: o.showSettings(),
			run: func(ctx context.Context) error { return newCommander().Show(ctx, uint64(o.revision), o.document) }},
		{name: "diff", description: "compare files with the documents in force", settings: []configurer.Setting{o.control(), o.inventoryFile(), o.rulesFile()},
			run: func(ctx context.Context) error {
				return newCommander().Diff(ctx, o.change.InventoryFile, o.change.RulesFile)
			}},
		{name: "history", description: "list accepted changes", settings: o.historySettings(),
			run: func(ctx context.Context) error { return newCommander().History(ctx, o.historyLimit) }},
		{name: "validate", description: "check files without contacting a fleet", settings: []configurer.Setting{o.inventoryFile(), o.rulesFile()},
			run: func(context.Context) error {
				return newCommander().Validate(o.change.InventoryFile, o.change.RulesFile)
			}},
		{name: "status", description: "show control members, entries and backend servers", settings: []configurer.Setting{o.control(), o.entries(), o.output()},
			run: func(ctx context.Context) error { return newCommander().Status(ctx) }},
		{name: "member", description: "add, remove or move a control member", settings: o.memberSettings(), argument: "action",
			run: func(ctx context.Context) error {
				o.member.Action = o.argument
				return newCommander().ChangeMember(ctx, o.member)
			}},
		{name: "burn", description: "show error budgets and burn rates of the fleet", settings: o.burnSettings(),
			run: func(ctx context.Context) error { return newCommander().Burn(ctx, o.pageFile) }},
		{name: "explain", description: "show where a slow or failed call spent its time", settings: []configurer.Setting{o.entries(), o.output()}, argument: "request-id",
			run: func(ctx context.Context) error { return newCommander().Explain(ctx, o.argument) }},
		{name: "lift", description: "accept a request again that is refused because it crashed backend servers", settings: []configurer.Setting{o.entries(), o.token()}, argument: "fingerprint",
			run: func(ctx context.Context) error { return newCommander().Lift(ctx, o.argument) }},
		{name: "evacuate", description: "send nothing more to the backend servers of an availability zone", settings: o.evacuateSettings(), argument: "zone",
			run: func(ctx context.Context) error { return newCommander().Evacuate(ctx, o.argument, o.checkOnly) }},
		{name: "restore", description: "end the evacuation of an availability zone", settings: []configurer.Setting{o.control(), o.output(), o.token()}, argument: "zone",
			run: func(ctx context.Context) error { return newCommander().Restore(ctx, o.argument) }},
		{name: "inventory", description: "generate inventories"},
		{name: "draw", parent: "inventory", description: "generate an inventory from a CSV export of an asset register", settings: o.drawSettings(),
			run: func(context.Context) error { return newCommander().GenerateInventory(o.registerFile, o.register) }},
		{name: "demo", description: "run a small fleet in this process and make example calls", settings: o.demoSettings(),
			run: func(ctx context.Context) error { return demo(ctx, o) }},
	}
}

func run(args []string) int {
	o := &options{commander: commander.Config{Out: os.Stdout, ErrOut: os.Stderr}}
	p := flaggy.NewParser("peridotctl")
	p.Description = "Operate a peridotswitch fleet."
	p.Version = version
	p.AdditionalHelpAppend = examples
	list := commands(o)
	subcommands := make(map[string]*flaggy.Subcommand)
	resolvers := make(map[string]func() error)
	for _, c := range list {
		s := flaggy.NewSubcommand(c.name)
		s.Description = c.description
		subcommands[c.name] = s
		resolvers[c.name] = configurer.AddFlags(s, c.settings, os.LookupEnv)
		if c.argument != "" {
			s.AddPositionalValue(&o.argument, c.argument, 1, true, c.argument)
		}
		if c.parent != "" {
			subcommands[c.parent].AttachSubcommand(s, 1)
			continue
		}
		p.AttachSubcommand(s, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		return reportError(&commander.UsageError{Text: err.Error()})
	}
	for _, c := range list {
		if !subcommands[c.name].Used || c.run == nil {
			continue
		}
		if err := resolvers[c.name](); err != nil {
			return reportError(err)
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return reportError(c.run(ctx))
	}
	p.ShowHelp()
	return exitSettings
}

// reportError prints err to standard error, unless it is nil, and returns the exit code for it.
func reportError(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "peridotctl:", err)
	var setting *configurer.Error
	var usage *commander.UsageError
	var document *parser.DocumentError
	var refused *commander.RefusedError
	var notInForce *commander.NotInForceError
	switch {
	case errors.As(err, &setting), errors.As(err, &usage), errors.As(err, &document):
		return exitSettings
	case errors.As(err, &refused):
		return exitRefused
	case errors.As(err, &notInForce):
		return exitNotInForce
	case errors.Is(err, commander.ErrNotFound):
		return exitNotFound
	case errors.Is(err, commander.ErrDifferent):
		return exitDifferent
	}
	return exitFailed
}

const demoStopTimeout = 20 * time.Second

// demo runs the demo until ctx is done or the duration given with --for has elapsed.
func demo(ctx context.Context, o *options) error {
	log := io.Discard
	if o.demoLogs {
		log = os.Stderr
	}
	d, err := demonstrator.New(ctx, demonstrator.Config{IP: o.demoIP, Out: os.Stdout, Log: log})
	if err != nil {
		return err
	}
	if o.demoDuration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.demoDuration)
		defer cancel()
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), demoStopTimeout)
	defer cancel()
	return d.Close(stopCtx)
}
