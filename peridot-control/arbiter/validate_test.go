package arbiter

import (
	"strings"
	"testing"
)

// Guards against records that a member can't send to the others or to entries, and against addresses at which an entry calls itself.
func TestValidateServer(t *testing.T) {
	tests := map[string]struct {
		change func(*Server)
		valid  bool
	}{
		"as usual":                        {func(*Server) {}, true},
		"IPv6":                            {func(s *Server) { s.Address = "[::1]:80" }, true},
		"names in another script":         {func(s *Server) { s.Service = "zgłoszenia" }, true},
		"no zone":                         {func(s *Server) { s.AvailabilityZone = "" }, true},
		"no id":                           {func(s *Server) { s.InstanceID = "" }, false},
		"an id that isn't text":           {func(s *Server) { s.InstanceID = "\xff" }, false},
		"an id with a line break":         {func(s *Server) { s.InstanceID = "a\nb" }, false},
		"a long id":                       {func(s *Server) { s.InstanceID = strings.Repeat("x", maxNameBytes+1) }, false},
		"no service":                      {func(s *Server) { s.Service = "" }, false},
		"a service that isn't text":       {func(s *Server) { s.Service = "\xff" }, false},
		"a zone that isn't text":          {func(s *Server) { s.AvailabilityZone = "\xff" }, false},
		"no slots":                        {func(s *Server) { s.Slots = 0 }, false},
		"too many slots":                  {func(s *Server) { s.Slots = maxSlots + 1 }, false},
		"no address":                      {func(s *Server) { s.Address = "" }, false},
		"a host name":                     {func(s *Server) { s.Address = "shop.example:80" }, false},
		"port 0":                          {func(s *Server) { s.Address = "10.0.0.1:0" }, false},
		"a port out of range":             {func(s *Server) { s.Address = "10.0.0.1:65536" }, false},
		"any address":                     {func(s *Server) { s.Address = "0.0.0.0:80" }, false},
		"any IPv6 address":                {func(s *Server) { s.Address = "[::]:80" }, false},
		"a group of hosts":                {func(s *Server) { s.Address = "224.0.0.1:80" }, false},
		"an address on one link":          {func(s *Server) { s.Address = "[fe80::1%eth0]:80" }, false},
		"left, without anything but ids":  {func(s *Server) { *s = Server{InstanceID: "a", State: Left} }, true},
		"left, with an id that isn't one": {func(s *Server) { *s = Server{InstanceID: "\xff", State: Left} }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := Server{Service: "s", InstanceID: "i-1", Address: "10.0.0.1:80", AvailabilityZone: "a", Slots: 6, State: Ready}
			test.change(&s)
			if err := s.Validate(); (err == nil) != test.valid {
				t.Errorf("error is %v, want valid: %t", err, test.valid)
			}
		})
	}
}
