package keeper

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/common/bounder"
	"peridotswitch.example/common/claimerpb"
	"peridotswitch.example/common/decider"
)

const (
	joinInterval = 200 * time.Millisecond
	joinTimeout  = time.Second
	copyTimeout  = 10 * time.Second
	maxReplicas  = 7
	// generationShift is the position of the generation in an identity. The generation counts how often the replica's disk was lost;
	// the bits below it are random.
	generationShift = 48
)

func newPeerClient(address string) claimerpb.Claimer {
	return claimerpb.NewClaimerProtobufClient("http://"+address, copies.Client(&http.Transport{DisableKeepAlives: true}, 0))
}

// maxCopyBytes holds a shard of the registers at the default limits: its share of the keys, each with the largest response.
const maxCopyBytes = 256 << 20

// copies limits the responses of other replicas, all of whose registers this one will hold.
var copies = bounder.New(bounder.Config{MessageBytes: maxCopyBytes, TotalBytes: maxCopyBytes})

// groupHash returns the hash of the replica list by which requests identify their group.
func groupHash(replicas []string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(strings.Join(replicas, ",")))
	return h.Sum64()
}

func newIdentity(generation uint64) uint64 {
	return generation<<generationShift | rand.Uint64()>>(64-generationShift)
}

// Join implements claimerpb.Claimer. A replica without a group joins the requested one permanently.
func (k *Keeper) Join(ctx context.Context, req *claimerpb.JoinRequest) (*claimerpb.JoinReply, error) {
	if n := len(req.Replicas); n == 0 || n > maxReplicas || int(req.Position) >= n {
		return nil, twirp.InvalidArgumentError("replicas", "want 1 to 7 replicas and a position among them")
	}
	k.mu.Lock()
	if len(k.membership.Replicas) == 0 {
		err := k.setMembership(&claimerpb.Membership{Identity: newIdentity(0), Replicas: req.Replicas, Position: req.Position})
		if err != nil {
			k.mu.Unlock()
			return nil, twirp.InternalErrorWith(err)
		}
	}
	m := k.membership
	reply := &claimerpb.JoinReply{Active: m.Active, Group: k.group, Identity: m.Identity, Identities: m.Identities, Keys: uint64(k.table.keys)}
	wait := k.log.barrier()
	k.mu.Unlock()
	if !slices.Equal(m.Replicas, req.Replicas) || m.Position != req.Position {
		return nil, twirp.FailedPrecondition.Errorf("this replica is at position %d of %v, not at position %d of %v", m.Position, m.Replicas, req.Position, req.Replicas)
	}
	return reply, wait(ctx)
}

// setMembership replaces the membership and logs it. The caller holds mu.
func (k *Keeper) setMembership(m *claimerpb.Membership) error {
	k.membership, k.group = m, groupHash(m.Replicas)
	return k.log.add(&claimerpb.LogRecord{Membership: m})
}

// updateMembership applies f to a copy of the membership, installs the result and waits until it is synced.
func (k *Keeper) updateMembership(ctx context.Context, f func(*claimerpb.Membership)) error {
	k.mu.Lock()
	m := proto.CloneOf(k.membership)
	f(m)
	err := k.setMembership(m)
	wait := k.log.barrier()
	k.mu.Unlock()
	if err != nil {
		return err
	}
	return wait(ctx)
}

// peer is another replica of the group that has replied to Join.
type peer struct {
	position int
	client   claimerpb.Claimer
	reply    *claimerpb.JoinReply
}

