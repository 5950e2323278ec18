package reporter

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes JSON lines with kebab-case keys to w, and redirects warnings of the HTTP library there.
// It changes global settings of both libraries, so it must be called only once, before any server starts.
func NewLogger(w io.Writer, program, instanceID string) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(w).With().Timestamp().Str("program", program).Str("instance-id", instanceID).Logger()
	klog.SetLogger(kratosLogger{log})
	return log
}

// kratosLogger forwards kratos log messages of level warning and above.
type kratosLogger struct{ log zerolog.Logger }

// Log implements kratos's log.Logger.
func (l kratosLogger) Log(level klog.Level, keyvals ...any) error {
	if level >= klog.LevelWarn {
		l.log.Warn().Fields(keyvals).Msg("warning from the HTTP library")
	}
	return nil
}

const (
	// maxQueuedLines is the maximum number of lines queued for a slow writer. Further lines are dropped and counted.
	maxQueuedLines = 2000
)

// droppedLines counts the lines that the process's NonBlockingWriters have dropped.
var droppedLines atomic.Uint64

// NonBlockingWriter is an io.Writer that passes lines to another writer in a separate goroutine, so that callers of Write never block on a
// slow or stalled reader of the log.
type NonBlockingWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewNonBlockingWriter returns a NonBlockingWriter that writes to w and starts its goroutine.
func NewNonBlockingWriter(w io.Writer) *NonBlockingWriter {
	n := &NonBlockingWriter{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range n.lines {
			if dropped := n.dropped.Swap(0); dropped > 0 {
				_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines dropped\"}\n", dropped)
			}
			_, _ = w.Write(line)
		}
	}()
	return n
}

// Write queues a line, or drops it if the queue is full. It never fails.
func (n *NonBlockingWriter) Write(line []byte) (int, error) {
	select {
	case n.lines <- bytes.Clone(line):
	default:
		n.dropped.Add(1)
		droppedLines.Add(1)
	}
	return len(line), nil
}
