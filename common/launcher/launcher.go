package launcher

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"peridotswitch.example/common/configurer"
)

// Exit codes of every daemon.
const (
	ExitFailed   = 1
	ExitSettings = 2
)

// Version is the release that --version prints.
const Version = "0.1.0"

// Daemon is a running daemon.
type Daemon struct {
	// Close stops the daemon gracefully. It waits for requests in flight until ctx ends.
	Close func(ctx context.Context) error
	// Failed delivers the error after which the daemon can't continue; nil for a daemon without such errors.
	Failed <-chan error
}

// Config configures Run.
type Config struct {
	Name        string
	Description string
	// Example is the example command line in the output of --help.
	Example  string
	Settings []configurer.Setting
	// Flags adds flags without an environment variable; nil for none.
	Flags func(*flaggy.Parser)
	// Check validates settings that depend on each other; nil for none.
	Check func() error
	// Start starts the daemon. If it returns a nil Daemon, Run returns 0.
	Start func() (*Daemon, error)
	// StopTimeout bounds a graceful stop. It is read when the stop begins, so Start may set it.
	StopTimeout *time.Duration
}

// Run parses args, starts the daemon, stops it on SIGTERM or SIGINT and returns the exit code. A second signal ends the graceful stop.
func Run(cfg Config, args []string) int {
	checkOnly := false
	p := flaggy.NewParser(cfg.Name)
	p.Description = cfg.Description
	p.Version = Version
	p.AdditionalHelpAppend = "\n  Example:\n    " + cfg.Example
	p.Bool(&checkOnly, "", "check", "validate the settings and exit")
	if cfg.Flags != nil {
		cfg.Flags(p)
	}
	resolve := configurer.AddFlags(&p.Subcommand, cfg.Settings, os.LookupEnv)
	err := p.ParseArgs(args)
	if err == nil {
		err = resolve()
	}
	if err == nil && cfg.Check != nil {
		err = cfg.Check()
	}
	if err != nil {
		return fail(cfg.Name, err, ExitSettings)
	}
	if checkOnly {
		return 0
	}
	d, err := cfg.Start()
	if err != nil {
		return fail(cfg.Name, err, ExitFailed)
	}
	if d == nil {
		return 0
	}
	return d.wait(&cfg)
}

// wait waits for a signal or a failure, stops the daemon and returns the exit code.
func (d *Daemon) wait(cfg *Config) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case err := <-d.Failed:
		return fail(cfg.Name, err, ExitFailed)
	}
	ctx, cancel := context.WithTimeout(context.Background(), *cfg.StopTimeout)
	defer cancel()
	ctx, stopNotify := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stopNotify()
	if err := d.Close(ctx); err != nil {
		return fail(cfg.Name, err, ExitFailed)
	}
	return 0
}

// fail prints err and returns code.
func fail(name string, err error, code int) int {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	return code
}
