package informer

import (
	"context"
	"net/http"
	"sort"
	"strings"
	"time"

	"peridotswitch.example/common/informerpb"
	"peridotswitch.example/peridot-entry/accountant"
)

type burnReply struct {
	// MergedBy is the instance id of the entry that merged the report.
	MergedBy string `json:"asked-of"`
	// Complete is true if every entry of the inventory responded and has been counting for at least the longest window.
	Complete bool               `json:"complete"`
	Entries  []entryReply       `json:"entries"`
	Services []serviceBurnReply `json:"services"`
}

type serviceBurnReply struct {
	Service         string       `json:"service"`
	ObjectiveMS     float64      `json:"objective-latency-ms"`
	ObjectiveShare  float64      `json:"objective-share"`
	ErrorBudgetLeft float64      `json:"error-budget-left"`
	FastBurn        bool         `json:"fast-burn"`
	SlowBurn        bool         `json:"slow-burn"`
	Windows         []windowBurn `json:"windows"`
	Series          []stepBurn   `json:"series"`
}

type windowBurn struct {
	Window   string  `json:"window"`
	BurnRate float64 `json:"burn-rate"`
	Calls    uint64  `json:"calls"`
	Missed   uint64  `json:"missed"`
}

type stepBurn struct {
	MinutesAgo int     `json:"minutes-ago"`
	BurnRate   float64 `json:"burn-rate"`
	Calls      uint64  `json:"calls"`
}

// serveBurn serves the fleet's burn rates as JSON, or as a page if the client accepts HTML.
func (n *Informer) serveBurn(w http.ResponseWriter, req *http.Request) {
	reply := n.mergeBurn(req.Context())
	if strings.Contains(req.Header.Get("Accept"), "text/html") {
		writePage(w, reply)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func (n *Informer) mergeBurn(ctx context.Context) *burnReply {
	reply := &burnReply{MergedBy: n.cfg.InstanceID, Complete: true, Services: []serviceBurnReply{}}
	results := queryAll(ctx, n, func(ctx context.Context, c informerpb.Informer) (*informerpb.BurnReply, error) {
		return c.Burn(ctx, &informerpb.BurnRequest{})
	})
	fleet := make(map[string]accountant.ServiceCounts)
	longest := accountant.Windows[len(accountant.Windows)-1]
	for _, res := range results {
		e := newEntryReply(res.InstanceID, res.Err)
		if res.Err == nil {
			e.CountedMS = res.Reply.CountedMs
			addCounts(fleet, res.Reply)
		}
		reply.Complete = reply.Complete && e.Answered && e.CountedMS >= longest.Milliseconds()
		reply.Entries = append(reply.Entries, e)
	}
	sort.Slice(reply.Entries, func(i, j int) bool { return reply.Entries[i].InstanceID < reply.Entries[j].InstanceID })
	cfg := n.cfg.Configuration()
	if cfg == nil {
		return reply
	}
	for _, s := range cfg.Inventory.Services {
		counts := fleet[s.Name]
		counts.Service = s.Name
		reply.Services = append(reply.Services, newServiceBurnReply(accountant.NewBurn(counts, s.Objective)))
	}
	return reply
}

func addCounts(fleet map[string]accountant.ServiceCounts, r *informerpb.BurnReply) {
	for _, s := range r.Services {
		var c accountant.ServiceCounts
		decodeCounts(c.Windows[:], s.Windows)
		decodeCounts(c.Steps[:], s.Steps)
		sum := fleet[s.Service]
		sum.Add(c)
		fleet[s.Service] = sum
	}
}

func newServiceBurnReply(b accountant.Burn) serviceBurnReply {
	r := serviceBurnReply{
		Service:         b.Service,
		ObjectiveMS:     float64(b.Objective.Latency.Std()) / float64(time.Millisecond),
		ObjectiveShare:  b.Objective.Share,
		ErrorBudgetLeft: b.BudgetLeft,
		FastBurn:        b.Fast,
		SlowBurn:        b.Slow,
	}
	for i, w := range accountant.Windows {
		c := b.Counts.Windows[i]
		r.Windows = append(r.Windows, windowBurn{accountant.WindowName(w), b.Rates[i], c.Total, c.Bad})
	}
	for i, c := range b.Counts.Steps {
		minutesAgo := i * int(accountant.StepWidth/time.Minute)
		r.Series = append(r.Series, stepBurn{minutesAgo, accountant.BurnRate(c, b.Objective), c.Total})
	}
	return r
}
