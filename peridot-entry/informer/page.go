package informer

import (
	_ "embed" // page.html
	"fmt"
	"html/template"
	"net/http"
	"strings"

	"peridotswitch.example/peridot-entry/accountant"
)

//go:embed page.html
var pageText string

// Size of a chart in pixels.
const (
	chartWidth  = 720
	chartHeight = 120
)

type page struct {
	*burnReply
	Charts []chart
}

// chart plots one service's burn rate over the last six hours.
type chart struct {
	Service       serviceBurnReply
	Points        string
	Width, Height int
	// SlowBurnY and FastBurnY are the y coordinates of the threshold lines.
	SlowBurnY, FastBurnY float64
	MaxRate              float64
}

func writePage(w http.ResponseWriter, r *burnReply) {
	t, err := template.New("burn").Funcs(template.FuncMap{"percent": percent, "rate": rate}).Parse(pageText)
	if err != nil {
		writeJSON(w, http.StatusInternalServerError, errorReply{err.Error()})
		return
	}
	p := page{burnReply: r}
	for _, s := range r.Services {
		p.Charts = append(p.Charts, newChart(s))
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	_ = t.Execute(w, p)
}

func newChart(s serviceBurnReply) chart {
	c := chart{Service: s, Width: chartWidth, Height: chartHeight, MaxRate: accountant.FastBurnThreshold * 1.25}
	for _, step := range s.Series {
		c.MaxRate = max(c.MaxRate, step.BurnRate)
	}
	y := func(rate float64) float64 { return chartHeight * (1 - rate/c.MaxRate) }
	var points []string
	for i := len(s.Series) - 1; i >= 0; i-- {
		x := chartWidth * float64(len(s.Series)-1-i) / float64(len(s.Series)-1)
		points = append(points, fmt.Sprintf("%.1f,%.1f", x, y(s.Series[i].BurnRate)))
	}
	c.Points = strings.Join(points, " ")
	c.SlowBurnY, c.FastBurnY = y(accountant.SlowBurnThreshold), y(accountant.FastBurnThreshold)
	return c
}

func percent(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) }
func rate(v float64) string    { return fmt.Sprintf("%.2f", v) }
