package sender

import (
	"net/http"
	"testing"
	"time"
)

func TestParseRetryAfter(t *testing.T) {
	for name, tt := range map[string]struct {
		status int
		value  string
		want   time.Duration
	}{
		"seconds":             {503, "3", 3 * time.Second},
		"a fraction":          {503, "0.25", 250 * time.Millisecond},
		"spaces":              {503, " 2 ", 2 * time.Second},
		"too many requests":   {429, "3", 3 * time.Second},
		"another status":      {500, "3", 0},
		"a success":           {200, "3", 0},
		"none":                {503, "", 0},
		"zero":                {503, "0", 0},
		"negative":            {503, "-3", 0},
		"a date":              {503, "Fri, 31 Dec 1999 23:59:59 GMT", 0},
		"no number":           {503, "NaN", 0},
		"far too long":        {503, "1e300", maxRetryAfter},
		"infinite":            {503, "Inf", maxRetryAfter},
		"too small to matter": {503, "1e-300", 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := ParseRetryAfter(tt.status, http.Header{"Retry-After": {tt.value}}); got != tt.want {
				t.Errorf("ParseRetryAfter() = %v, want %v", got, tt.want)
			}
		})
	}
}
