package steward

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"peridotswitch.example/peridot-control/replicator"
	"peridotswitch.example/peridot-control/replicatorpb"
)

func member(id uint64, address string, voter bool, sinceLastAck time.Duration) replicator.MemberStatus {
	return replicator.MemberStatus{
		Member: &replicatorpb.Member{Id: id, InstanceId: address, Address: address, Voter: voter}, Match: 10, SinceLastAck: sinceLastAck,
	}
}

// A voter that is lost for good must not stay one beside its successor, nor one that restarts be removed.
func TestNextChange(t *testing.T) {
	const (
		replaceAfter = 10 * time.Second
		leavingID    = 7
	)
	spare := func(id uint64, address string) *replicatorpb.Member {
		return &replicatorpb.Member{Id: id, InstanceId: address, Address: address}
	}
	three := []replicator.MemberStatus{member(1, "a", true, 0), member(2, "b", true, 0), member(3, "c", true, 0)}
	silent := []replicator.MemberStatus{member(1, "a", true, 0), member(2, "b", true, 0), member(3, "c", true, time.Minute), member(4, "d", true, 0)}
	away := func(id uint64, address string, sinceLastAck time.Duration) replicator.MemberStatus {
		m := member(id, address, true, sinceLastAck)
		m.Match = 9
		return m
	}
	current := func(id uint64, address string) replicator.MemberStatus {
		m := member(id, address, true, 0)
		m.Match = 12
		return m
	}
	succeeded := []replicator.MemberStatus{current(1, "a"), current(2, "b"), away(3, "c", replaceAfter/3), current(4, "d")}
	briefly := []replicator.MemberStatus{current(1, "a"), current(2, "b"), away(3, "c", replaceAfter/5), current(4, "d")}
	twoAway := []replicator.MemberStatus{current(1, "a"), away(2, "b", replaceAfter/3), away(3, "c", replaceAfter/2), current(4, "d"), current(5, "e"), current(6, "f")}
	learner := func(id uint64, address string) replicator.MemberStatus {
		m := current(id, address)
		m.Member.Voter = false
		return m
	}
	unheard := func(id uint64, address string) replicator.MemberStatus {
		m := member(id, address, true, 0)
		m.Match = 0
		return m
	}
	late := []replicator.MemberStatus{current(1, "a"), current(2, "b"), away(3, "c", replaceAfter/10)}
	awayThree := []replicator.MemberStatus{current(1, "a"), current(2, "b"), away(3, "c", replaceAfter/3)}
	tests := map[string]struct {
		voters  int
		members []replicator.MemberStatus
		spares  []*replicatorpb.Member
		// membershipIndex is the index of the membership in force; all but silent members have acknowledged index 10.
		membershipIndex uint64
		want            string
		// announced is how long ago the leaving member has announced that; a second when zero.
		announced time.Duration
	}{
		"all members respond and no spare exists":                                         {15, three, nil, 0, "", 0},
		"a spare is added below the maximum of voters":                                    {15, three, []*replicatorpb.Member{spare(4, "d")}, 0, "adding d as a learner", 0},
		"a spare isn't added without a maximum of voters":                                 {0, three, []*replicatorpb.Member{spare(4, "d")}, 0, "", 0},
		"a spare isn't added above the maximum of voters":                                 {3, three, []*replicatorpb.Member{spare(4, "d")}, 0, "", 0},
		"two learners that have caught up get votes":                                      {15, append(three[:3:3], member(4, "d", false, 0), member(5, "e", false, 0)), nil, 0, "giving the vote to d", 0},
		"the second of them as well":                                                      {15, append(three[:3:3], member(4, "d", true, 0), member(5, "e", false, 0)), nil, 0, "giving the vote to e", 0},
		"one learner stands by":                                                           {15, append(three[:3:3], member(4, "d", false, 0)), nil, 0, "", 0},
		"two learners stand by near the maximum of voters":                                {4, append(three[:3:3], member(4, "d", false, 0), member(5, "e", false, 0)), nil, 0, "", 0},
		"the number of voters doesn't grow while one is late":                             {15, append(late[:3:3], member(4, "d", false, 0), member(5, "e", false, 0)), nil, 0, "", 0},
		"a learner replaces an unresponsive voter":                                        {15, append(awayThree[:3:3], current(4, "d"), learner(5, "e")), nil, 12, "removing c", 0},
		"it gets its vote first if the number of voters is odd":                           {15, append(awayThree[:3:3], learner(4, "d"), learner(5, "e")), nil, 8, "giving the vote to d", 0},
		"a leaving voter is replaced by a learner":                                        {15, append(three[:2:2], member(leavingID, "c", true, 0), member(4, "d", false, 0)), nil, 0, "giving the vote to d", 0},
		"a leaving voter with a successor is removed":                                     {15, append(three[:2:2], member(leavingID, "c", true, 0), member(4, "d", true, 0)), nil, 0, "removing c", 0},
		"a leaving voter isn't removed without a successor":                               {15, append(three[:2:2], member(leavingID, "c", true, 0)), nil, 0, "", 0},
		"a leaving voter keeps its vote while another is late, which is replaced":         {15, []replicator.MemberStatus{current(1, "a"), away(2, "b", replaceAfter/5), current(leavingID, "c"), learner(4, "d")}, nil, 8, "giving the vote to d", 0},
		"then the late one is removed, not the leaving one":                               {15, []replicator.MemberStatus{current(1, "a"), away(2, "b", replaceAfter/5), current(leavingID, "c"), current(4, "d")}, nil, 8, "removing b", 0},
		"a leaving voter keeps its vote while another is late and no learner is ready":    {15, []replicator.MemberStatus{current(1, "a"), away(2, "b", replaceAfter/5), current(leavingID, "c")}, nil, 8, "", 0},
		"a leaving voter keeps its vote until the others have responded after it said so": {15, []replicator.MemberStatus{current(1, "a"), away(2, "b", 250*time.Millisecond), current(leavingID, "c"), learner(4, "d")}, nil, 8, "", 250 * time.Millisecond},
		"it hands its vote over once they have":                                           {15, []replicator.MemberStatus{current(1, "a"), away(2, "b", 100*time.Millisecond), current(leavingID, "c"), learner(4, "d")}, nil, 8, "giving the vote to d", 250 * time.Millisecond},
		"a late voter that has responded since isn't replaced":                            {15, []replicator.MemberStatus{current(1, "a"), away(2, "b", time.Second), current(leavingID, "c"), learner(4, "d")}, nil, 8, "", 2 * time.Second},
		"a late voter isn't replaced at once when the leaving one is gone":                {15, []replicator.MemberStatus{current(1, "a"), away(2, "b", replaceAfter/5), away(leavingID, "c", replaceAfter/10), learner(4, "d")}, nil, 8, "", 0},
		"a leaving voter keeps its vote while a new leader has heard nothing of another":  {15, []replicator.MemberStatus{current(1, "a"), unheard(2, "b"), current(leavingID, "c"), learner(4, "d")}, nil, 8, "", 0},
		"a leaving learner is removed":                                                    {15, append(three[:3:3], member(leavingID, "d", false, 0)), nil, 0, "removing learner d", 0},
		"two of five voters that are lost are not removed":                                {15, append(three[:2:2], away(3, "c", time.Minute), away(4, "d", time.Minute), current(5, "e")), nil, 12, "", 0},
		"a member that lost its data directory is added under its new id":                 {15, three, []*replicatorpb.Member{spare(9, "c")}, 0, "adding c as a learner in place of c", 0},
		"it gets its vote before the lost one is removed":                                 {15, append(three[:3:3], member(9, "c", false, 0)), nil, 0, "giving the vote to c", 0},
		"its vote counts before that of a learner at another address":                     {15, append(three[:3:3], member(8, "d", false, 0), member(9, "c", false, 0)), nil, 0, "giving the vote to c", 0},
		"then the lost one is removed":                                                    {15, append(three[:3:3], member(9, "c", true, 0)), nil, 0, "removing c", 0},
		"a learner that lost its data directory is removed":                               {15, append(three[:3:3], member(4, "d", false, 0)), []*replicatorpb.Member{spare(9, "d")}, 0, "removing learner d", 0},
		"without a maximum of voters it is added under its new id first":                  {0, three, []*replicatorpb.Member{spare(9, "c")}, 0, "adding c as a learner in place of c", 0},
		"a silent member is removed when a majority of the others responds":               {15, silent, nil, 0, "removing c", 0},
		"all members respond and there is no maximum of voters":                           {0, three[:3], nil, 0, "", 0},
		"no member is removed while a majority is silent":                                 {15, []replicator.MemberStatus{member(1, "a", true, 0), member(2, "b", true, time.Minute), member(3, "c", true, time.Minute)}, nil, 0, "", 0},
		"a silent learner is removed":                                                     {15, append(three[:3:3], member(4, "d", false, time.Minute)), nil, 0, "removing learner d", 0},
		"a voter that was away when its successor got a vote is removed":                  {15, succeeded, nil, 12, "removing c", 0},
		"without a maximum of voters as well":                                             {0, succeeded, nil, 12, "removing c", 0},
		"the one that has been away longest is removed":                                   {15, twoAway, nil, 12, "removing c", 0},
		"a voter that restarts after the last change of voters isn't":                     {15, succeeded, nil, 8, "", 0},
		"a voter that is away briefly isn't":                                              {15, briefly, nil, 12, "", 0},
		"a voter that is away isn't removed from an odd number of voters":                 {15, succeeded[:3], nil, 12, "", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			noop := func(context.Context, uint64) error { return nil }
			s := &Steward{now: time.Now, cfg: Config{
				Spares: func() []*replicatorpb.Member { return tt.spares }, ReplaceAfter: replaceAfter, MaxVoters: tt.voters,
				Leaving:    func(id uint64) (time.Duration, bool) { return cmp.Or(tt.announced, time.Second), id == leavingID },
				AddLearner: func(context.Context, *replicatorpb.Member) error { return nil }, Promote: noop, Remove: noop,
			}}
			got := ""
			if next := s.nextChange(&replicator.Status{Members: tt.members, Commit: 10, MembershipIndex: tt.membershipIndex}); next != nil {
				got = next.description
			}
			if got != tt.want && (tt.want == "" || !strings.HasPrefix(got, tt.want)) {
				t.Errorf("next change is %q, want %q", got, tt.want)
			}
		})
	}
}

