package reporter

import (
	"strings"

	dto "github.com/prometheus/client_model/go"
)

// sumCounters returns the sum of a counter over its labels; ok is false if the metric is not a counter.
func sumCounters(f *dto.MetricFamily) (sum float64, ok bool) {
	if f.GetType() != dto.MetricType_COUNTER {
		return 0, false
	}
	for _, m := range f.GetMetric() {
		sum += m.GetCounter().GetValue()
	}
	return sum, true
}

func kebabCase(name string) string { return strings.ReplaceAll(name, "_", "-") }
