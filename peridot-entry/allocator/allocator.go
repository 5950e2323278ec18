package allocator

import (
	"context"
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Config configures an Allocator; every function is required.
type Config struct {
	// InstanceID and Incarnation identify this process among the entries that control lists; Zone is its availability zone.
	InstanceID  string
	Incarnation uint64
	Zone        string
	// Now returns the time of a clock that also advances while the machine is suspended.
	Now func() time.Duration
	// Slack is how many calls more than its limit an account may make per window.
	Slack float64
	// EntryLease is how long after the last request of an entry control lists it at least.
	EntryLease time.Duration
	// Ask asks the holder of a share for tokens. It fails if the holder doesn't respond in time.
	Ask func(context.Context, Member, Request) (Reply, error)
	// Return gives tokens back to the holder of a share, without waiting.
	Return func(Member, Request)
	// OnResult is called with the result of each call of Take.
	OnResult func(Result)
}

// Request asks the holder of a share for tokens.
type Request struct {
	Account string
	Share   string
	// Limit is the limit of the account by the requester's routing.
	Limit Limit
	Count int
	// Returned is the number of tokens that the requester got recently and gives back.
	Returned int
}

// Reply is the reply to a Request.
type Reply struct {
	// Granting is false if the entry may not grant tokens of the share at the moment.
	Granting bool
	Granted  int
	// RetryAfter is the time until there will be a token, if fewer than requested were granted.
	RetryAfter time.Duration
}

const (
	// settlingMargin is how much longer than the entry lease a new holder waits. An earlier holder that lost control right after a
	// confirmation grants for a whole lease, and control may have sent it a list that was up to 200 ms old.
	settlingMargin = 250 * time.Millisecond
	// isolationLimit is how long after the end of its lease a holder grants at a reduced rate. A longer one would carry limited accounts through
	// longer outages of control, but delays the full rate of new holders: with 30 s, accounts had 0.65 of their rates for half a minute after a
	// restart of all entries.
	isolationLimit = 10 * time.Second
	// The factors reduce the rate and the capacity of a share. An isolated predecessor (0.4) and its successor (0.65) together stay within
	// the tenth of the bound. A predecessor within its lease (1.0) overlaps a new successor for 0.8 s, so that the successor is further
	// reduced for 6 s: 0.8 s x 1 + 4.2 s x 0.4 + 5 s x 0.6 = 5.48 s of the rate.
	joiningTime       = 6 * time.Second
	joiningFactor     = 0.6
	unsettledFactor   = 0.65
	unconfirmedFactor = 0.4
	// reconfirmedFactor is that of a settled holder whose lease had ended; its successor may still grant for 1.4 s.
	reconfirmedFactor = 0.55
	// unsettledLeaseShare is the part of the entry lease for which an unsettled holder grants. With the whole lease, several successors
	// that are isolated one after the other would add up. Control answers a request after 0.5 s, so that the last request that was
	// answered is up to 1.1 s old.
	unsettledLeaseShare = 0.6
	// maxListAge is the age of the list of entries in a reply when its request was sent.
	maxListAge = 200 * time.Millisecond
	// avoidTime is how long a holder that has not responded is not asked again.
	avoidTime = 500 * time.Millisecond
	// maxEmptyTime limits how long a share that had no token is not asked again, since tokens may be returned to it.
	maxEmptyTime = 200 * time.Millisecond
	// maxReturnAge is how long after its grant a token can be returned. Tokens that are returned later would allow a call more in a
	// window after the one that they were granted in.
	maxReturnAge = 250 * time.Millisecond
	// maxCount limits the tokens of one request.
	maxCount = 10000
	// maxBuckets limits the memory that the requests of other entries can use.
	maxBuckets = 1 << 16
	// maxRetryAfter limits the time that callers are told to wait.
	maxRetryAfter = time.Minute
	// reserveSlack is the slack for each entry that has a reserve, and reserveRate the highest rate of a reserve, per second. An entry
	// grants at most 1.5 tokens of its reserve in a window of 5 s, so that all reserves together stay within 0.3 of the slack.
	reserveSlack = 5
	reserveRate  = 0.1
	// bucketSlack is the share of the slack that is added to the capacity of all buckets.
	bucketSlack = 0.5
)

// mechanisms are what keeps the sum over all entries within the limit; tests switch them off one by one.
type mechanisms struct {
	// joining is how long a new holder is limited by joiningFactor, and settling how long by unsettledFactor.
	joining, settling time.Duration
	// waiting is how long a new holder grants nothing unless all listed entries have acknowledged it.
	waiting time.Duration
	// overlap is how long another holder may grant by its lease after this entry's list has changed.
	overlap time.Duration
	// isolation is how long after its lease a settled holder grants.
	isolation time.Duration
	// The factors reduce the rate and the capacity of a share; isolatedUnsettledFactor is that of a holder which has neither settled nor
	// a lease. It is 0, because several such holders of a share may follow each other within the isolation limit.
	joiningFactor, unsettledFactor, reconfirmedFactor, unconfirmedFactor, isolatedUnsettledFactor float64
	// lease is how long after the send time of a request that control has answered a settled holder grants at the full rate, and
	// unsettledLease how long an unsettled one grants.
	lease, unsettledLease time.Duration
	// reserves is the number of entries that have a reserve of an account, and reserveRate the highest rate of each.
	reserves    int
	reserveRate float64
	// fill is the part of its capacity with which a new bucket starts.
	fill float64
}

// Allocator grants tokens of the shares that this entry holds, and takes tokens for its calls. It is safe for concurrent use.
type Allocator struct {
	cfg       Config
	rules     mechanisms
	newView   func([]Member) *view
	startedAt time.Duration
	view      atomic.Pointer[view]

	mu sync.Mutex
	// confirmed is the send time of the last request that control has answered; isConfirmed is set once there is one.
	confirmed   time.Duration
	isConfirmed bool
	// reconfirmedAt is when control last confirmed this entry by a changed list after its lease had ended.
	reconfirmedAt time.Duration
	// isListNew is set if control has sent a list of entries since.
	isListNew bool
	// changedAt is when the list of entries last changed in a way that can make this entry a holder.
	changedAt     time.Duration
	introductions introductions
	// moreShares is a number of shares that other holders may still grant by, until moreSharesUntil.
	moreShares      int
	moreSharesUntil time.Duration
	// number is that of the routing, and limits its limits by account.
	number uint64
	limits map[string]Limit
	// buckets holds the shares that this entry holds.
	buckets map[shareKey]*bucket
	// reserves holds this entry's reserves by account.
	reserves map[string]*reserve

	stateMu sync.Mutex
	// avoided holds until when an entry that hasn't responded is not asked; states holds what is known of a share.
	avoided map[string]time.Duration
	states  map[shareKey]shareState
}

// reserve is this entry's reserve of an account.
type reserve struct {
	bucket bucket
	// isUsable is set if this entry is among the first of the account by the list of view.
	isUsable bool
	view     *view
}

// shareState is what a requester knows of a share that granted nothing.
type shareState struct {
	// until is when the share is asked again, and tokenAt when it is expected to have a token.
	until, tokenAt time.Duration
	// isEmpty is set if the holder grants tokens but had none.
	isEmpty bool
}

// New returns an Allocator that knows neither entries nor limits.
func New(cfg Config) *Allocator {
	unsettledLease := time.Duration(unsettledLeaseShare * float64(cfg.EntryLease))
	a := &Allocator{
		cfg: cfg,
		rules: mechanisms{
			joining: joiningTime, overlap: cfg.EntryLease + settlingMargin, settling: cfg.EntryLease + settlingMargin + isolationLimit,
			lease: cfg.EntryLease, isolation: isolationLimit, unsettledLease: unsettledLease, waiting: unsettledLease + settlingMargin,
			joiningFactor: joiningFactor, unsettledFactor: unsettledFactor, reconfirmedFactor: reconfirmedFactor, unconfirmedFactor: unconfirmedFactor,
			reserves: int(cfg.Slack / reserveSlack), reserveRate: reserveRate,
		},
		newView: newView, startedAt: cfg.Now(), limits: make(map[string]Limit), buckets: make(map[shareKey]*bucket), reserves: make(map[string]*reserve),
		avoided: make(map[string]time.Duration), states: make(map[shareKey]shareState),
	}
	a.view.Store(newView(nil))
	return a
}

// SetEntries sets the entries that control lists as serving callers.
func (a *Allocator) SetEntries(members []Member) {
	v, now := a.newView(members), a.cfg.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isListNew = true
	old := a.view.Load()
	if a.isListed(v) && !a.isListed(old) {
		a.join(v, now)
	}
	a.removeUnlisted(v, now)
	if !v.isSame(old, a.cfg.Zone, a.cfg.InstanceID) {
		a.fillAll(now)
		// If the number of shares falls, each grants more. Another holder may still grant by the larger number.
		if n := a.divisor(now); n > len(v.shares) {
			a.moreShares, a.moreSharesUntil = n, now+a.rules.settling
		}
		a.changedAt = now
		for key := range a.buckets {
			if s, ok := v.find(key.share); !ok || !a.holds(v, key.account, s) {
				delete(a.buckets, key)
			}
		}
		for account := range a.limits {
			a.addBuckets(v, account, now)
		}
	}
	a.view.Store(v)
	a.stateMu.Lock()
	defer a.stateMu.Unlock()
	clear(a.states)
	maps.DeleteFunc(a.avoided, func(_ string, until time.Duration) bool { return now >= until })
}

// SetLimits sets the limits of the routing with the given number, by account.
func (a *Allocator) SetLimits(number uint64, limits map[string]Limit) {
	now := a.cfg.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fillAll(now)
	a.number, a.limits = number, limits
	for account := range a.reserves {
		if _, ok := limits[account]; !ok {
			delete(a.reserves, account)
		}
	}
	for account := range limits {
		// The holder of an account doesn't depend on the routing, so that no other entry has held it since the list changed.
		a.addBuckets(a.view.Load(), account, a.changedAt)
	}
	for key, b := range a.buckets {
		if _, ok := limits[key.account]; !ok && b.limit.Number <= number {
			delete(a.buckets, key)
			// If another entry still asks for tokens of the account, its bucket must not start with tokens that were granted before.
			a.changedAt = now
		}
	}
	a.fillAll(now)
}

// Confirm records that control has answered a request that was sent at the given time. It is called after the list of the answer was set,
// if that has another version.
func (a *Allocator) Confirm(sent time.Duration) {
	now := a.cfg.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fillAll(now)
	if a.isListNew && !a.isWithinLease(now) {
		a.reconfirm(now)
	}
	a.isListNew = false
	a.removeJoining(sent, now)
	if !a.isConfirmed || sent > a.confirmed {
		a.confirmed, a.isConfirmed = sent, true
	}
}

// reconfirm applies that the list has changed since the last confirmation and the lease has ended, so that control may have listed other
// holders in between; the caller holds mu.
func (a *Allocator) reconfirm(now time.Duration) {
	// Another holder that has begun since then can't settle before its lease ends, so that it grants at the reduced rate and then nothing.
	isKept := a.isConfirmed && now-a.confirmed+a.rules.overlap < a.rules.lease+a.rules.isolation
	for key, b := range a.buckets {
		if !isKept || now-b.since < a.rules.settling {
			delete(a.buckets, key)
		}
	}
	a.reconfirmedAt, a.changedAt = now, now
	a.join(a.view.Load(), now)
	for account := range a.limits {
		a.addBuckets(a.view.Load(), account, now)
	}
}

// isWithinLease reports whether the entry lease allows this entry to grant at the full rate; the caller holds mu.
func (a *Allocator) isWithinLease(now time.Duration) bool {
	return a.isConfirmed && now-a.confirmed < a.rules.lease
}

// factor returns the part of the rate and the capacity of its share that a bucket has at a time; the caller holds mu.
func (a *Allocator) factor(b *bucket, at time.Duration) float64 {
	isSettled := at-b.since >= a.rules.settling
	switch {
	case !a.isConfirmed || at-a.confirmed >= a.rules.lease+a.rules.isolation:
		return 0
	case !isSettled && at-a.confirmed >= a.rules.unsettledLease:
		return a.rules.isolatedUnsettledFactor
	case at-a.confirmed >= a.rules.lease:
		return a.rules.unconfirmedFactor
	case at-b.since < a.rules.waiting && !a.isCleared(at):
		return 0
	case at-b.since < a.rules.joining:
		return a.rules.joiningFactor
	case !isSettled:
		return a.rules.unsettledFactor
	case at-a.reconfirmedAt < a.rules.overlap:
		return a.rules.reconfirmedFactor
	}
	return 1
}

// fillTo fills a bucket up to now, by the factor of each time in between; the caller holds mu.
func (a *Allocator) fillTo(b *bucket, now time.Duration) {
	rate, capacity := a.part(b.limit, now)
	changes := [...]time.Duration{
		a.confirmed + a.rules.unsettledLease, a.confirmed + a.rules.lease, a.confirmed + a.rules.lease + a.rules.isolation,
		a.introductions.clearedAt, b.since + a.rules.waiting, b.since + a.rules.joining, b.since + a.rules.settling, a.reconfirmedAt + a.rules.overlap,
	}
	for b.filledAt < now {
		end := now
		for _, c := range changes {
			if c > b.filledAt {
				end = min(end, c)
			}
		}
		f := a.factor(b, b.filledAt)
		b.fill(end, f*rate, reduced(capacity, f))
	}
	b.tokens = min(b.tokens, reduced(capacity, a.factor(b, now)))
}

// reduced returns a capacity reduced by a factor, but at least that of one token. While nothing is granted the tokens are kept, because the
// holder may be confirmed by an unchanged list.
func reduced(capacity, factor float64) float64 {
	if factor == 0 {
		return capacity
	}
	return max(factor*capacity, 1)
}

// holds reports whether this entry holds the share of an account.
func (a *Allocator) holds(v *view, account string, s share) bool {
	if s.zone != a.cfg.Zone {
		return false
	}
	m, ok := v.holder(account, s)
	return ok && a.isSelf(m) && !a.isOutranked(account, s.name)
}

func (a *Allocator) isSelf(m Member) bool {
	return m.ID == a.cfg.InstanceID && m.Incarnation == a.cfg.Incarnation
}

// addBuckets adds the missing buckets of the shares of an account that this entry has held since the given time; the caller holds mu.
func (a *Allocator) addBuckets(v *view, account string, since time.Duration) {
	for _, s := range v.shares {
		key := shareKey{account, s.name}
		if a.buckets[key] == nil && a.holds(v, account, s) {
			a.addBucket(key, a.limits[account], since)
		}
	}
}

func (a *Allocator) addBucket(key shareKey, limit Limit, since time.Duration) *bucket {
	b := &bucket{limit: limit, since: since, filledAt: since}
	if a.rules.fill > 0 {
		_, capacity := a.part(limit, since)
		b.tokens = a.rules.fill * capacity
	}
	a.buckets[key] = b
	return b
}

// divisor returns the number of shares that the holders grant by; the caller holds mu.
func (a *Allocator) divisor(now time.Duration) int {
	n := len(a.view.Load().shares)
	if now < a.moreSharesUntil {
		n = max(n, a.moreShares)
	}
	return n
}

// part returns the rate and the capacity of the bucket of one share; the caller holds mu.
func (a *Allocator) part(l Limit, now time.Duration) (rate, capacity float64) {
	n := float64(max(a.divisor(now), 1))
	return l.Rate / n, max(l.Burst/n, 1) + bucketSlack*a.cfg.Slack/n
}

// fillAll fills all buckets by the current limits and number of shares, before and after these change; the caller holds mu.
func (a *Allocator) fillAll(now time.Duration) {
	for key, b := range a.buckets {
		a.fill(key, b, Limit{}, now)
	}
}

// fill fills a bucket by the limit in force, and after that applies a changed one; the caller holds mu.
func (a *Allocator) fill(key shareKey, b *bucket, requested Limit, now time.Duration) {
	a.fillTo(b, now)
	own, ok := a.limits[key.account]
	switch {
	case ok && a.number >= max(requested.Number, b.limit.Number):
		b.limit = own
	case requested.isValid() && requested.Number >= b.limit.Number:
		b.limit = requested
	}
	_, capacity := a.part(b.limit, now)
	b.tokens = min(b.tokens, reduced(capacity, a.factor(b, now)))
}

// Grant grants tokens of a share that this entry holds.
func (a *Allocator) Grant(r Request) Reply {
	now := a.cfg.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Share == joiningShare {
		return Reply{Granting: a.acknowledge(r.Account, now)}
	}
	b := a.grantingBucket(r, now)
	if b == nil {
		return Reply{RetryAfter: a.waitForHolder(now)}
	}
	rate, capacity := a.part(b.limit, now)
	factor := a.factor(b, now)
	rate, capacity = factor*rate, reduced(capacity, factor)
	b.tokens = min(b.tokens+float64(min(max(r.Returned, 0), maxCount)), capacity)
	reply := Reply{Granting: true, Granted: b.take(min(max(r.Count, 0), maxCount))}
	if reply.Granted < r.Count {
		reply.RetryAfter = b.waitForOne(rate)
	}
	return reply
}

// grantingBucket returns the filled bucket of the share that r names, or nil if this entry doesn't grant from it; the caller holds mu.
func (a *Allocator) grantingBucket(r Request, now time.Duration) *bucket {
	v := a.view.Load()
	s, ok := v.find(r.Share)
	if !ok || !a.holds(v, r.Account, s) || !r.Limit.isValid() {
		return nil
	}
	key := shareKey{r.Account, r.Share}
	b := a.buckets[key]
	if b == nil {
		if len(a.buckets) >= maxBuckets {
			return nil
		}
		b = a.addBucket(key, r.Limit, a.changedAt)
	}
	a.fill(key, b, r.Limit, now)
	if a.factor(b, now) == 0 {
		return nil
	}
	return b
}

// takeReserve takes a token of this entry's reserve of an account.
func (a *Allocator) takeReserve(v *view, account string, limit Limit) bool {
	now := a.cfg.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.reserves[account]
	if r == nil {
		r = &reserve{bucket: bucket{filledAt: a.startedAt}}
		a.reserves[account] = r
	}
	if r.view != v {
		r.view, r.isUsable = v, v.isReserve(account, a.cfg.InstanceID, a.rules.reserves)
	}
	if !r.isUsable {
		return false
	}
	r.bucket.fill(now, min(limit.Rate/float64(len(v.members)), a.rules.reserveRate), 1)
	return r.bucket.take(1) == 1
}

// farAway is later than any time at which a share may be asked again.
const farAway = time.Duration(math.MaxInt64)
