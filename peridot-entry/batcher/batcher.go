package batcher

import (
	"context"
	"sync"
	"time"

	"peridotswitch.example/peridot-entry/allocator"
)

// Config configures a Batcher; every field is required.
type Config struct {
	// Send sends one message and returns the reply to it.
	Send func(context.Context, allocator.Member, allocator.Request) (allocator.Reply, error)
	// Timeout is how long a holder may take to respond.
	Timeout time.Duration
	// ReturnDelay is how long returned tokens wait for a request that carries them.
	ReturnDelay time.Duration
}

// Batcher sends requests for tokens; it is safe for concurrent use.
type Batcher struct {
	cfg    Config
	mu     sync.Mutex
	queues map[key]*queue
}

// key identifies the share of an account at a holder.
type key struct{ address, account, share string }

// queue holds the requests for tokens of one share that have not been sent.
type queue struct {
	member  allocator.Member
	limit   allocator.Limit
	waiting []*waiter
	// returned is the number of tokens to give back with the next message.
	returned int
	// isSending is set while a message is under way; there is at most one.
	isSending bool
}

// waiter is one request; result gets its reply.
type waiter struct {
	result chan result
	// left is set when the caller no longer waits.
	left bool
}

type result struct {
	reply allocator.Reply
	err   error
}

// New returns a Batcher.
func New(cfg Config) *Batcher { return &Batcher{cfg: cfg, queues: make(map[key]*queue)} }

// Ask asks the holder of a share for one token. Requests that arrive while a message about the same share is under way are sent together
// in the next one.
func (b *Batcher) Ask(ctx context.Context, m allocator.Member, r allocator.Request) (allocator.Reply, error) {
	w := &waiter{result: make(chan result, 1)}
	b.mu.Lock()
	k, q := b.queue(m, r)
	q.waiting = append(q.waiting, w)
	b.start(k, q)
	b.mu.Unlock()
	select {
	case res := <-w.result:
		return res.reply, res.err
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case res := <-w.result:
		return res.reply, res.err
	default:
	}
	w.left = true
	return allocator.Reply{}, ctx.Err()
}

// Return gives a token back to the holder of a share with the next message, or alone after ReturnDelay.
func (b *Batcher) Return(m allocator.Member, r allocator.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, q := b.queue(m, r)
	if q.returned += r.Returned; q.returned > r.Returned {
		return
	}
	time.AfterFunc(b.cfg.ReturnDelay, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.queues[k] == q {
			b.start(k, q)
		}
	})
}

// queue returns the queue for a request; the caller holds mu.
func (b *Batcher) queue(m allocator.Member, r allocator.Request) (key, *queue) {
	k := key{m.Address, r.Account, r.Share}
	q := b.queues[k]
	if q == nil {
		q = &queue{}
		b.queues[k] = q
	}
	q.member, q.limit = m, r.Limit
	return k, q
}

// start starts to send the requests of a queue unless a message is under way; the caller holds mu.
func (b *Batcher) start(k key, q *queue) {
	if q.isSending {
		return
	}
	q.isSending = true
	go b.run(k, q)
}

// run sends messages until the queue is empty.
func (b *Batcher) run(k key, q *queue) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(q.waiting) > 0 || q.returned > 0 {
		batch := q.waiting
		r := allocator.Request{Account: k.account, Share: k.share, Limit: q.limit, Count: len(batch), Returned: q.returned}
		m := q.member
		q.waiting, q.returned = nil, 0
		b.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), b.cfg.Timeout)
		reply, err := b.cfg.Send(ctx, m, r)
		cancel()
		b.mu.Lock()
		if err != nil {
			// The holder will probably not respond to another message either.
			batch, q.waiting = append(batch, q.waiting...), nil
		}
		q.returned += distribute(batch, reply, err)
	}
	delete(b.queues, k)
}

// distribute gives each waiter its part of a reply and returns the number of tokens that nobody waits for. The caller holds mu.
func distribute(batch []*waiter, reply allocator.Reply, err error) (left int) {
	left = min(reply.Granted, len(batch))
	for _, w := range batch {
		if w.left {
			continue
		}
		part := reply
		part.Granted = min(left, 1)
		left -= part.Granted
		w.result <- result{part, err}
	}
	return left
}
