package supervisor

import (
	"time"

	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/quarantiner"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// crashCheckTimeout is how long a call whose connection was lost waits to learn whether its server crashed: a round trip between availability
// zones and the server's processing time.
const crashCheckTimeout = 15 * time.Millisecond

// startQuarantiner creates the quarantiner, which reports crashes to control and refuses the requests that control lists.
func (s *Routed) startQuarantiner() {
	s.quarantiner = quarantiner.New(quarantiner.Config{
		Now:               time.Now,
		Send:              s.evacuations.guard(s.sender.Do),
		ConnectionRefused: connectionRefused,
		Find:              s.registrar.Find,
		OnReport: func() {
			<-s.followerSet
			s.follower.ReportNow()
		},
		MaxCheck: crashCheckTimeout,
		OnCrash: func(key registrar.Key, incarnation uint64, requests int) {
			<-s.followerSet
			s.stats.meter.RecordCrash(key.Service)
			s.cfg.Log.Info().Str("server", key.InstanceID).Str("service", key.Service).Uint64("started", incarnation).Int("requests", requests).
				Msg("backend server crashed")
		},
		OnChange: logContained(s.cfg.Log),
	})
}

// admit refuses a call whose request crashes backend servers, before it takes a place in a queue or probes a server.
func (s *Routed) admit(c *dispatcher.Call) error { return s.quarantiner.Admit(admissionRequest(c)) }

// admissionRequest returns what identifies a call's request before a backend server is chosen for it.
func admissionRequest(c *dispatcher.Call) *sender.Request {
	return &sender.Request{
		Server: registrar.Key{Service: c.Service}, Host: c.Host, Account: c.Account, Method: c.Method, Path: c.Path, Header: c.Header, Body: c.Body,
	}
}
