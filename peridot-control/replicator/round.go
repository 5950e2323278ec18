package replicator

import (
	"context"

	"github.com/pkg/errors"
)

// ReadIndex returns the commit index for a linearizable read, once it is applied here. It relies on the leader lease; when the lease has
// expired, it runs a read round if Config.Lease is set. It fails with ErrUnavailable when this member isn't a confirmed leader.
func (r *Replicator) ReadIndex(ctx context.Context) (commit uint64, err error) {
	leased := false
	err = r.runOnLoop(ctx, func() { commit, leased = r.core.log.commit, r.core.hasLease() })
	switch {
	case err != nil:
		return 0, err
	case leased:
		return commit, r.WaitApplied(ctx, commit)
	case r.cfg.Lease > 0:
		// A configured lease may be short enough to expire between two heartbeats.
		return r.QuorumReadIndex(ctx)
	}
	return 0, ErrUnavailable
}

// pendingRead is a read that waits for a majority to acknowledge the read round started for it.
type pendingRead struct {
	term, round uint64
	confirmed   chan bool
}

// QuorumReadIndex returns the commit index for a linearizable read, once it is applied here, after a majority has acknowledged a
// message sent after the call. Unlike ReadIndex it doesn't depend on the clock, which may stop while a process or its host is suspended.
func (r *Replicator) QuorumReadIndex(ctx context.Context) (commit uint64, err error) {
	defer func() { err = errors.WithMessage(err, "confirm with a majority") }()
	read := &pendingRead{confirmed: make(chan bool, 1)}
	if err = r.runOnLoop(ctx, func() {
		round, ok := r.core.startReadRound()
		if !ok {
			read.confirmed <- false
			return
		}
		commit = r.core.log.commit
		read.term, read.round = r.core.vote.Term, round
		r.pendingReads = append(r.pendingReads, read)
	}); err != nil {
		return 0, err
	}
	select {
	case ok := <-read.confirmed:
		if !ok {
			return 0, ErrUnavailable
		}
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-r.ctx.Done():
		return 0, ErrUnavailable
	}
	return commit, r.WaitApplied(ctx, commit)
}

// resolvePendingReads answers the reads whose round is confirmed, and fails those of an earlier term.
func (r *Replicator) resolvePendingReads() {
	if len(r.pendingReads) == 0 {
		return
	}
	remaining := r.pendingReads[:0]
	confirmedRound := r.core.confirmedReadRound()
	for _, read := range r.pendingReads {
		switch {
		case r.core.role != leader || r.core.vote.Term != read.term:
			read.confirmed <- false
		case confirmedRound >= read.round:
			read.confirmed <- true
		default:
			remaining = append(remaining, read)
		}
	}
	r.pendingReads = remaining
}
