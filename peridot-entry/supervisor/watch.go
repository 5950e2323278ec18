package supervisor

import (
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/escaper"
	"peridotswitch.example/peridot-entry/accountant"
	"peridotswitch.example/peridot-entry/follower"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/quarantiner"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

func (s *Routed) watchRequest() *delivererpb.WatchRequest {
	<-s.followerSet
	s.reported = s.quarantiner.Reports()
	s.allowances.recordWatch()
	return s.newRequest(s.reported)
}

// report returns a report for control. It may run at the same time as watchRequest; what both contain counts once.
func (s *Routed) report() (report *delivererpb.WatchRequest, onTaken func()) {
	<-s.followerSet
	reported := s.quarantiner.Reports()
	return s.newRequest(reported), func() { s.quarantiner.Acknowledge(reported) }
}

// newRequest returns a request that describes this entry and what it has seen.
func (s *Routed) newRequest(reported []*quarantiner.CrashReport) *delivererpb.WatchRequest {
	return &delivererpb.WatchRequest{
		InstanceId:       s.cfg.InstanceID,
		Address:          s.cfg.Listen,
		PeerAddress:      s.cfg.OperatorListen,
		AvailabilityZone: s.cfg.AvailabilityZone,
		Incarnation:      s.incarnation,
		Synchronised:     s.synchronised.Load() && s.follower.CanServe(),
		Stopping:         s.stopping.Load(),
		ServerReports:    encodeServerReports(s.picker.TakeReports()),
		Suspects:         s.encodeReports(reported),
	}
}

// encodeReports returns the reports that can be sent, and drops the others: one of them would keep each watch from being sent.
func (s *Routed) encodeReports(reports []*quarantiner.CrashReport) (out []*delivererpb.Suspect) {
	var dropped []*quarantiner.CrashReport
	for _, r := range reports {
		m := quarantiner.EncodeReport(r)
		if _, err := proto.Marshal(m); err != nil {
			dropped = append(dropped, r)
			continue
		}
		out = append(out, m)
		if r.Cleared {
			// Control members of earlier builds count the crashes that a clearing names, until one without crashes follows.
			out = append(out, &delivererpb.Suspect{Fingerprint: m.Fingerprint, Cleared: true})
		}
	}
	s.dropReports(dropped)
	return out
}

// dropReports gives up reports that can't be sent.
func (s *Routed) dropReports(reports []*quarantiner.CrashReport) {
	if len(reports) == 0 {
		return
	}
	s.quarantiner.Acknowledge(reports)
	s.stats.meter.RecordDroppedReports(len(reports))
	s.cfg.Log.Error().Int("reports", len(reports)).Str("fingerprint", reports[0].Fingerprint).Msg("reports of crashes dropped")
}

// setContained passes on control's list of the requests that all entries refuse.
func (s *Routed) setContained(list []*delivererpb.Suspect) {
	reports := make([]quarantiner.CrashReport, 0, len(list))
	for _, c := range list {
		reports = append(reports, quarantiner.DecodeReport(c))
	}
	s.quarantiner.SetContained(reports)
}

func encodeServerReports(reports []picker.ServerReport) (out []*delivererpb.ServerReport) {
	for _, r := range reports {
		e := &delivererpb.ServerReport{
			Service: escaper.Escape(r.Key.Service), InstanceId: escaper.Escape(r.Key.InstanceID), Incarnation: r.Incarnation, Faults: uint32(r.Faults),
		}
		if r.RateLimit != nil {
			e.RateLimit = &delivererpb.RateLimit{Limited: r.RateLimit.Named, PerSecond: r.RateLimit.PerSecond}
		}
		out = append(out, e)
	}
	return out
}

// maxReportedFaults bounds the faults of one report that are believed.
const maxReportedFaults = 1000

// observeReports passes on what entries have reported of backend servers to control.
func (s *Routed) observeReports(reports []*delivererpb.ServerReport) {
	<-s.followerSet
	var out []picker.ServerReport
	for _, r := range reports {
		o := picker.ServerReport{
			Key:         registrar.Key{Service: escaper.Unescape(r.Service), InstanceID: escaper.Unescape(r.InstanceId)},
			Incarnation: r.Incarnation,
			Faults:      int(min(r.Faults, maxReportedFaults)),
		}
		if r.RateLimit != nil {
			o.RateLimit = &sender.RateLimit{Named: r.RateLimit.Limited, PerSecond: r.RateLimit.PerSecond}
		}
		out = append(out, o)
	}
	s.picker.ObserveReports(out)
}

const (
	// watchLogBurst is how many failed watches are logged in watchLogPeriod; all others are counted only.
	watchLogBurst  = 3
	watchLogPeriod = time.Second
)

// logWatchErrors returns a function that logs that watches fail.
func logWatchErrors(log zerolog.Logger) func(error) {
	sampled := log.Sample(&zerolog.BurstSampler{Burst: watchLogBurst, Period: watchLogPeriod})
	return func(err error) { sampled.Warn().Err(err).Msg("control not reached") }
}

// recordStuck logs and records that watches fail for a reason that retries can't mend; nil if they no longer do.
func recordStuck(log zerolog.Logger, meter *accountant.Meter, err error) {
	meter.SetWatchStuck(err != nil)
	if err != nil {
		log.Error().Err(err).Msg("configuration can't be followed")
		return
	}
	log.Info().Msg("configuration is followed again")
}

// recordWatchFailure counts a failed watch by its cause.
func (s *Routed) recordWatchFailure(cause follower.Cause) {
	<-s.followerSet
	s.stats.meter.RecordWatchFailure(string(cause))
}
