package demonstrator

import (
	"context"
	"embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/common/reporter"
	control "peridotswitch.example/peridot-control/supervisor"
	entry "peridotswitch.example/peridot-entry/supervisor"
	"peridotswitch.example/peridot-fake/faker"
	"peridotswitch.example/peridotctl/commander"
)

//go:embed inventory.yaml rules.yaml
var files embed.FS

// Config configures a demo.
type Config struct {
	// IP is the loopback address to listen on.
	IP  string
	Out io.Writer
	// Log receives the logs of the control member and the entries.
	Log io.Writer
}

// token is the demo's operator token. It needs no secrecy, because the demo listens on a loopback address only.
const token = "demo-token"

const (
	controlPort            = 7400
	firstOperatorPort      = 7300
	serversPerService      = 2
	readyTimeout           = 20 * time.Second
	readyRetryInterval     = 50 * time.Millisecond
	defaultServiceTime     = 2 * time.Millisecond
	slowReportsServiceTime = 60 * time.Millisecond
)

// Demo is a running demo fleet.
type Demo struct {
	cfg       Config
	dir       string
	inventory *parser.Inventory
	entries   []string
	closers   []func(context.Context) error
}

// New starts a demo fleet, applies its configuration and makes a few calls; Close stops it.
func New(ctx context.Context, cfg Config) (d *Demo, err error) {
	defer func() { err = errors.WithMessage(err, "start demo") }()
	d = &Demo{cfg: cfg}
	defer func() {
		if err != nil {
			_ = d.Close(ctx)
		}
	}()
	inventory, rules, err := d.loadDocuments()
	if err != nil {
		return d, err
	}
	if d.dir, err = os.MkdirTemp("", "peridot-demo-"); err != nil {
		return d, err
	}
	if err = d.startFleet(); err != nil {
		return d, err
	}
	if err = d.apply(ctx, inventory, rules); err != nil {
		return d, err
	}
	return d, d.printExamples(ctx)
}

// loadDocuments returns the embedded documents, with the placeholder IP replaced by the demo's address.
func (d *Demo) loadDocuments() (inventory, rules []byte, err error) {
	text, err := files.ReadFile("inventory.yaml")
	if err != nil {
		return nil, nil, err
	}
	inventory = []byte(strings.ReplaceAll(string(text), " IP:", " "+d.cfg.IP+":"))
	if d.inventory, err = parser.ParseInventory(inventory); err != nil {
		return nil, nil, err
	}
	rules, err = files.ReadFile("rules.yaml")
	return inventory, rules, err
}

func (d *Demo) address(port int) string { return net.JoinHostPort(d.cfg.IP, fmt.Sprint(port)) }

func (d *Demo) startFleet() error {
	base := reporter.NewLogger(d.cfg.Log, "peridotctl", "demo")
	log := func(part string) zerolog.Logger { return base.With().Str("part", part).Logger() }
	c, err := control.New(control.Config{
		InstanceID:       "demo-control-1",
		AvailabilityZone: d.inventory.AvailabilityZones[0].Name,
		Listen:           d.address(controlPort),
		DataDir:          d.dir,
		OperatorToken:    token,
		Log:              log("demo-control-1"),
	})
	if err != nil {
		return err
	}
	d.closers = append(d.closers, c.Close)
	for i, e := range d.inventory.Entries {
		s, err := entry.New(entry.Config{
			InstanceID:       e.InstanceID,
			AvailabilityZone: e.AvailabilityZone,
			Listen:           e.Address,
			PeerListen:       e.PeerAddress,
			OperatorListen:   d.address(firstOperatorPort + i),
			Control:          []string{d.address(controlPort)},
			OperatorToken:    token,
			Log:              log(e.InstanceID),
		})
		if err != nil {
			return err
		}
		d.closers = append(d.closers, s.Close)
		d.entries = append(d.entries, e.Address)
	}
	return d.startServers()
}

func (d *Demo) startServers() error {
	for _, s := range d.inventory.Services {
		b := faker.DefaultBehaviour()
		b.ServiceTime = parser.Duration(defaultServiceTime)
		if s.Name == "slow-reports" {
			b.ServiceTime = parser.Duration(slowReportsServiceTime)
		}
		for i := range serversPerService {
			f, err := faker.New(faker.Config{
				Service:          s.Name,
				InstanceID:       fmt.Sprintf("%s-%d", s.Name, i+1),
				AvailabilityZone: d.inventory.AvailabilityZones[i%len(d.inventory.AvailabilityZones)].Name,
				Listen:           d.address(0),
				Entries:          d.entries,
				Slots:            s.Slots,
				Connections:      s.Connections,
				Behaviour:        b,
			})
			if err != nil {
				return err
			}
			d.closers = append(d.closers, f.Close)
		}
	}
	return nil
}

// apply applies the documents and waits until each entry serves calls to each service.
func (d *Demo) apply(ctx context.Context, inventory, rules []byte) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	c := commander.New(commander.Config{Control: []string{d.address(controlPort)}, OperatorToken: token, Out: d.cfg.Out, ErrOut: io.Discard})
	err := retry(ctx, func() error {
		return c.ApplyDocuments(ctx, commander.Change{ID: "demo", Who: "demo", Wait: readyTimeout}, inventory, rules)
	})
	if err != nil {
		return err
	}
	for _, address := range d.entries {
		for _, s := range d.inventory.Services {
			if err = retry(ctx, func() error { return d.checkReady(ctx, address, s.Name) }); err != nil {
				return errors.WithMessagef(err, "call %s through %s", s.Name, address)
			}
		}
	}
	return nil
}

// retry calls f until it succeeds or ctx is done.
func retry(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(readyRetryInterval):
		}
	}
}

func (d *Demo) checkReady(ctx context.Context, address, service string) error {
	_, err := d.call(ctx, address, http.MethodGet, service+"/ready", map[string]string{"Idempotency-Key": "ready-" + address + service})
	return err
}

// Close stops the fleet, in reverse order of its start, and removes the demo's files.
func (d *Demo) Close(ctx context.Context) (err error) {
	for i := len(d.closers) - 1; i >= 0; i-- {
		if closeErr := d.closers[i](ctx); err == nil {
			err = closeErr
		}
	}
	d.closers = nil
	if d.dir != "" {
		_ = os.RemoveAll(d.dir)
	}
	return errors.WithMessage(err, "stop demo")
}
