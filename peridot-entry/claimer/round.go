package claimer

import (
	"context"
	"time"

	"peridotswitch.example/common/claimerpb"
	"peridotswitch.example/common/decider"
)

// round holds the replies to one broadcast.
type round struct {
	granted []replicaReply
	// highest is the highest promised ballot number among the refusals.
	highest       uint64
	expired, full bool
}

// currentGrants returns the grants but for those of replicas whose disk, as another grant shows, has been replaced by a newer one.
func (r *round) currentGrants() []replicaReply {
	positions := make([]int, len(r.granted))
	identities := make([][]uint64, len(r.granted))
	for i, g := range r.granted {
		positions[i], identities[i] = g.position, g.reply.Identities
	}
	var out []replicaReply
	for i, ok := range decider.CurrentDisks(positions, identities) {
		if ok {
			out = append(out, r.granted[i])
		}
	}
	return out
}

func (r *round) add(rr replicaReply) {
	if rr.err != nil {
		return
	}
	switch rr.reply.Status {
	case claimerpb.Status_STATUS_OK:
		r.granted = append(r.granted, rr)
	case claimerpb.Status_STATUS_REFUSED:
		r.highest = max(r.highest, rr.reply.Promised.GetNumber())
	case claimerpb.Status_STATUS_EXPIRED:
		r.expired = true
	case claimerpb.Status_STATUS_FULL:
		r.full = true
	}
}

// gather collects replies until wanted replicas have granted, all asked have replied or ctx ends.
//
// Once at least sufficient of them have granted, it waits at most fastQuorumWait for the rest, and not at all when wanted can't be reached.
func gather(ctx context.Context, replies <-chan replicaReply, asked, sufficient, wanted int) *round {
	r := &round{}
	var timeout <-chan time.Time
	for n := 0; n < asked; n++ {
		select {
		case rr := <-replies:
			r.add(rr)
		case <-timeout:
			return r
		case <-ctx.Done():
			return r
		}
		got := len(r.currentGrants())
		if got >= wanted || got+asked-n-1 < wanted && got >= sufficient {
			return r
		}
		if got >= sufficient && timeout == nil {
			timeout = time.After(fastQuorumWait)
		}
	}
	return r
}
