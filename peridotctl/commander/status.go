package commander

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/operatorpb"
)

type statusReport struct {
	Revision        uint64          `json:"revision"`
	InForceRevision uint64          `json:"in-force-revision"`
	Term            uint64          `json:"term"`
	Leader          string          `json:"leader"`
	Alarms          []string        `json:"alarms"`
	EvacuatedZones  []string        `json:"evacuated-zones,omitempty"`
	Control         []controlReport `json:"control"`
	Entries         []entryReport   `json:"entries"`
	// SeenBy is the instance id of the entry that reported the backend servers.
	SeenBy  string         `json:"seen-by"`
	Servers []serverReport `json:"backend-servers"`
	// Contained lists the requests that entries refuse because they crashed backend servers.
	Contained []containedReport `json:"contained"`
	// Missing says which part of the status could not be read, and why.
	Missing string `json:"missing,omitempty"`
}

type controlReport struct {
	InstanceID       string `json:"instance-id"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	Role             string `json:"role"`
	Leader           bool   `json:"leader"`
	Alive            bool   `json:"alive"`
	LastIndex        uint64 `json:"last-index"`
}

type entryReport struct {
	InstanceID       string `json:"instance-id"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	Revision         uint64 `json:"revision"`
	Synchronised     bool   `json:"synchronised"`
	Stopping         bool   `json:"stopping"`
	LeaseLeftMS      uint32 `json:"lease-left-ms"`
}

type serverReport struct {
	Service          string `json:"service"`
	InstanceID       string `json:"instance-id"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	State            string `json:"state"`
	Ejected          bool   `json:"ejected"`
	Evacuated        bool   `json:"evacuated,omitempty"`
	LeaseLeftMS      int64  `json:"lease-left-ms"`
	Slots            int    `json:"slots"`
	InFlight         int    `json:"in-flight"`
	Reported         *struct {
		InFlight int   `json:"in-flight"`
		AgeMS    int64 `json:"age-ms"`
	} `json:"reported,omitempty"`
}

// Status prints the control members, the entries, and the backend servers as one entry sees them.
func (c *Commander) Status(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "status") }()
	var reply *operatorpb.StatusReply
	err = c.callControl(ctx, func(ctx context.Context, o operatorpb.Operator) (err error) {
		reply, err = o.Status(ctx, &operatorpb.StatusRequest{})
		return err
	})
	if err != nil {
		return err
	}
	r := newStatusReport(reply)
	var table struct {
		InstanceID string         `json:"instance-id"`
		Servers    []serverReport `json:"servers"`
	}
	if _, err = c.getJSON(ctx, "/peridot/servers", &table); err != nil {
		r.Missing = "backend servers: " + err.Error()
	}
	r.SeenBy, r.Servers = table.InstanceID, table.Servers
	if r.Contained, err = c.contained(ctx); err != nil && r.Missing == "" {
		r.Missing = "refused requests: " + err.Error()
	}
	if c.cfg.JSON {
		return c.writeJSON(r)
	}
	c.printStatus(r)
	return nil
}

func newStatusReport(reply *operatorpb.StatusReply) *statusReport {
	r := &statusReport{
		Revision:        reply.Revision,
		InForceRevision: reply.InForceRevision,
		Term:            reply.Term,
		Leader:          reply.Leader,
		Alarms:          append([]string{}, reply.Alarms...),
		EvacuatedZones:  reply.EvacuatedZones,
		Control:         []controlReport{},
		Entries:         []entryReport{},
	}
	for _, m := range reply.Control {
		r.Control = append(r.Control, controlReport{m.InstanceId, m.Address, m.AvailabilityZone, m.Role, m.Leader, m.Alive, m.LastIndex})
	}
	for _, m := range reply.Entries {
		r.Entries = append(r.Entries, entryReport{m.InstanceId, m.Address, m.AvailabilityZone, m.Revision, m.Synchronised, m.Stopping, m.LeaseLeftMs})
	}
	sort.Slice(r.Control, func(i, j int) bool { return r.Control[i].InstanceID < r.Control[j].InstanceID })
	sort.Slice(r.Entries, func(i, j int) bool { return r.Entries[i].InstanceID < r.Entries[j].InstanceID })
	return r
}

func (c *Commander) printStatus(r *statusReport) {
	fmt.Fprintf(c.cfg.Out, "revision %d, in force %d\n\n", r.Revision, r.InForceRevision)
	for _, a := range r.Alarms {
		fmt.Fprintln(c.cfg.Out, "alarm:", a)
	}
	if len(r.EvacuatedZones) > 0 {
		fmt.Fprintf(c.cfg.Out, "%s\n\n", formatEvacuated(r.EvacuatedZones))
	}
	var rows [][]string
	for _, m := range r.Control {
		rows = append(rows, []string{m.InstanceID, m.AvailabilityZone, m.Address, m.Role, yesNo(m.Leader), yesNo(m.Alive), strconv.FormatUint(m.LastIndex, 10)})
	}
	c.printTable("control member\tzone\taddress\trole\tleader\talive\tlast index", rows)
	rows = nil
	for _, e := range r.Entries {
		rows = append(rows, []string{e.InstanceID, e.AvailabilityZone, e.Address, strconv.FormatUint(e.Revision, 10), yesNo(e.Synchronised), yesNo(e.Stopping), formatMillis(int64(e.LeaseLeftMS))})
	}
	fmt.Fprintln(c.cfg.Out)
	c.printTable("entry\tzone\taddress\trevision\tsynchronised\tstopping\tlease left", rows)
	fmt.Fprintln(c.cfg.Out)
	if r.Missing != "" {
		fmt.Fprintln(c.cfg.ErrOut, r.Missing)
		return
	}
	rows = nil
	for _, s := range r.Servers {
		reported := "-"
		if s.Reported != nil {
			reported = fmt.Sprintf("%d, %s ago", s.Reported.InFlight, formatMillis(s.Reported.AgeMS))
		}
		state := s.State
		if s.Ejected {
			state += ", ejected"
		}
		if s.Evacuated {
			state += ", evacuated"
		}
		rows = append(rows, []string{s.Service, s.InstanceID, s.AvailabilityZone, s.Address, state, formatMillis(s.LeaseLeftMS), strconv.Itoa(s.Slots), strconv.Itoa(s.InFlight), reported})
	}
	c.printTable("service\tbackend server\tzone\taddress\tstate\tlease left\tslots\tin flight from here\treported in flight", rows)
	fmt.Fprintf(c.cfg.Out, "backend servers as seen by %s\n", r.SeenBy)
	c.printContained(r.Contained)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func formatMillis(n int64) string { return (time.Duration(n) * time.Millisecond).String() }
