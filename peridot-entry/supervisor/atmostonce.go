package supervisor

import (
	"peridotswitch.example/peridot-entry/claimer"
	"peridotswitch.example/peridot-entry/orderer"
)

// startAtMostOnce starts the claimer and the orderer, which at-most-once calls need. Every control member is a claim replica.
func (s *Supervisor) startAtMostOnce() {
	s.claimer = claimer.New(claimer.Config{
		Replicas:   s.cfg.Control,
		InstanceID: s.cfg.InstanceID,
		OnError:    func(err error) { s.cfg.Log.Warn().Err(err).Msg("claim replica not joined") },
	})
	s.orderer = orderer.New(orderer.Config{
		Claim:          s.claimer.Claim,
		Read:           s.claimer.Read,
		MaxAnswerBytes: s.cfg.ClaimAnswerBytes,
		Skew:           s.cfg.ClaimSkew,
	})
}
