package bounder

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

func body(n int) io.ReadCloser { return io.NopCloser(strings.NewReader(strings.Repeat("b", n))) }

// Guards against messages that use up the memory of a process: a single one, or many together.
func TestMessagesAreLimited(t *testing.T) {
	const total = 4 * freeBytes
	tests := map[string]struct {
		// sizes are those of the messages that are in memory, the last of which has the result err.
		sizes []int
		err   error
	}{
		"one of the largest size": {[]int{2 * freeBytes}, nil},
		"one over it":             {[]int{2*freeBytes + 1}, ErrTooLarge},
		"as many as fit":          {[]int{2 * freeBytes, 2 * freeBytes, 2 * freeBytes, 2 * freeBytes}, nil},
		"one more":                {[]int{2 * freeBytes, 2 * freeBytes, 2 * freeBytes, 2 * freeBytes, 2 * freeBytes}, ErrFull},
		"one more that is small":  {[]int{2 * freeBytes, 2 * freeBytes, 2 * freeBytes, 2 * freeBytes, freeBytes}, nil},
		"one that fits after one that was refused": {[]int{2 * freeBytes, 2 * freeBytes, 2 * freeBytes, 2*freeBytes + 1, 2 * freeBytes}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := New(Config{MessageBytes: 2 * freeBytes, TotalBytes: total})
			var open []*Message
			for i, size := range test.sizes {
				m := b.Limit(body(size))
				_, err := io.Copy(io.Discard, m)
				if err != nil {
					_ = m.Close()
				} else {
					open = append(open, m)
				}
				if i == len(test.sizes)-1 && !errors.Is(err, test.err) {
					t.Errorf("got error %v, want %v", err, test.err)
				}
			}
			for _, m := range open {
				_ = m.Close()
				_ = m.Close()
			}
			if used := b.used.Load(); used != 0 {
				t.Errorf("%d bytes are still counted once all messages are closed", used)
			}
		})
	}
}

// Guards against servers and clients that read a body of any length, and memory that stays counted after it.
func TestRequestsAndResponsesAreLimited(t *testing.T) {
	b := New(Config{MessageBytes: 2 * freeBytes, TotalBytes: 4 * freeBytes})
	var readErr error
	srv := httptest.NewServer(b.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, readErr = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strings.Repeat("b", 2*freeBytes+1))
	})))
	defer srv.Close()
	client := b.Client(&http.Transport{}, 0)
	defer client.CloseIdleConnections()
	for name, test := range map[string]struct {
		body io.Reader
		err  error
	}{
		"a large body in chunks":     {body(2*freeBytes + 1), ErrTooLarge},
		"a large body with a length": {strings.NewReader(strings.Repeat("b", 2*freeBytes+1)), ErrTooLarge},
		"a body that fits":           {body(2 * freeBytes), nil},
	} {
		readErr = nil
		res, err := client.Post(srv.URL, "text/plain", test.body)
		if err != nil {
			t.Fatal(name, err)
		}
		if !errors.Is(readErr, test.err) {
			t.Errorf("%s: the request was read with error %v, want %v", name, readErr, test.err)
		}
		if _, err = io.Copy(io.Discard, res.Body); !errors.Is(err, ErrTooLarge) {
			t.Errorf("%s: the response was read with error %v, want %v", name, err, ErrTooLarge)
		}
		_ = res.Body.Close()
	}
	if used := b.used.Load(); used != 0 {
		t.Errorf("%d bytes are still counted", used)
	}
}