// join activates an inactive replica if that is safe: when the group forms or this disk is one of those that formed it, when the
// registers can be copied from a quorum, or when every key that a lost disk may have held has expired.
func (k *Keeper) join(ctx context.Context) {
	k.mu.Lock()
	m, uptime := k.membership, k.uptime()
	k.mu.Unlock()
	if m.Active || len(m.Replicas) == 0 {
		return
	}
	peers := k.queryPeers(ctx, m)
	var err error
	switch identities, bootstrapped := bootstrapIdentities(m, peers); {
	case bootstrapped:
		err = k.updateMembership(ctx, func(m *claimerpb.Membership) { m.Active, m.Identities = true, identities })
	case len(activePeers(peers)) >= (decider.Quorums{N: len(m.Replicas)}).Classic():
		err = k.rebuild(ctx, m, activePeers(peers))
	case uptime > k.cfg.UnstampedRetention+k.cfg.Skew:
		err = k.activateEmpty(ctx, m, activePeers(peers))
	default:
		return
	}
	if err != nil {
		k.cfg.Log.Warn().Err(err).Msg("claim replica not active yet")
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cfg.Log.Info().Int("keys", k.table.keys).Strs("replicas", k.membership.Replicas).Msg("claim replica active")
}

func (k *Keeper) queryPeers(ctx context.Context, m *claimerpb.Membership) (peers []peer) {
	for i, address := range m.Replicas {
		if i == int(m.Position) {
			continue
		}
		c := k.cfg.NewPeerClient(address)
		ctx, cancel := context.WithTimeout(ctx, joinTimeout)
		reply, err := c.Join(ctx, &claimerpb.JoinRequest{Replicas: m.Replicas, Position: uint32(i)})
		cancel()
		if err == nil {
			peers = append(peers, peer{i, c, reply})
		}
	}
	return peers
}

func activePeers(peers []peer) []peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p peer) bool { return !p.reply.Active })
}

// bootstrapIdentities returns the identities of the group's replicas. ok is true if m's disk is the one with which the group was
// formed, or if no replica is active and all others have replied, so that the group can be formed now.
func bootstrapIdentities(m *claimerpb.Membership, peers []peer) (identities []uint64, ok bool) {
	if m.Identity>>generationShift > 0 {
		return nil, false
	}
	identities = make([]uint64, len(m.Replicas))
	identities[m.Position] = m.Identity
	for _, p := range peers {
		if p.reply.Active {
			ids := p.reply.Identities
			return ids, ids[m.Position] == m.Identity
		}
		identities[p.position] = p.reply.Identity
	}
	return identities, len(peers) == len(m.Replicas)-1
}

// activateEmpty activates a replica without copying registers, once it has abstained for longer than any key is retained. It raises
// floorMS, so that keys old enough to have expired are refused.
func (k *Keeper) activateEmpty(ctx context.Context, m *claimerpb.Membership, sources []peer) error {
	identities := make([]uint64, len(m.Replicas))
	for _, p := range sources {
		for i, id := range p.reply.Identities {
			identities[i] = max(identities[i], id)
		}
	}
	identities[m.Position] = newIdentity(generation(m, sources) + 1)
	k.mu.Lock()
	k.table.floorMS = max(k.table.floorMS, k.cfg.Now().Add(k.cfg.Skew-k.cfg.Retention).UnixMilli())
	err := k.log.add(k.clockRecord())
	k.mu.Unlock()
	if err != nil {
		return err
	}
	return k.updateMembership(ctx, func(m *claimerpb.Membership) {
		m.Active, m.Identity, m.Identities = true, identities[m.Position], identities
	})
}

// rebuild replaces the registers by those of a quorum of the other replicas and activates this one under a new identity.
func (k *Keeper) rebuild(ctx context.Context, m *claimerpb.Membership, sources []peer) (err error) {
	defer func() { err = errors.WithMessage(err, "rebuild from the other replicas") }()
	q := decider.Quorums{N: len(m.Replicas)}
	identity := newIdentity(generation(m, sources) + 1)
	if err = k.updateMembership(ctx, func(m *claimerpb.Membership) { m.Identity = identity }); err != nil {
		return err
	}
	identities := make([]uint64, len(m.Replicas))
	identities[m.Position] = identity
	var floor int64
	var merged []*claimerpb.Register
	for shard := range uint32(shards) {
		var copies []*claimerpb.CopyReply
		for _, p := range sources[:q.Classic()] {
			reply, err := k.copyShard(ctx, p, &claimerpb.CopyRequest{Group: groupHash(m.Replicas), Position: m.Position, Identity: identity, Shard: shard})
			if err != nil {
				return err
			}
			copies = append(copies, reply)
			floor = max(floor, reply.FloorMs)
			for i, id := range reply.Identities {
				identities[i] = max(identities[i], id)
			}
		}
		merged = append(merged, k.merge(q, copies)...)
	}
	k.mu.Lock()
	k.table = newTable()
	k.table.floorMS = floor
	for _, r := range merged {
		k.table.restore(r)
	}
	k.table.sortQueues()
	records := []*claimerpb.LogRecord{k.clockRecord()}
	for _, r := range merged {
		records = append(records, &claimerpb.LogRecord{Register: r})
	}
	err = k.log.add(records...)
	k.mu.Unlock()
	if err != nil {
		return err
	}
	return k.updateMembership(ctx, func(m *claimerpb.Membership) { m.Active, m.Identities = true, identities })
}

