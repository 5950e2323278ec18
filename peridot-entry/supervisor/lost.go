package supervisor

import (
	"time"

	"github.com/rs/zerolog"

	"peridotswitch.example/peridot-entry/registrar"
)

const (
	// lostLogBurst is how many lost attempts are logged in lostLogPeriod; many servers may be full at once.
	lostLogBurst  = 5
	lostLogPeriod = time.Second
)

// newLostRecorder returns a function that logs and counts attempts that have had no response for much longer than expected.
func (s *Routed) newLostRecorder() func(server registrar.Key, replaced bool) {
	sampled := s.cfg.Log.Sample(&zerolog.BurstSampler{Burst: lostLogBurst, Period: lostLogPeriod})
	return func(server registrar.Key, replaced bool) {
		s.stats.meter.RecordLost(server.Service, replaced)
		sampled.Info().Str("server", server.InstanceID).Str("service", server.Service).Bool("replaced", replaced).Msg("no response for much longer than expected")
	}
}
