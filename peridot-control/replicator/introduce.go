package replicator

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotswitch.example/peridot-control/recorder"
	"peridotswitch.example/peridot-control/replicatorpb"
)

// Times of introductions.
const (
	introduceEvery   = 300 * time.Millisecond
	introduceTimeout = 400 * time.Millisecond
	spareLease       = 3 * time.Second
)

// introductions are the processes that have lately offered to join.
type introductions struct {
	mu     sync.Mutex
	spares map[uint64]spare
	// told are addresses of members that others have named to this process.
	told map[string]bool
}

type spare struct {
	member *replicatorpb.Member
	until  time.Time
}

// Spares returns the processes that could join now, in the order of their instance ids.
func (r *Replicator) Spares() []*replicatorpb.Member {
	members := r.Status().Members
	return slices.DeleteFunc(r.introductions.list(), func(m *replicatorpb.Member) bool {
		return slices.ContainsFunc(members, func(ms MemberStatus) bool { return ms.Member.Id == m.Id })
	})
}

func (in *introductions) list() []*replicatorpb.Member {
	in.mu.Lock()
	defer in.mu.Unlock()
	var out []*replicatorpb.Member
	for id, s := range in.spares {
		if time.Now().After(s.until) {
			delete(in.spares, id)
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

func (in *introductions) offer(m *replicatorpb.Member) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.spares == nil {
		in.spares = make(map[uint64]spare)
	}
	in.spares[m.Id] = spare{m, time.Now().Add(spareLease)}
}

// Introduce implements replicatorpb.Replicator.
func (r *Replicator) Introduce(ctx context.Context, req *replicatorpb.IntroduceRequest) (*replicatorpb.IntroduceReply, error) {
	reply := &replicatorpb.IntroduceReply{}
	err := r.on(ctx, func() {
		c := r.core
		reply.Member, reply.Membership = r.self(), c.log.membership()
		reply.Formed = len(reply.Membership.Members) > 0
		reply.Removed = req.Formed && c.leased() && c.log.member(req.Member.Id) == nil
	})
	if err != nil {
		return nil, err
	}
	if !req.Formed {
		r.introductions.offer(req.Member)
	}
	return reply, nil
}

// introduce offers this process to the cluster while it is in none, or has heard of no leader for long.
func (r *Replicator) introduce() {
	alone := time.Now()
	for {
		st := r.Status()
		joined := slices.ContainsFunc(st.Members, func(m MemberStatus) bool { return m.Member.Id == st.Self.Id })
		if joined && st.Leader != nil {
			alone = time.Now()
		}
		if len(st.Members) == 0 || !joined || time.Since(alone) > 2*r.cfg.Election {
			r.introduceOnce(st)
		}
		select {
		case <-r.ctx.Done():
			return
		case <-time.After(introduceEvery):
		}
	}
}

func (r *Replicator) introduceOnce(st *Status) {
	replies := r.askAll(st)
	formed := false
	for _, reply := range replies {
		formed = formed || reply.Formed
		r.introductions.learn(reply.Membership)
		if reply.Removed {
			r.retire(st.Self.Id)
			return
		}
	}
	if len(st.Members) == 0 && !formed {
		r.found(st.Self, replies)
	}
}

// askAll introduces this process to all founders and members.
func (r *Replicator) askAll(st *Status) (replies []*replicatorpb.IntroduceReply) {
	peers := make(map[string]*replicatorpb.Member)
	for _, m := range r.cfg.Founders {
		peers[m.Address] = m
	}
	for _, m := range st.Members {
		peers[m.Member.Address] = m.Member
	}
	for _, address := range r.contacts() {
		if peers[address] == nil {
			peers[address] = &replicatorpb.Member{Address: address}
		}
	}
	delete(peers, st.Self.Address)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range peers {
		wg.Go(func() {
			client, closeIdle := newClient(r.cfg.Reach(m), introduceTimeout)
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

// contacts are where this process may offer itself besides at founders and members it knows.
func (r *Replicator) contacts() (addresses []string) {
	if r.cfg.Contacts != nil {
		addresses = r.cfg.Contacts()
	}
	r.introductions.mu.Lock()
	defer r.introductions.mu.Unlock()
	for address := range r.introductions.told {
		addresses = append(addresses, address)
	}
	return addresses
}

func (in *introductions) learn(m *replicatorpb.Membership) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.told = make(map[string]bool)
	for _, m := range m.GetMembers() {
		in.told[m.Address] = true
	}
}

// isFounder reports whether m is the founder f, which a list of addresses names by its address only.
func isFounder(f, m *replicatorpb.Member) bool {
	if f.InstanceId == "" {
		return f.Address == m.Address
	}
	return f.InstanceId == m.InstanceId
}

// found starts a new cluster. Only the first founder does, and only when every other one has answered that it holds
// nothing: so no folder that was lost can start a second cluster beside the first.
func (r *Replicator) found(self *replicatorpb.Member, replies []*replicatorpb.IntroduceReply) {
	if r.cfg.Spare || len(r.cfg.Founders) == 0 || !isFounder(r.cfg.Founders[0], self) {
		return
	}
	membership := &replicatorpb.Membership{}
	for _, f := range r.cfg.Founders {
		m := self
		if !isFounder(f, self) {
			i := slices.IndexFunc(replies, func(p *replicatorpb.IntroduceReply) bool { return isFounder(f, p.Member) })
			if i < 0 {
				return
			}
			m = replies[i].Member
		}
		m = proto.Clone(m).(*replicatorpb.Member)
		m.Voter = true
		membership.Members = append(membership.Members, m)
	}
	err := r.on(r.ctx, func() {
		if len(r.core.log.membership().Members) > 0 || r.core.id != self.Id {
			return
		}
		s := &replicatorpb.Snapshot{Index: 1, Term: 1, Membership: membership, State: r.cfg.Snapshot()}
		base := &replicatorpb.Position{Index: 1, Term: 1}
		vote := &replicatorpb.Vote{Term: max(1, r.core.vote.Term), For: r.core.vote.For}
		err := r.cfg.Recorder.Compact(s, vote, base, nil)
		if err == nil {
			err = r.reset(&recorder.State{ID: self.Id, Vote: vote, Snapshot: s, Base: base})
		}
		r.fail(err)
	})
	if err == nil {
		r.cfg.Log.Info().Int("members", len(membership.Members)).Msg("cluster founded")
	}
}

// retire gives a member that was removed a new identity, under which it may join again.
func (r *Replicator) retire(id uint64) {
	_ = r.on(r.ctx, func() {
		if r.core.id != id {
			return
		}
		st, err := r.cfg.Recorder.Reset()
		if err == nil {
			err = r.reset(st)
		}
		r.fail(err)
	})
	r.cfg.Log.Warn().Msg("removed from membership while away; offering to join again as a new member")
}
