package tracer

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Part is a named part of a call's duration.
type Part struct {
	Name string
	// Attempt is the number of the attempt, from 1; it is 0 for a part of the whole call.
	Attempt  int
	Duration time.Duration
}

// Label returns the part's name in a Server-Timing header, such as wait-2.
func (p Part) Label() string {
	if p.Attempt == 0 {
		return p.Name
	}
	return fmt.Sprintf("%s-%d", p.Name, p.Attempt)
}

// resolution is the unit of durations in a Server-Timing header. Parts are rounded to it so that the printed values add up.
const resolution = time.Microsecond

// Parts splits Total into parts whose sum is Total rounded to a microsecond. Time that belongs to no other part is in the part
// named other.
//
// The time of overlapping attempts, such as hedges, is counted once: the attempt that ended last counts in full, and each attempt
// that started before it counts up to the start of the next counted attempt.
func (t *Trace) Parts() []Part {
	parts := []Part{{Name: "receive", Duration: t.Receive}, {Name: "claim", Duration: t.Claim}}
	counted := t.countedAttempts()
	for i := range t.Attempts {
		if limit, ok := counted[i]; ok {
			parts = append(parts, t.Attempts[i].parts(i+1, limit)...)
		}
	}
	if t.Queue > 0 {
		parts = append(parts, Part{Name: "queue", Duration: t.Queue})
	}
	if t.Write > 0 {
		parts = append(parts, Part{Name: "write", Duration: t.Write})
	}
	other := t.Total.Round(resolution)
	for i := range parts {
		parts[i].Duration = parts[i].Duration.Round(resolution)
		other -= parts[i].Duration
	}
	return append(parts, Part{Name: "other", Duration: other})
}

// countedAttempts maps the index of each counted attempt to the longest duration of it that counts.
func (t *Trace) countedAttempts() map[int]time.Duration {
	order := make([]int, len(t.Attempts))
	last := -1
	for i := range t.Attempts {
		order[i] = i
		if t.Attempts[i].Result != Canceled && (last < 0 || t.Attempts[i].end() > t.Attempts[last].end()) {
			last = i
		}
	}
	if last < 0 {
		return nil
	}
	sort.SliceStable(order, func(a, b int) bool { return t.Attempts[order[a]].Start > t.Attempts[order[b]].Start })
	counted := map[int]time.Duration{last: t.Attempts[last].duration()}
	limit := t.Attempts[last].Start
	for _, i := range order {
		if a := &t.Attempts[i]; i != last && a.Start < limit {
			counted[i] = limit - a.Start
			limit = a.Start
		}
	}
	return counted
}

// parts returns the parts of attempt number n, cut off after limit. A canceled attempt is a single part, overtaken, of length limit.
func (a *Attempt) parts(n int, limit time.Duration) []Part {
	if a.Result == Canceled {
		return []Part{{"overtaken", n, limit}}
	}
	parts := []Part{
		{"queue", n, a.Queue},
		{"connect", n, a.Connect},
		{"send", n, a.Send},
		{"wait", n, a.Wait},
		{"read", n, a.Read},
	}
	for i := range parts {
		parts[i].Duration = min(parts[i].Duration, limit)
		limit -= parts[i].Duration
	}
	return parts
}

func (a *Attempt) duration() time.Duration { return a.Queue + a.Connect + a.Send + a.Wait + a.Read }

func (a *Attempt) end() time.Duration { return a.Start + a.duration() }

// ServerTiming returns t as the value of a Server-Timing header, in milliseconds. The entry total is the sum of all others.
func (t *Trace) ServerTiming() string {
	var b strings.Builder
	for _, p := range append(t.Parts(), Part{Name: "total", Duration: t.Total.Round(resolution)}) {
		if b.Len() > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%s;dur=%.3f", p.Label(), float64(p.Duration)/float64(time.Millisecond))
	}
	return b.String()
}