// generation returns the newest generation of m's disk that m or any of sources knows.
func generation(m *claimerpb.Membership, sources []peer) uint64 {
	newest := m.Identity
	for _, p := range sources {
		newest = max(newest, p.reply.Identities[m.Position])
	}
	return newest >> generationShift
}

func (k *Keeper) copyShard(ctx context.Context, p peer, req *claimerpb.CopyRequest) (*claimerpb.CopyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	reply, err := p.client.Copy(ctx, req)
	if err == nil && reply.Status != claimerpb.Status_STATUS_OK {
		err = errors.Errorf("replica %d: %v", p.position, reply.Status)
	}
	return reply, err
}

// merge merges a quorum of copies of a shard. Every key counts as created now, so it is kept for a full retention period from here.
func (k *Keeper) merge(q decider.Quorums, copies []*claimerpb.CopyReply) (out []*claimerpb.Register) {
	k.mu.Lock()
	now := k.uptime()
	k.mu.Unlock()
	byKey := make(map[string][]*claimerpb.Register)
	for _, c := range copies {
		for _, r := range c.Registers {
			byKey[r.Key] = append(byKey[r.Key], r)
		}
	}
	for key, registers := range byKey {
		m := &claimerpb.Register{Key: key, BornMs: uint64(now.Milliseconds()), IssuedAtMs: registers[0].IssuedAtMs}
		others := make([]register, len(copies))
		for i, r := range registers {
			others[i] = register{Promised: decodeBallot(r.Promised), Accepted: decodeBallot(r.Accepted), Value: r.Value}
		}
		reg := decider.Merge(q, others)
		m.Promised, m.Accepted, m.Value = encodeBallot(reg.Promised), encodeBallot(reg.Accepted), reg.Value
		out = append(out, m)
	}
	return out
}

// Copy implements claimerpb.Claimer. It records the new identity of the requesting replica's disk before it returns registers.
func (k *Keeper) Copy(ctx context.Context, req *claimerpb.CopyRequest) (*claimerpb.CopyReply, error) {
	if req.Shard >= shards {
		return nil, twirp.InvalidArgumentError("shard", "out of range")
	}
	k.mu.Lock()
	status := k.groupStatus(req.Group)
	if status != claimerpb.Status_STATUS_OK || int(req.Position) >= len(k.membership.Identities) {
		k.mu.Unlock()
		return &claimerpb.CopyReply{Status: status}, nil
	}
	if known := k.membership.Identities[req.Position]; known != req.Identity {
		if known > req.Identity {
			k.mu.Unlock()
			return nil, twirp.FailedPrecondition.Error("a newer identity of the requesting replica is known")
		}
		m := proto.CloneOf(k.membership)
		m.Identities[req.Position] = req.Identity
		if err := k.setMembership(m); err != nil {
			k.mu.Unlock()
			return nil, twirp.InternalErrorWith(err)
		}
	}
	reply := &claimerpb.CopyReply{Status: status, FloorMs: k.table.floorMS, Identities: k.membership.Identities}
	for key, r := range k.table.rows[req.Shard] {
		reply.Registers = append(reply.Registers, r.toProto(key))
	}
	wait := k.log.barrier()
	k.mu.Unlock()
	return reply, wait(ctx)
}
