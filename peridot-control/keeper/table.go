package keeper

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"peridotswitch.example/common/claimerpb"
	"peridotswitch.example/common/decider"
)

type register = decider.Register[*claimerpb.Value]

// shards is the number of parts in which the table is copied to another replica.
const shards = 64

// row is the register of a key with its times.
type row struct {
	register
	// createdAt is the replica's uptime at the first request for the key.
	createdAt time.Duration
	// acceptedAt is the replica's uptime at the last accepted value.
	acceptedAt time.Duration
	// issuedMS is the Unix time in milliseconds at which the caller first sent the key, or 0 if it gave none.
	issuedMS int64
}

// table holds the rows in memory and the issue time up to which rows were dropped. It is not safe for concurrent use.
type table struct {
	rows [shards]map[string]*row
	keys int
	// answerBytes is the total size of the stored response bodies.
	answerBytes int
	// floorMS is the newest issue time of any dropped key. An unknown key with an issue time up to it may have been dropped.
	floorMS int64
	// stamped and unstamped queue the keys with and without an issue time, answered those with a stored response, oldest first.
	stamped, unstamped, answered queue
}

func newTable() *table {
	t := &table{}
	for i := range t.rows {
		t.rows[i] = make(map[string]*row)
	}
	return t
}

func shardOf(key string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum32() % shards)
}

// get returns the row of key, or nil.
func (t *table) get(key string) *row { return t.rows[shardOf(key)][key] }

// add inserts a row for a key that the table lacks.
func (t *table) add(key string, r *row) {
	t.rows[shardOf(key)][key] = r
	t.keys++
	if r.issuedMS > 0 {
		t.stamped.push(key, r.createdAt)
	} else {
		t.unstamped.push(key, r.createdAt)
	}
}

// trackAnswer updates answerBytes and the queue for a new value of r. before is the size of the previously stored body.
func (t *table) trackAnswer(key string, r *row, before int) {
	after := len(r.Value.GetAnswer().GetBody())
	t.answerBytes += after - before
	if r.Value.GetAnswer() != nil {
		t.answered.push(key, r.createdAt)
	}
}

// drop removes key and raises floorMS to its issue time.
func (t *table) drop(key string) {
	r := t.get(key)
	if r == nil {
		return
	}
	t.floorMS = max(t.floorMS, r.issuedMS)
	t.answerBytes -= len(r.Value.GetAnswer().GetBody())
	delete(t.rows[shardOf(key)], key)
	t.keys--
}

// rowFor returns the row that item was queued for, or nil if it was dropped or replaced by a new row of the same key.
func (t *table) rowFor(item queueItem) *row {
	if r := t.get(item.key); r != nil && r.createdAt == item.createdAt {
		return r
	}
	return nil
}

// dropAnswer removes the stored response of r and keeps the state that the call ran.
func (t *table) dropAnswer(r *row) {
	if r == nil || r.Value.GetAnswer() == nil {
		return
	}
	t.answerBytes -= len(r.Value.Answer.Body)
	r.Value = withoutAnswer(r.Value)
}

// withoutAnswer returns a copy of v without its response. Stored values are immutable.
func withoutAnswer(v *claimerpb.Value) *claimerpb.Value {
	return &claimerpb.Value{
		State: v.State, Claim: v.Claim, Token: v.Token, Entry: v.Entry, RequestId: v.RequestId,
		Fingerprint: v.Fingerprint, IssuedAtMs: v.IssuedAtMs, DeadlineMs: v.DeadlineMs, Servers: v.Servers,
	}
}

// restore inserts or updates a row from a logged or merged register.
func (t *table) restore(m *claimerpb.Register) {
	r := t.get(m.Key)
	if r == nil {
		createdAt := time.Duration(m.BornMs) * time.Millisecond
		r = &row{createdAt: createdAt, acceptedAt: createdAt, issuedMS: m.IssuedAtMs}
		t.add(m.Key, r)
	}
	before := len(r.Value.GetAnswer().GetBody())
	r.register = register{Promised: decodeBallot(m.Promised), Accepted: decodeBallot(m.Accepted), Value: m.Value}
	t.trackAnswer(m.Key, r, before)
}

// sortQueues restores the order of the queues after rows were restored in arbitrary order.
func (t *table) sortQueues() {
	for _, q := range []*queue{&t.stamped, &t.unstamped, &t.answered} {
		slices.SortStableFunc(q.items, func(a, b queueItem) int { return cmp.Compare(a.createdAt, b.createdAt) })
	}
}

func (r *row) toProto(key string) *claimerpb.Register {
	return &claimerpb.Register{
		Key:        key,
		Promised:   encodeBallot(r.Promised),
		Accepted:   encodeBallot(r.Accepted),
		Value:      r.Value,
		BornMs:     uint64(r.createdAt.Milliseconds()),
		IssuedAtMs: r.issuedMS,
	}
}

func encodeBallot(b decider.Ballot) *claimerpb.Ballot {
	return &claimerpb.Ballot{Number: b.Number, Owner: b.Owner}
}

func decodeBallot(b *claimerpb.Ballot) decider.Ballot {
	return decider.Ballot{Number: b.GetNumber(), Owner: b.GetOwner()}
}

// queue is a FIFO queue of keys, ordered by creation time.
type queue struct {
	items []queueItem
}

type queueItem struct {
	key       string
	createdAt time.Duration
}

func (q *queue) push(key string, at time.Duration) { q.items = append(q.items, queueItem{key, at}) }

// popBefore removes and returns the first item if it was created before limit.
func (q *queue) popBefore(limit time.Duration) (item queueItem, ok bool) {
	if len(q.items) == 0 || q.items[0].createdAt >= limit {
		return queueItem{}, false
	}
	item = q.items[0]
	q.items[0] = queueItem{}
	q.items = q.items[1:]
	return item, true
}
