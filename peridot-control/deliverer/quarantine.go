package deliverer

import (
	"context"
	"slices"
	"sync"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/peridot-control/arbiter"
	"peridotswitch.example/peridot-control/quarantiner"
)

const (
	// maxQueuedSuspects limits the reports that wait for the leader, and maxSentSuspects those that are sent to it at a time: a renewal that is
	// too large to be sent would isolate this member.
	maxQueuedSuspects = 4096
	maxSentSuspects   = 256
	// maxPathBytes limits the path of a suspect, which is only shown to operators. Entries of earlier versions send up to 64 KiB; others send
	// 1 KiB, which can take four times as much when it is escaped.
	maxPathBytes = 8 << 10
)

// suspectQueue holds the reports of suspects that the leader has not received.
type suspectQueue struct {
	mu    sync.Mutex
	queue []*delivererpb.Suspect
}

// add queues reports and returns whether there are any.
func (q *suspectQueue) add(reports []*delivererpb.Suspect) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range reports {
		s.Path = validText(s.Path[:min(len(s.Path), maxPathBytes)])
	}
	q.queue = append(q.queue, reports[:min(len(reports), maxQueuedSuspects-len(q.queue))]...)
	return len(reports) > 0
}

// take removes up to maxSentSuspects reports from the queue and returns them.
func (q *suspectQueue) take() []*delivererpb.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(len(q.queue), maxSentSuspects)
	reports := slices.Clone(q.queue[:n])
	q.queue = q.queue[n:]
	return reports
}

// isEmpty reports whether nothing is queued.
func (q *suspectQueue) isEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.queue) == 0
}

// requeue queues reports again that did not reach the leader, before later ones.
func (q *suspectQueue) requeue(reports []*delivererpb.Suspect) {
	q.mu.Lock()
	defer q.mu.Unlock()
	reports = append(reports, q.queue...)
	q.queue = reports[:min(len(reports), maxQueuedSuspects)]
}

// recordSuspects counts reported crashes on the leader.
func (d *Deliverer) recordSuspects(reports []*delivererpb.Suspect) {
	if len(reports) == 0 {
		return
	}
	list := make([]quarantiner.Report, 0, len(reports))
	for _, s := range reports {
		list = append(list, quarantiner.Report{ContainedRequest: decodeSuspect(s), Cleared: s.Cleared})
	}
	d.quarantiner.Record(list)
	d.updateQuarantine()
}

// updateQuarantine commits the difference between what the leader has counted and the list of contained requests, if there is one. It doesn't
// wait for that, because renewals must not depend on the disk.
func (d *Deliverer) updateQuarantine() {
	held := d.cfg.Quarantine()
	if !d.updatingQuarantine.CompareAndSwap(false, true) {
		return
	}
	c := d.quarantiner.Change(&held)
	if c == nil {
		d.updatingQuarantine.Store(false)
		return
	}
	d.wg.Go(func() {
		defer d.updatingQuarantine.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
		defer cancel()
		_, err := d.cfg.Propose(ctx, arbiter.Command{Quarantine: c})
		d.logQuarantineChange(c, err)
	})
}

func (d *Deliverer) logQuarantineChange(c *arbiter.QuarantineChange, err error) {
	for i := range c.Contained {
		r := &c.Contained[i]
		d.cfg.Log.Warn().Str("fingerprint", r.Fingerprint).Str("service", r.Service).Str("method", r.Method).Str("path", r.Path).
			Interface("crashes", r.Crashes).Err(err).Bool("held", err == nil).Msg("request contained")
	}
	for _, fingerprint := range c.Released {
		d.cfg.Log.Warn().Str("fingerprint", fingerprint).Err(err).Bool("held", err == nil).Msg("request released")
	}
}

// addContained adds the contained requests if the list is newer than the one that the entry holds.
func (d *Deliverer) addContained(reply *delivererpb.WatchReply, held uint64) {
	q := d.cfg.Quarantine()
	if reply.ContainedVersion = q.Version; q.Version <= held {
		return
	}
	for i := range q.Requests {
		reply.Contained = append(reply.Contained, encodeSuspect(&q.Requests[i]))
	}
}

func encodeSuspect(r *arbiter.ContainedRequest) *delivererpb.Suspect {
	s := &delivererpb.Suspect{Fingerprint: r.Fingerprint, Service: r.Service, Method: r.Method, Path: r.Path}
	for _, c := range r.Crashes {
		s.Crashes = append(s.Crashes, &delivererpb.Crash{InstanceId: c.InstanceID, Incarnation: c.Incarnation})
	}
	return s
}

func decodeSuspect(s *delivererpb.Suspect) arbiter.ContainedRequest {
	r := arbiter.ContainedRequest{Fingerprint: s.Fingerprint, Service: s.Service, Method: s.Method, Path: s.Path}
	for _, c := range s.Crashes {
		r.Crashes = append(r.Crashes, arbiter.Crash{InstanceID: c.InstanceId, Incarnation: c.Incarnation})
	}
	return r
}
