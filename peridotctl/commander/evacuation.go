package commander

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"peridotswitch.example/common/operatorpb"
)

// maxLoadAgeMS is the age up to which a load report tells how many calls a backend server runs. Without calls, servers are probed every few
// seconds.
const maxLoadAgeMS = 5_000

// evacuationReport is what evacuate and restore print.
type evacuationReport struct {
	Zone string `json:"zone"`
	// Changed is false for a check.
	Changed        bool             `json:"changed"`
	EvacuatedZones []string         `json:"evacuated-zones"`
	Services       []remainingSlots `json:"services"`
	// Missing says why the slots of the services are not known.
	Missing string `json:"missing,omitempty"`
}

// remainingSlots is how many slots a service has in the zone and in other zones that are not evacuated.
type remainingSlots struct {
	Service   string `json:"service"`
	InZone    int    `json:"in-zone"`
	Elsewhere int    `json:"elsewhere"`
	// InUse is the number of calls that the service's servers run; nil if it isn't known.
	InUse   *int   `json:"in-use,omitempty"`
	Warning string `json:"warning,omitempty"`
}

// Evacuate makes entries send nothing to the backend servers of an availability zone, and prints how many slots remain in other zones. With
// check, it only prints them.
func (c *Commander) Evacuate(ctx context.Context, zone string, check bool) (err error) {
	defer func() { err = errors.WithMessagef(err, "evacuate %s", zone) }()
	checked, err := c.requestEvacuation(ctx, &operatorpb.EvacuateRequest{Zone: zone, Check: true})
	if err != nil {
		return err
	}
	r := &evacuationReport{Zone: zone, Changed: !check, EvacuatedZones: checked.EvacuatedZones}
	for _, s := range checked.Services {
		r.Services = append(r.Services, remainingSlots{Service: s.Service, InZone: int(s.InZone), Elsewhere: int(s.Elsewhere)})
	}
	if len(r.Services) == 0 {
		// Servers that announce themselves to entries are not in control's table.
		if r.Services, err = c.slotsFromEntry(ctx, zone, checked.EvacuatedZones); err != nil {
			r.Missing = "slots that remain: " + err.Error()
		}
	}
	for i := range r.Services {
		r.Services[i].Warning = r.Services[i].warning()
	}
	if !check {
		changed, err := c.requestEvacuation(ctx, &operatorpb.EvacuateRequest{Zone: zone})
		if err != nil {
			return err
		}
		r.EvacuatedZones = changed.EvacuatedZones
	}
	return c.printEvacuation(r)
}

// Restore ends the evacuation of an availability zone.
func (c *Commander) Restore(ctx context.Context, zone string) (err error) {
	defer func() { err = errors.WithMessagef(err, "restore %s", zone) }()
	reply, err := c.requestEvacuation(ctx, &operatorpb.EvacuateRequest{Zone: zone, End: true})
	if err != nil {
		return err
	}
	return c.printEvacuation(&evacuationReport{Zone: zone, Changed: true, EvacuatedZones: reply.EvacuatedZones})
}

func (c *Commander) requestEvacuation(ctx context.Context, req *operatorpb.EvacuateRequest) (reply *operatorpb.EvacuateReply, err error) {
	err = c.callControl(ctx, func(ctx context.Context, o operatorpb.Operator) (err error) {
		reply, err = o.Evacuate(ctx, req)
		return err
	})
	return reply, err
}

// slotsFromEntry returns the slots and calls in use as one entry knows them.
func (c *Commander) slotsFromEntry(ctx context.Context, zone string, evacuated []string) (list []remainingSlots, err error) {
	var table struct {
		Servers []serverReport `json:"servers"`
	}
	if _, err = c.getJSON(ctx, "/peridot/servers", &table); err != nil {
		return nil, err
	}
	if len(table.Servers) == 0 {
		return nil, errors.New("neither control nor the entry knows a backend server")
	}
	services := make(map[string]*remainingSlots)
	unknown := make(map[string]bool)
	for _, s := range table.Servers {
		if s.State != "ready" {
			continue
		}
		r := services[s.Service]
		if r == nil {
			r = &remainingSlots{Service: s.Service, InUse: new(int)}
			services[s.Service] = r
		}
		switch {
		case s.AvailabilityZone == zone:
			r.InZone += s.Slots
		case !slices.Contains(evacuated, s.AvailabilityZone):
			r.Elsewhere += s.Slots
		}
		if s.Reported == nil || s.Reported.AgeMS > maxLoadAgeMS {
			unknown[s.Service] = true
			continue
		}
		*r.InUse += s.Reported.InFlight
	}
	for service, r := range services {
		if unknown[service] {
			r.InUse = nil
		}
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b remainingSlots) int { return cmp.Compare(a.Service, b.Service) })
	return list, nil
}

// warning returns why an evacuation may leave too few slots, or "" if it leaves enough. While the calls in use are not known, half of the slots
// must remain: services are sized for the loss of a zone, and seldom use more than that.
func (r *remainingSlots) warning() string {
	switch {
	case r.InZone == 0:
		return ""
	case r.InUse != nil && r.Elsewhere < *r.InUse:
		return fmt.Sprintf("service %s: %d calls are in use, but only %d slots remain in other zones", r.Service, *r.InUse, r.Elsewhere)
	case r.InUse == nil && 2*r.Elsewhere < r.InZone+r.Elsewhere:
		return fmt.Sprintf("service %s: less than half of the slots, %d of %d, remain in other zones; the calls in use are not known", r.Service, r.Elsewhere, r.InZone+r.Elsewhere)
	}
	return ""
}

func (c *Commander) printEvacuation(r *evacuationReport) error {
	if c.cfg.JSON {
		r.EvacuatedZones = append([]string{}, r.EvacuatedZones...)
		r.Services = append([]remainingSlots{}, r.Services...)
		return c.writeJSON(r)
	}
	var rows [][]string
	for _, s := range r.Services {
		inUse := "unknown"
		if s.InUse != nil {
			inUse = strconv.Itoa(*s.InUse)
		}
		rows = append(rows, []string{s.Service, strconv.Itoa(s.InZone), strconv.Itoa(s.Elsewhere), inUse})
	}
	if len(rows) > 0 {
		c.printTable("service\tslots in "+r.Zone+"\tslots that remain\tcalls in use", rows)
	}
	if r.Missing != "" {
		fmt.Fprintln(c.cfg.ErrOut, r.Missing)
	}
	for _, s := range r.Services {
		if s.Warning != "" {
			fmt.Fprintln(c.cfg.ErrOut, "warning:", s.Warning)
		}
	}
	if !r.Changed {
		fmt.Fprintln(c.cfg.Out, "nothing was changed")
	}
	fmt.Fprintln(c.cfg.Out, formatEvacuated(r.EvacuatedZones))
	return nil
}

func formatEvacuated(zones []string) string {
	if len(zones) == 0 {
		return "no availability zone is evacuated"
	}
	return "evacuated availability zones: " + strings.Join(zones, ", ")
}
