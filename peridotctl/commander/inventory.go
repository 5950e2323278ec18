package commander

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"peridotswitch.example/common/parser"
)

// GenerateInventory prints an inventory that it generates from a CSV export of an asset register.
func (c *Commander) GenerateInventory(registerFile string, cfg parser.RegisterConfig) (err error) {
	defer func() { err = errors.WithMessage(err, "generate inventory") }()
	if registerFile == "" {
		return &UsageError{"give --from FILE"}
	}
	f, err := os.Open(registerFile)
	if err != nil {
		return err
	}
	defer f.Close()
	inv, skipped, err := parser.ParseRegister(f, cfg)
	if err != nil {
		return err
	}
	text, err := yaml.Marshal(inv)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.cfg.ErrOut, "%d entries, %d services, %d availability zones; %d rows with other roles skipped\n",
		len(inv.Entries), len(inv.Services), len(inv.AvailabilityZones), skipped)
	_, err = c.cfg.Out.Write(text)
	return err
}
