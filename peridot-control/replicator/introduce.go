package replicator

import (
	"context"
	"slices"
	"sync"
	"time"

	"peridotswitch.example/peridot-control/replicatorpb"
)

// Timing of Introduce calls. spareTTL is how long a process that asked to join counts as a spare without asking again.
const (
	introduceInterval = 300 * time.Millisecond
	introduceTimeout  = 400 * time.Millisecond
	spareTTL          = 3 * time.Second
)

// discovery holds what Introduce calls have revealed about other processes.
type discovery struct {
	mu sync.Mutex
	// spares are the processes that have asked to join recently, by member id.
	spares map[uint64]spare
	// memberAddresses are the addresses of the members that other processes have reported.
	memberAddresses map[string]bool
	// leaving are the members that have announced that they stop.
	leaving map[uint64]leaving
}

// leaving is the announcement of a member that it stops: when it was first made, and until when it counts.
type leaving struct {
	since, expires time.Time
}

// spare is a process that has asked to join.
type spare struct {
	member  *replicatorpb.Member
	expires time.Time
}

// Spares returns the processes that have asked to join and are not members, ordered by instance id.
func (r *Replicator) Spares() []*replicatorpb.Member {
	members := r.Status().Members
	return slices.DeleteFunc(r.discovery.liveSpares(), func(m *replicatorpb.Member) bool {
		return slices.ContainsFunc(members, func(ms MemberStatus) bool { return ms.Member.Id == m.Id })
	})
}

// liveSpares drops the expired spares and returns the others, ordered by instance id.
func (d *discovery) liveSpares() []*replicatorpb.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*replicatorpb.Member
	for id, s := range d.spares {
		if time.Now().After(s.expires) {
			delete(d.spares, id)
			continue
		}
		out = append(out, s.member)
	}
	slices.SortFunc(out, func(a, b *replicatorpb.Member) int {
		if a.InstanceId < b.InstanceId {
			return -1
		}
		return 1
	})
	return out
}

func (d *discovery) addSpare(m *replicatorpb.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spares == nil {
		d.spares = make(map[uint64]spare)
	}
	// A process that lost its data directory twice must not appear beside its earlier self, which would supersede it.
	for id, s := range d.spares {
		if s.member.Address == m.Address {
			delete(d.spares, id)
		}
	}
	d.spares[m.Id] = spare{m, time.Now().Add(spareTTL)}
}

// Introduce implements replicatorpb.Replicator.
func (r *Replicator) Introduce(ctx context.Context, req *replicatorpb.IntroduceRequest) (*replicatorpb.IntroduceReply, error) {
	reply := &replicatorpb.IntroduceReply{}
	err := r.runOnLoop(ctx, func() {
		c := r.core
		reply.Member, reply.Membership = r.self(), c.log.membership()
		reply.Formed = len(reply.Membership.Members) > 0
		reply.Member.Voter = !reply.Formed && !r.isSpare()
		reply.Removed = req.Formed && c.hasLease() && c.log.member(req.Member.Id) == nil
	})
	if err != nil {
		return nil, err
	}
	switch {
	case isLeavingRequest(req):
		r.discovery.addLeaving(req.Member.Id)
	case !req.Formed:
		r.discovery.addSpare(req.Member)
	}
	return reply, nil
}

// introduceLoop calls Introduce on the other processes while this one is not a member of a cluster, or has known no leader for more than
// twice the election timeout and so may have been removed.
func (r *Replicator) introduceLoop() {
	startTime := time.Now()
	lastLeaderSeen := startTime
	for {
		st := r.Status()
		joined := slices.ContainsFunc(st.Members, func(m MemberStatus) bool { return m.Member.Id == st.Self.Id })
		if joined && st.Leader != nil {
			lastLeaderSeen = time.Now()
		}
		if !r.stopping.Load() && (len(st.Members) == 0 || !joined || time.Since(lastLeaderSeen) > 2*r.cfg.Election) {
			r.introduceOnce(st, startTime)
		}
		select {
		case <-r.ctx.Done():
			return
		case <-time.After(introduceInterval):
		}
	}
}

func (r *Replicator) introduceOnce(st *Status, startTime time.Time) {
	replies := r.introduceToAll(st)
	formed := false
	for _, reply := range replies {
		formed = formed || reply.Formed
		r.discovery.setMemberAddresses(reply.Membership)
		if reply.Removed {
			r.rejoinAsNewMember(st.Self.Id)
			return
		}
	}
	if len(st.Members) == 0 && !formed {
		r.bootstrap(st.Self, replies, time.Since(startTime))
	}
}

// introduceToAll calls Introduce on all initial members, known members and join addresses, and returns the replies received.
func (r *Replicator) introduceToAll(st *Status) (replies []*replicatorpb.IntroduceReply) {
	peers := make(map[string]*replicatorpb.Member)
	for _, m := range r.cfg.InitialMembers {
		peers[m.Address] = m
	}
	for _, m := range st.Members {
		peers[m.Member.Address] = m.Member
	}
	for _, address := range r.joinAddresses() {
		if peers[address] == nil {
			peers[address] = &replicatorpb.Member{Address: address}
		}
	}
	delete(peers, st.Self.Address)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range peers {
		wg.Go(func() {
			client, closeIdle := newClient(r.cfg.DialAddress(m), introduceTimeout)
			defer closeIdle()
			reply, err := client.Introduce(r.ctx, &replicatorpb.IntroduceRequest{Member: st.Self, Formed: len(st.Members) > 0})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.cfg.Log.Warn().Err(err).Str("address", m.Address).Msg("control member not reached")
				return
			}
			replies = append(replies, reply)
		})
	}
	wg.Wait()
	return replies
}

// joinAddresses returns the configured and reported addresses at which to ask to join, besides the initial and known members.
func (r *Replicator) joinAddresses() (addresses []string) {
	if r.cfg.JoinAddresses != nil {
		addresses = r.cfg.JoinAddresses()
	}
	r.discovery.mu.Lock()
	defer r.discovery.mu.Unlock()
	for address := range r.discovery.memberAddresses {
		addresses = append(addresses, address)
	}
	return addresses
}

func (d *discovery) setMemberAddresses(m *replicatorpb.Membership) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.memberAddresses = make(map[string]bool)
	for _, m := range m.GetMembers() {
		d.memberAddresses[m.Address] = true
	}
}

// isSpare reports whether this process must not bootstrap a cluster.
func (r *Replicator) isSpare() bool { return r.cfg.Spare || r.rejoining.Load() }

// rejoinAsNewMember discards the identity of a member that was removed from the membership and continues with a new one, under which
// the process may join again.
func (r *Replicator) rejoinAsNewMember(id uint64) {
	r.rejoining.Store(true)
	_ = r.runOnLoop(r.ctx, func() {
		if r.core.id != id {
			return
		}
		st, err := r.cfg.Recorder.Reset()
		if err == nil {
			err = r.reset(st)
		}
		r.setFailure(err)
	})
	r.cfg.Log.Warn().Msg("removed from membership while away; offering to join again as a new member")
}
