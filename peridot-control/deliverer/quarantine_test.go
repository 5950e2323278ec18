package deliverer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/peridot-control/arbiter"
	"peridotswitch.example/peridot-control/quarantiner"
)

// Guards against renewals that wait for a slow disk, and against a list that lacks what was counted while a change of it was in progress or
// had failed.
func TestQuarantineIsCommittedWithoutHoldingUpRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := arbiter.New()
		fail, proposals := true, 0
		d := &Deliverer{
			cfg: Config{
				Now: time.Now, Log: zerolog.Nop(), Quarantine: list.Quarantine,
				Propose: func(_ context.Context, cmd arbiter.Command) (arbiter.ChangeResult, error) {
					proposals++
					time.Sleep(time.Second)
					if fail {
						return arbiter.ChangeResult{}, errNoLeader
					}
					return list.Apply(cmd), nil
				},
			},
			quarantiner: quarantiner.New(quarantiner.Config{Now: time.Now}),
		}
		report := func(fingerprint string) {
			s := &delivererpb.Suspect{Fingerprint: fingerprint, Crashes: []*delivererpb.Crash{{InstanceId: "a"}, {InstanceId: "b"}}}
			if fingerprint == "g" {
				s.Crashes[0].InstanceId = "c"
			}
			begin := time.Now()
			if d.recordSuspects([]*delivererpb.Suspect{s}); time.Since(begin) > 0 {
				t.Errorf("the report of %s waited for %v", fingerprint, time.Since(begin))
			}
		}
		report("f")
		report("g")
		d.wg.Wait()
		fail = false
		d.updateQuarantine()
		d.wg.Wait()
		d.updateQuarantine()
		d.wg.Wait()
		if q := list.Quarantine(); !q.Contains("f") || !q.Contains("g") || proposals != 2 {
			t.Errorf("%d proposals, list %v, want f and g with two", proposals, q.Requests)
		}
		reply := &delivererpb.WatchReply{}
		if d.addContained(reply, 0); len(reply.Contained) != 2 || len(reply.Contained[0].Crashes) != 2 {
			t.Errorf("an entry without the list gets %v", reply.Contained)
		}
		held := reply.ContainedVersion
		if reply = (&delivererpb.WatchReply{}); held == 0 {
			t.Error("the list has no version")
		}
		if d.addContained(reply, held); len(reply.Contained) != 0 {
			t.Errorf("an entry that holds the list gets it again: %v", reply.Contained)
		}
	})
}

// Reports that did not reach the leader must be sent again, those of a member that can't reach it must not pile up.
func TestSuspectQueue(t *testing.T) {
	var q suspectQueue
	if q.add(nil) {
		t.Error("nothing was added, but a renewal is wanted")
	}
	q.add([]*delivererpb.Suspect{{Fingerprint: "f"}})
	taken := q.take()
	q.add([]*delivererpb.Suspect{{Fingerprint: "g"}})
	q.requeue(taken)
	if got := q.take(); len(got) != 2 || got[0].Fingerprint != "f" || len(q.take()) != 0 {
		t.Errorf("the queue holds %v, want f and g once", got)
	}
	for range maxQueuedSuspects + 1 {
		q.add([]*delivererpb.Suspect{{Fingerprint: "f"}})
	}
	if n := len(q.take()); n != maxQueuedSuspects {
		t.Errorf("the queue holds %d reports, want %d", n, maxQueuedSuspects)
	}
}
