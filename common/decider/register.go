package decider

// Ballot is the number of a proposal for one register. Number 0 is the fast ballot, which is accepted without a promise.
type Ballot struct {
	Number uint64
	// Owner is the unique token of the proposing claim, so that no two proposers use the same ballot.
	Owner string
}

// Less reports whether b is lower than c.
func (b Ballot) Less(c Ballot) bool {
	if b.Number != c.Number {
		return b.Number < c.Number
	}
	return b.Owner < c.Owner
}

// Next returns the ballot that a replica promises to b's owner by accepting b.
func (b Ballot) Next() Ballot { return Ballot{b.Number + 1, b.Owner} }

// Register is the state of the acceptor for one key at one replica; its zero value is blank.
type Register[V any] struct {
	Promised Ballot
	// Accepted is meaningful when Owner is set.
	Accepted Ballot
	Value    V
}

// IsBlank reports whether r has neither promised nor accepted a ballot.
func (r *Register[V]) IsBlank() bool { return r.Promised == Ballot{} }

// Prepare promises b, or returns false when b is not higher than the ballot promised before.
func (r *Register[V]) Prepare(b Ballot) bool {
	if !r.Promised.Less(b) {
		return false
	}
	r.Promised = b
	return true
}

// Accept stores v under b and promises the next ballot to b's owner. It returns false when b can't be accepted.
//
// Above number 0, b must be the very ballot that was promised, and not just any higher one. A replica that has lost its promises
// therefore accepts no ballot that was promised before the loss.
// A repeat of the last accepted request is accepted again, unless the value comes from Merge.
func (r *Register[V]) Accept(b Ballot, v V) bool {
	if b == r.Accepted && b.Owner != "" && r.Promised == b.Next() {
		return true
	}
	if b.Number == 0 && !r.IsBlank() || b.Number > 0 && r.Promised != b {
		return false
	}
	r.Accepted, r.Value, r.Promised = b, v, b.Next()
	return true
}

// Quorums computes the sizes of quorums of N replicas.
type Quorums struct {
	N int
}

// Classic returns how many replicas must promise or accept a ballot above number 0.
func (q Quorums) Classic() int { return q.N/2 + 1 }

// Fast returns how many replicas must accept ballot 0. The size is such that any classic quorum shows which value may have been decided.
func (q Quorums) Fast() int { return q.N - (q.N-1)/4 }

// Vote is the ballot and value that a replica had accepted before it made a promise; its reply to Prepare reports them.
type Vote[V any] struct {
	Accepted Ballot
	Value    V
}

// Choose returns the value that may have been decided, given the votes of a classic quorum. When found is false, no value can have been.
func Choose[V any](q Quorums, votes []Vote[V]) (v V, found bool) {
	var highest Ballot
	fast := make(map[string]int)
	for _, vote := range votes {
		if vote.Accepted.Owner == "" {
			continue
		}
		if vote.Accepted.Number == 0 {
			fast[vote.Accepted.Owner]++
		}
		if highest.Owner == "" || highest.Less(vote.Accepted) {
			highest, v, found = vote.Accepted, vote.Value, true
		}
	}
	if !found || highest.Number > 0 {
		return v, found
	}
	needed := len(votes) + q.Fast() - q.N
	for _, vote := range votes {
		if vote.Accepted.Owner != "" && fast[vote.Accepted.Owner] >= needed {
			return vote.Value, true
		}
	}
	var zero V
	return zero, false
}

// Merge returns the register for a replica that has lost its disk, from the registers of a classic quorum of the other replicas.
//
// The result accepts no ballot that the lost disk may have promised.
func Merge[V any](q Quorums, others []Register[V]) Register[V] {
	var m Register[V]
	var votes []Vote[V]
	var promised Ballot
	for _, r := range others {
		votes = append(votes, Vote[V]{r.Accepted, r.Value})
		if promised.Less(r.Promised) {
			promised = r.Promised
		}
	}
	v, found := Choose(q, votes)
	if found {
		m.Value = v
		m.Accepted = chosenBallot(q, votes)
	}
	if promised != (Ballot{}) {
		m.Promised = Ballot{promised.Number + 1, mergedOwner}
	}
	return m
}

// mergedOwner is the owner of promises made by Merge. No claim has it as token, so nothing is accepted under such a promise.
const mergedOwner = "merged"

func chosenBallot[V any](q Quorums, votes []Vote[V]) Ballot {
	ballots := make([]Vote[Ballot], len(votes))
	for i, vote := range votes {
		ballots[i] = Vote[Ballot]{vote.Accepted, vote.Accepted}
	}
	b, _ := Choose(q, ballots)
	return b
}

// CurrentDisks reports for each reply of a quorum whether no other reply shows a newer disk of the same replica.
//
// identities[i] are the identities of all replicas' disks, by position, as the replica at positions[i] knows them.
// Of two disks of a replica, the newer one has the higher identity.
func CurrentDisks(positions []int, identities [][]uint64) []bool {
	current := make([]bool, len(positions))
	for i, p := range positions {
		current[i] = true
		for j := range positions {
			if identities[j][p] > identities[i][p] {
				current[i] = false
			}
		}
	}
	return current
}
