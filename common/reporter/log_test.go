package reporter

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against log lines that are lost without a trace while the log's reader stalls.
func TestDroppedLinesAreCounted(t *testing.T) {
	m, err := NewMetrics(MetricsConfig{Program: "test", Log: zerolog.New(io.Discard)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = m.Close() }()
	before := droppedLines.Load()
	r, w := io.Pipe()
	defer func() { _ = r.Close() }()
	n := NewNonBlockingWriter(w)
	const more = 10
	// The writer may hold one line besides those queued.
	for range maxQueuedLines + 1 + more {
		_, _ = n.Write([]byte("line\n"))
	}
	dropped := droppedLines.Load() - before
	if dropped < more || dropped > more+1 {
		t.Errorf("%d lines are counted as dropped, want %d or %d", dropped, more, more+1)
	}
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if want := "test_dropped_log_lines " + strconv.FormatUint(droppedLines.Load(), 10) + "\n"; !strings.Contains(rec.Body.String(), want) {
		t.Errorf("the metrics have no line %q", want)
	}
}