// At the first start, sixteen members join the three that found the cluster, one change at a time. They must all vote well before the
// first callers arrive, or the loss of two of the three would stop control.
func TestManyMembersJoinQuickly(t *testing.T) {
	const members, commit = 19, 20 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		list := []replicator.MemberStatus{member(1, "a", true, 0), member(2, "b", true, 0), member(3, "c", true, 0)}
		var spares []*replicatorpb.Member
		for id := uint64(4); id <= members; id++ {
			spares = append(spares, &replicatorpb.Member{Id: id, InstanceId: string(rune('a' + id - 1))})
		}
		s := New(Config{
			Status: func() *replicator.Status {
				mu.Lock()
				defer mu.Unlock()
				return &replicator.Status{IsLeader: true, Leader: list[0].Member, MembershipCommitted: true, Members: slices.Clone(list), Commit: 10}
			},
			Spares: func() []*replicatorpb.Member {
				mu.Lock()
				defer mu.Unlock()
				return slices.Clone(spares)
			},
			AddLearner: func(_ context.Context, m *replicatorpb.Member) error {
				time.Sleep(commit)
				mu.Lock()
				defer mu.Unlock()
				list = append(list, member(m.Id, m.InstanceId, false, 0))
				spares = slices.DeleteFunc(spares, func(s *replicatorpb.Member) bool { return s.Id == m.Id })
				return nil
			},
			Promote: func(_ context.Context, id uint64) error {
				time.Sleep(commit)
				mu.Lock()
				defer mu.Unlock()
				for i := range list {
					if list[i].Member.Id == id {
						list[i] = member(id, list[i].Member.InstanceId, true, 0)
					}
				}
				return nil
			},
			ReplaceAfter: 10 * time.Second, MaxVoters: 63, Log: zerolog.Nop(),
		})
		defer s.Close()
		time.Sleep(3 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if n := countVoters(&replicator.Status{Members: list}); n != members {
			t.Errorf("%d members vote after 3 s, want %d", n, members)
		}
	})
}

