package deliverer

import (
	"context"
	"sync"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/peridot-control/arbiter"
	"peridotswitch.example/peridot-control/quarantiner"
)

// maxQueuedSuspects limits the reports that wait for the leader.
const maxQueuedSuspects = 4096

// suspectQueue holds the reports of suspects that the leader has not received.
type suspectQueue struct {
	mu    sync.Mutex
	queue []*delivererpb.Suspect
}

// add queues reports and returns whether there are any.
func (q *suspectQueue) add(reports []*delivererpb.Suspect) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue = append(q.queue, reports[:min(len(reports), maxQueuedSuspects-len(q.queue))]...)
	return len(reports) > 0
}

// take returns the queued reports and empties the queue.
func (q *suspectQueue) take() []*delivererpb.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	reports := q.queue
	q.queue = nil
	return reports
}

// requeue queues reports again that did not reach the leader, before later ones.
func (q *suspectQueue) requeue(reports []*delivererpb.Suspect) {
	q.mu.Lock()
	defer q.mu.Unlock()
	reports = append(reports, q.queue...)
	q.queue = reports[:min(len(reports), maxQueuedSuspects)]
}

// recordSuspects counts reported crashes on the leader and commits what follows for the list of contained requests.
func (d *Deliverer) recordSuspects(ctx context.Context, reports []*delivererpb.Suspect) error {
	if len(reports) == 0 {
		return nil
	}
	list := make([]quarantiner.Report, 0, len(reports))
	for _, s := range reports {
		list = append(list, quarantiner.Report{ContainedRequest: decodeSuspect(s), Cleared: s.Cleared})
	}
	d.quarantiner.Record(list)
	return d.proposeQuarantine(ctx)
}

// releaseExpired proposes to release the requests that have been contained for long enough.
func (d *Deliverer) releaseExpired() {
	held := d.cfg.Quarantine()
	if len(held.Requests) == 0 || d.quarantiner.Change(&held) == nil || !d.releasing.CompareAndSwap(false, true) {
		return
	}
	d.wg.Go(func() {
		defer d.releasing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
		defer cancel()
		if err := d.proposeQuarantine(ctx); err != nil {
			d.cfg.Log.Warn().Err(err).Msg("failed to release contained requests")
		}
	})
}

// proposeQuarantine commits the difference between what the leader has counted and the list of contained requests, if there is one.
func (d *Deliverer) proposeQuarantine(ctx context.Context) error {
	held := d.cfg.Quarantine()
	c := d.quarantiner.Change(&held)
	if c == nil {
		return nil
	}
	_, err := d.cfg.Propose(ctx, arbiter.Command{Quarantine: c})
	for i := range c.Contained {
		r := &c.Contained[i]
		d.cfg.Log.Warn().Str("fingerprint", r.Fingerprint).Str("service", r.Service).Str("method", r.Method).Str("path", r.Path).
			Interface("crashes", r.Crashes).Err(err).Bool("held", err == nil).Msg("request contained")
	}
	for _, fingerprint := range c.Released {
		d.cfg.Log.Warn().Str("fingerprint", fingerprint).Err(err).Bool("held", err == nil).Msg("request released")
	}
	return err
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
