package limiter

// fairQueue chooses among the waiting calls of client accounts. Load condition: calls wait for permits, and some accounts have more calls
// waiting than others. It is weighted fair queueing with equal weights and calls of equal cost. With calls of a single account, or without
// accounts, the choice is the one by age.
type fairQueue struct {
	// time is the virtual time: the start of the call that was granted last.
	time float64
	// finish is the virtual time at which the last granted call of an account finishes. It is cleared when no call waits.
	finish map[string]float64
}

// next returns the call to grant next: of the account whose next call starts first, the newest or the oldest. waiters are in order of age, the
// oldest first, and not empty. Of accounts that start at the same time, the one with the newest or the oldest call comes first.
func (q *fairQueue) next(waiters []*waiter, newest bool) *waiter {
	var best *waiter
	for i := range waiters {
		w := waiters[i]
		if newest {
			w = waiters[len(waiters)-1-i]
		}
		if best == nil || q.start(w.account) < q.start(best.account) {
			best = w
		}
	}
	return best
}

// start returns the virtual time at which the account's next call starts.
func (q *fairQueue) start(account string) float64 { return max(q.time, q.finish[account]) }

// recordGrant records that a call of the account that has waited was granted its permit.
func (q *fairQueue) recordGrant(account string) {
	q.time = q.start(account)
	if q.finish == nil {
		q.finish = make(map[string]float64)
	}
	q.finish[account] = q.time + 1
}

// reset forgets all accounts; it is called when no call waits.
func (q *fairQueue) reset() { *q = fairQueue{} }

// victim returns the call to shed from a full queue for a new one of the given account: the oldest one of the account with the most waiting
// calls, counting the new one; of accounts with as many, the one whose next call starts last.
func (q *fairQueue) victim(waiters []*waiter, account string) *waiter {
	counts := map[string]int{account: 1}
	for _, w := range waiters {
		counts[w.account]++
	}
	best := waiters[0]
	for _, w := range waiters[1:] {
		n, most := counts[w.account], counts[best.account]
		if n > most || n == most && q.start(w.account) > q.start(best.account) {
			best = w
		}
	}
	return best
}
