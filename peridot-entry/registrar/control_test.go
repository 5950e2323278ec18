package registrar

import (
	"sort"
	"strings"
	"testing"
	"time"
)

func TestApplyControlChanges(t *testing.T) {
	server := func(id, service string, state State) Server {
		return Server{Service: service, InstanceID: id, Address: "127.0.0.1:1", State: state}
	}
	type step struct {
		changes []Server
		full    bool
	}
	tests := map[string]struct {
		steps []step
		want  string
	}{
		"a full table":                              {[]step{{[]Server{server("a", "s", Ready), server("b", "s", Draining)}, true}}, "a=ready b=draining"},
		"a change":                                  {[]step{{[]Server{server("a", "s", Ready)}, true}, {[]Server{server("a", "s", Draining)}, false}}, "a=draining"},
		"a server that has left":                    {[]step{{[]Server{server("a", "s", Ready)}, true}, {[]Server{server("a", "s", Left)}, false}}, ""},
		"a full table without a server":             {[]step{{[]Server{server("a", "s", Ready)}, true}, {[]Server{server("b", "s", Ready)}, true}}, "b=ready"},
		"a full table of no servers":                {[]step{{[]Server{server("a", "s", Ready)}, true}, {nil, true}}, ""},
		"an instance that moves to another service": {[]step{{[]Server{server("a", "s", Ready)}, true}, {[]Server{server("a", "t", Ready)}, false}}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			r := New(Config{Now: func() time.Time { return now }})
			for _, s := range tt.steps {
				r.ApplyControlChanges(s.changes, s.full)
			}
			// No lease ends while control sends no changes.
			now = now.Add(24 * time.Hour)
			var got []string
			for _, s := range r.Servers("s") {
				got = append(got, s.InstanceID+"="+string(s.State))
			}
			sort.Strings(got)
			if text := strings.Join(got, " "); text != tt.want {
				t.Errorf("servers of service s are %q, want %q", text, tt.want)
			}
		})
	}
}

func TestInitialTableServersAreWarm(t *testing.T) {
	now := time.Now()
	r := New(Config{Now: func() time.Time { return now }})
	r.ApplyControlChanges([]Server{{Service: "s", InstanceID: "old", State: Ready}}, true)
	r.ApplyControlChanges([]Server{{Service: "s", InstanceID: "new", State: Ready, WarmUp: time.Second}}, false)
	for _, s := range r.Servers("s") {
		if warmsUp := s.ReadySince.Equal(now); warmsUp != (s.InstanceID == "new") {
			t.Errorf("%s: ReadySince is %v, and now is %v", s.InstanceID, s.ReadySince, now)
		}
	}
}
