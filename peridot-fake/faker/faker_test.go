package faker

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestMerge(t *testing.T) {
	for name, tt := range map[string]struct {
		text string
		ok   bool
	}{
		"some fields":          {`{"queue":2,"distribution":"heavy-tailed","service-time":"20ms"}`, true},
		"unknown field":        {`{"queues":2}`, false},
		"share above 1":        {`{"fail-share":1.5}`, false},
		"zero factor":          {`{"straggle":0}`, false},
		"negative number":      {`{"queue":-1}`, false},
		"malformed JSON":       {`{`, false},
		"unknown distribution": {`{"distribution":"normal"}`, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := DefaultBehaviour()
			before := b
			err := b.Merge([]byte(tt.text))
			if (err == nil) != tt.ok {
				t.Errorf("Merge returned %v, want success: %t", err, tt.ok)
			}
			if err != nil && b != before {
				t.Error("Merge failed, but changed the behaviour")
			}
		})
	}
}

// All distributions must have the same mean, or tests with different distributions would run under different loads.
func TestServiceTimes(t *testing.T) {
	for _, d := range []Distribution{Fixed, Exponential, HeavyTailed} {
		b := DefaultBehaviour()
		b.Distribution = d
		s := newSampler(7)
		const n = 200_000
		var sum time.Duration
		for range n {
			sum += s.serviceTime(&b)
		}
		mean := float64(sum) / n / float64(b.ServiceTime)
		if mean < 0.97 || mean > 1.03 {
			t.Errorf("%s: mean is %.3f times the service time, want 0.97 to 1.03", d, mean)
		}
	}
}

func TestFaults(t *testing.T) {
	b := DefaultBehaviour()
	f, err := New(Config{Service: "s", InstanceID: "i", Listen: "127.0.0.1:0", Slots: 2, Behaviour: b})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close(context.Background())
	url := "http://" + f.Address()
	for name, tt := range map[string]struct {
		behaviour string
		status    int
		header    string
		value     string
	}{
		"fails":                {`{"fail-share":1,"shed-share":0}`, http.StatusInternalServerError, "Peridot-Shed", ""},
		"sheds":                {`{"shed-share":1}`, http.StatusServiceUnavailable, "Peridot-Shed", "true"},
		"reports a false load": {`{"fail-share":0,"shed-share":0,"report-in-flight":5}`, http.StatusOK, "Peridot-Load", "in-flight=5,slots=2"},
		"drains":               {`{"fail-share":0,"shed-share":0,"drain":true}`, http.StatusOK, "Peridot-Draining", "true"},
	} {
		t.Run(name, func(t *testing.T) {
			res, err := http.Post(url+"/fake/behaviour", "application/json", strings.NewReader(tt.behaviour))
			if err != nil || res.StatusCode != http.StatusOK {
				t.Fatalf("POST /fake/behaviour: response %v, error %v", res, err)
			}
			res.Body.Close()
			if res, err = http.Get(url + "/x"); err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			text, _ := io.ReadAll(res.Body)
			if res.StatusCode != tt.status || res.Header.Get(tt.header) != tt.value {
				t.Errorf("%s is %q with status %d, want %q with %d (%s)", tt.header, res.Header.Get(tt.header), res.StatusCode, tt.value, tt.status, text)
			}
		})
	}
	if got := fmt.Sprint(f.counters.shed.Load(), f.counters.failed.Load()); got != "1 1" {
		t.Errorf("shed and failed calls counted: %s, want 1 1", got)
	}
}
