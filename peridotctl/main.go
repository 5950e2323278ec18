// Program peridotctl is the operator's command line.
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

// Exit codes.
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
    peridotctl explain 7f0c9a3e-5c1f-4f7e-9a55-2f0b1d6f7d11
    peridotctl completion bash

  Each flag can be set by its environment variable, PERIDOT_ and the flag's name: PERIDOT_CONTROL for --control.
  Exit codes: 0 done, 1 failed, 2 bad flag or document, 3 change refused, 4 accepted but not yet in force, 5 not found,
  6 documents differ.`

func main() {
	os.Exit(run(os.Args[1:]))
}

// command is one subcommand.
type command struct {
	name        string
	description string
	settings    []configurer.Setting
	// argument names the positional argument; empty for none.
	argument string
	// parent is the subcommand that it stands under; empty for none.
	parent string
	run    func(ctx context.Context) error
}

func commands(o *options) []command {
	c := func() *commander.Commander { return commander.New(o.commander) }
	return []command{
		{name: "apply", description: "change the inventory or the rules", settings: o.applySettings(),
			run: func(ctx context.Context) error { return c().Apply(ctx, o.change) }},
		{name: "show", description: "print the inventory and the rules in force", settings: o.showSettings(),
			run: func(ctx context.Context) error { return c().Show(ctx, uint64(o.revision), o.document) }},
		{name: "diff", description: "compare files with what is in force", settings: []configurer.Setting{o.control(), o.inventoryFile(), o.rulesFile()},
			run: func(ctx context.Context) error {
				return c().Diff(ctx, o.change.InventoryFile, o.change.RulesFile)
			}},
		{name: "history", description: "list accepted changes", settings: o.historySettings(),
			run: func(ctx context.Context) error { return c().History(ctx, o.most) }},
		{name: "validate", description: "check files without a fleet", settings: []configurer.Setting{o.inventoryFile(), o.rulesFile()},
			run: func(context.Context) error { return c().Validate(o.change.InventoryFile, o.change.RulesFile) }},
		{name: "status", description: "show control members, entries and backend servers", settings: []configurer.Setting{o.control(), o.entries(), o.output()},
			run: func(ctx context.Context) error { return c().Status(ctx) }},
		{name: "member", description: "add, remove or move a control member", settings: o.memberSettings(), argument: "action",
			run: func(ctx context.Context) error {
				o.member.Action = o.argument
				return c().Member(ctx, o.member)
			}},
		{name: "burn", description: "report error budgets and burn rates of the fleet", settings: o.burnSettings(),
			run: func(ctx context.Context) error { return c().Burn(ctx, o.page) }},
		{name: "explain", description: "say where the time of a slow or failed call went", settings: []configurer.Setting{o.entries(), o.output()}, argument: "request-id",
			run: func(ctx context.Context) error { return c().Explain(ctx, o.argument) }},
		{name: "lift", description: "let a request pass again that was refused because it crashed backend servers", settings: []configurer.Setting{o.entries(), o.token()}, argument: "fingerprint",
			run: func(ctx context.Context) error { return c().Lift(ctx, o.argument) }},
		{name: "inventory", description: "make inventories"},
		{name: "draw", parent: "inventory", description: "draw an inventory from a CSV export of an asset register", settings: o.drawSettings(),
			run: func(context.Context) error { return c().Draw(o.file, o.register) }},
		{name: "demo", description: "run a small fleet in this process and try it", settings: o.demoSettings(),
			run: func(ctx context.Context) error { return demo(ctx, o) }},
	}
}

func run(args []string) int {
	o := &options{commander: commander.Config{Out: os.Stdout, Notes: os.Stderr}}
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
		return fail(&commander.UsageError{Text: err.Error()})
	}
	for _, c := range list {
		if !subcommands[c.name].Used || c.run == nil {
			continue
		}
		if err := resolvers[c.name](); err != nil {
			return fail(err)
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return fail(c.run(ctx))
	}
	p.ShowHelp()
	return exitSettings
}

// fail prints err, if any, and returns the exit code for it.
func fail(err error) int {
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

// demo runs the demo until ctx ends or its time is over.
func demo(ctx context.Context, o *options) error {
	log := io.Discard
	if o.demoLog {
		log = os.Stderr
	}
	d, err := demonstrator.New(ctx, demonstrator.Config{IP: o.demoIP, Out: os.Stdout, Log: log})
	if err != nil {
		return err
	}
	if o.demoFor > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.demoFor)
		defer cancel()
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), demoStopTimeout)
	defer cancel()
	return d.Close(stopCtx)
}
