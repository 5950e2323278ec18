package parser

import (
	"encoding/csv"
	"fmt"
	"io"
	"net/netip"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// RegisterConfig says how to read an asset register.
type RegisterConfig struct {
	// EntryPort and PeerPort complete the ip column of entries.
	EntryPort uint16
	PeerPort  uint16
}

// Columns of an asset register; other columns are ignored.
const (
	columnInstance    = "instance-id"
	columnRole        = "role"
	columnZone        = "availability-zone"
	columnRegion      = "region"
	columnIP          = "ip"
	columnService     = "service"
	columnSlots       = "slots"
	columnConnections = "connections"
	columnLatency     = "objective-latency"
	columnShare       = "objective-share"
	columnProbes      = "probes-per-second"
)

// Roles of a register's rows; rows with other roles are skipped.
const (
	roleEntry  = "entry"
	roleServer = "backend-server"
)

// ParseRegister builds an inventory from the CSV export of an asset register and returns the number of rows that it skipped because
// of their role. The error is a *DocumentError that lists all problems with their lines.
func ParseRegister(r io.Reader, cfg RegisterConfig) (inv *Inventory, skipped int, err error) {
	p := &registerParser{cfg: cfg, zones: make(map[string]string), services: make(map[string]*Service), instances: make(map[string]bool)}
	p.read(r)
	if len(p.problems) > 0 {
		return nil, 0, &DocumentError{"register", p.problems}
	}
	inv = p.inventory()
	// A missing value belongs to no line of the register, so this checker has no line numbers.
	c := &checker{document: "register"}
	inv.check(c)
	return inv, p.skipped, c.err()
}

// registerParser accumulates the inventory while it reads the rows of a register.
type registerParser struct {
	cfg       RegisterConfig
	columns   map[string]int
	line      int
	row       []string
	zones     map[string]string
	services  map[string]*Service
	instances map[string]bool
	entries   []Entry
	skipped   int
	problems  []string
}

func (p *registerParser) read(r io.Reader) {
	c := csv.NewReader(io.LimitReader(r, MaxDocumentBytes))
	c.TrimLeadingSpace = true
	header, err := c.Read()
	if err != nil {
		p.addProblem(1, "no header row: %v", err)
		return
	}
	p.columns = make(map[string]int)
	for i, name := range header {
		p.columns[strings.ToLower(strings.TrimSpace(name))] = i
	}
	for _, name := range []string{columnInstance, columnRole, columnZone} {
		if _, ok := p.columns[name]; !ok {
			p.addProblem(1, "no column %q", name)
		}
	}
	if len(p.problems) > 0 {
		return
	}
	for {
		if p.row, err = c.Read(); err != nil {
			break
		}
		p.line, _ = c.FieldPos(0)
		p.parseRow()
	}
	var pe *csv.ParseError
	if errors.As(err, &pe) {
		p.addProblem(pe.Line, "%v", pe.Err)
	}
}

func (p *registerParser) addProblem(line int, format string, args ...any) {
	p.problems = append(p.problems, fmt.Sprintf("line %d: %s", line, fmt.Sprintf(format, args...)))
}

// field returns the text of a column in the current row, or "" if the register has no such column.
func (p *registerParser) field(column string) string {
	i, ok := p.columns[column]
	if !ok {
		return ""
	}
	return strings.TrimSpace(p.row[i])
}

func (p *registerParser) parseRow() {
	switch p.field(columnRole) {
	case roleEntry:
		p.parseInstance()
		p.parseEntry()
	case roleServer:
		p.parseInstance()
		p.parseServer()
	default:
		p.skipped++
	}
}

func (p *registerParser) parseInstance() {
	id, zone, region := p.field(columnInstance), p.field(columnZone), p.field(columnRegion)
	if id == "" {
		p.addProblem(p.line, "%s is empty", columnInstance)
	}
	if id != "" && p.instances[id] {
		p.addProblem(p.line, "duplicate instance %q", id)
	}
	p.instances[id] = true
	if zone == "" {
		p.addProblem(p.line, "%s is empty", columnZone)
		return
	}
	if earlier, ok := p.zones[zone]; ok && earlier != region {
		p.addProblem(p.line, "availability zone %q is in region %q, but in %q on an earlier line", zone, region, earlier)
		return
	}
	p.zones[zone] = region
}

func (p *registerParser) parseEntry() {
	ip, err := netip.ParseAddr(p.field(columnIP))
	if err != nil {
		p.addProblem(p.line, "%s is %q, want an IP number", columnIP, p.field(columnIP))
		return
	}
	p.entries = append(p.entries, Entry{
		InstanceID:       p.field(columnInstance),
		Address:          netip.AddrPortFrom(ip, p.cfg.EntryPort).String(),
		PeerAddress:      netip.AddrPortFrom(ip, p.cfg.PeerPort).String(),
		AvailabilityZone: p.field(columnZone),
	})
}

// parseServer merges the row's values into its service. Rows of the same service may omit values but must not contradict each other.
func (p *registerParser) parseServer() {
	name := p.field(columnService)
	if name == "" {
		p.addProblem(p.line, "%s is empty", columnService)
		return
	}
	s := p.services[name]
	if s == nil {
		s = &Service{Name: name}
		p.services[name] = s
	}
	setColumn(p, columnSlots, &s.Slots, strconv.Atoi)
	setColumn(p, columnConnections, &s.Connections, strconv.Atoi)
	setColumn(p, columnShare, &s.Objective.Share, parseFloat)
	setColumn(p, columnProbes, &s.ProbeBudget.PerSecond, parseFloat)
	setColumn(p, columnLatency, &s.Objective.Latency, func(text string) (v Duration, err error) {
		err = v.UnmarshalText([]byte(text))
		return v, err
	})
}

func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

// setColumn parses a column of the current row into dst. An empty column is ignored; a value that differs from an earlier row's is a
// problem.
func setColumn[T comparable](p *registerParser, column string, dst *T, parse func(string) (T, error)) {
	text := p.field(column)
	if text == "" {
		return
	}
	v, err := parse(text)
	if err != nil {
		p.addProblem(p.line, "%s is %q: %v", column, text, err)
		return
	}
	var zero T
	if *dst != zero && *dst != v {
		p.addProblem(p.line, "%s of service %q is %v, but %v on an earlier line", column, p.field(columnService), v, *dst)
		return
	}
	*dst = v
}

func (p *registerParser) inventory() *Inventory {
	inv := &Inventory{Entries: p.entries}
	for name, region := range p.zones {
		inv.AvailabilityZones = append(inv.AvailabilityZones, AvailabilityZone{Name: name, Region: region})
	}
	for _, s := range p.services {
		inv.Services = append(inv.Services, *s)
	}
	sort.Slice(inv.AvailabilityZones, func(i, j int) bool { return inv.AvailabilityZones[i].Name < inv.AvailabilityZones[j].Name })
	sort.Slice(inv.Services, func(i, j int) bool { return inv.Services[i].Name < inv.Services[j].Name })
	return inv
}