// Successors that arrive before their predecessors leave raise the number of voters. It must go back when those leave, but a number that has
// lasted must stay, or long outages would leave a few voters with the only copies.
func TestTarget(t *testing.T) {
	const replaceAfter = 10 * time.Second
	start := time.Now()
	members := func(voters, lost int) (list []replicator.MemberStatus) {
		for i := range voters {
			m := member(uint64(i+1), string(rune('a'+i)), true, 0)
			if i < lost {
				m.SinceLastAck = replaceAfter / 3
			}
			list = append(list, m)
		}
		return list
	}
	tests := map[string]struct {
		// seen are the numbers of voters at the times before the check.
		seen       map[time.Duration]int
		list       []replicator.MemberStatus
		wantTarget int
		wantChange string
	}{
		"a process that has seen nothing":        {nil, members(7, 2), 7, ""},
		"an even number":                         {nil, members(6, 0), 5, ""},
		"a number that has just risen":           {map[time.Duration]int{-5 * time.Second: 5}, members(7, 2), 5, "removing a"},
		"one that has lasted":                    {map[time.Duration]int{-30 * time.Second: 5, -21 * time.Second: 7}, members(7, 2), 7, ""},
		"a replacement in progress before":       {map[time.Duration]int{-5 * time.Second: 6, -4 * time.Second: 5}, members(5, 2), 5, ""},
		"a number that the operator has lowered": {map[time.Duration]int{-5 * time.Second: 5}, members(3, 0), 3, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := start
			s := &Steward{now: func() time.Time { return now }, cfg: Config{
				Spares: func() []*replicatorpb.Member { return nil }, ReplaceAfter: replaceAfter, MaxVoters: 15,
			}}
			for _, before := range slices.Sorted(maps.Keys(tt.seen)) {
				now = start.Add(before)
				s.record(&replicator.Status{Members: members(tt.seen[before], 0)})
			}
			now = start
			st := &replicator.Status{Members: tt.list, MembershipIndex: 1}
			s.record(st)
			if got := s.target(st); got != tt.wantTarget {
				t.Errorf("target is %d voters, want %d", got, tt.wantTarget)
			}
			change := ""
			if next := s.nextChange(st); next != nil {
				change = next.description
			}
			if change != tt.wantChange {
				t.Errorf("next change is %q, want %q", change, tt.wantChange)
			}
		})
	}
}
