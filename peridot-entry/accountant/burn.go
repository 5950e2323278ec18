package accountant

import (
	"strconv"
	"time"

	"peridotswitch.example/common/parser"
)

// Thresholds of the burn rate. A service is in fast or slow burn when its rate is at or above the threshold over both a short and a
// long window.
const (
	FastBurnThreshold = 14.4
	SlowBurnThreshold = 6
)

// Indexes of Windows.
const (
	fiveMinutes = iota
	halfHour
	oneHour
	sixHours
)

// Burn is the state of the error budget of a service.
type Burn struct {
	Service   string
	Objective parser.Objective
	// BudgetLeft is the share of the error budget of the last six hours that is left; it is negative when the budget is exceeded.
	BudgetLeft float64
	// Rates holds the burn rate over each of Windows. A rate of 1 uses up the budget exactly.
	Rates  [len(Windows)]float64
	Counts ServiceCounts
	// Fast and Slow tell whether the service is in fast or slow burn.
	Fast bool
	Slow bool
}

// BurnRate returns the burn rate of c: the share of calls that missed the objective, relative to the share that it allows.
func BurnRate(c Count, o parser.Objective) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - o.Share)
}

// NewBurn computes the error budget and burn rates from the calls counted in c.
func NewBurn(c ServiceCounts, o parser.Objective) Burn {
	b := Burn{Service: c.Service, Objective: o, Counts: c}
	for i := range b.Rates {
		b.Rates[i] = BurnRate(c.Windows[i], o)
	}
	b.BudgetLeft = 1 - b.Rates[sixHours]
	b.Fast = b.Rates[fiveMinutes] >= FastBurnThreshold && b.Rates[oneHour] >= FastBurnThreshold
	b.Slow = b.Rates[halfHour] >= SlowBurnThreshold && b.Rates[sixHours] >= SlowBurnThreshold
	return b
}

// WindowName returns the name of a window as it is displayed, such as 30m.
func WindowName(w time.Duration) string {
	if w < time.Hour {
		return strconv.Itoa(int(w.Minutes())) + "m"
	}
	return strconv.Itoa(int(w.Hours())) + "h"
}
