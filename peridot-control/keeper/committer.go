package keeper

import (
	"context"
	"sync"

	"github.com/twitchtv/twirp"

	"peridotswitch.example/common/claimerpb"
)

// compactGrowthBytes is added to twice the size after the last compaction to give the size that triggers the next one.
const compactGrowthBytes = 16 << 20

// batch is a group of records that are written with one sync.
type batch struct {
	buf  []byte
	done chan struct{}
	err  error
}

// committer writes batches of records to the log in a background goroutine.
type committer struct {
	mu       *sync.Mutex
	log      *logFile
	snapshot func() ([]byte, error)
	// onFailure is called with the first error.
	onFailure func(error)
	// pending collects records while the previous batch is written. last is the newest batch that has records.
	pending, last *batch
	err           error
	// compactedBytes is the size of the log after its last compaction.
	compactedBytes int64
	wake           chan struct{}
	stop           chan struct{}
	wg             sync.WaitGroup
}

// newCommitter starts the goroutine that writes to l. mu guards the table and the pending batch. snapshot encodes the whole state
// as log records and is called with mu held.
func newCommitter(l *logFile, mu *sync.Mutex, snapshot func() ([]byte, error), onFailure func(error)) *committer {
	c := &committer{mu: mu, log: l, snapshot: snapshot, onFailure: onFailure, compactedBytes: l.bytes, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	c.pending = newBatch()
	c.last = newBatch()
	close(c.last.done)
	c.wg.Go(func() {
		for {
			select {
			case <-c.wake:
				c.commit()
			case <-c.stop:
				c.commit()
				return
			}
		}
	})
	return c
}

func newBatch() *batch { return &batch{done: make(chan struct{})} }

// add adds records to the pending batch. The caller holds mu.
func (c *committer) add(records ...*claimerpb.LogRecord) (err error) {
	if c.err != nil {
		return c.err
	}
	for _, r := range records {
		if c.pending.buf, err = appendRecord(c.pending.buf, r); err != nil {
			return err
		}
	}
	c.last = c.pending
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// barrier returns a function that waits until all records added so far are synced. The caller holds mu.
func (c *committer) barrier() func(context.Context) error {
	b := c.last
	return func(ctx context.Context) error {
		select {
		case <-b.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if b.err != nil {
			return twirp.InternalErrorWith(b.err)
		}
		return nil
	}
}

// commit writes the pending batch, or compacts the log if it has grown too large. After a failure every later batch fails too,
// because the contents of the file are then unknown.
func (c *committer) commit() {
	c.mu.Lock()
	b := c.pending
	c.pending = newBatch()
	buf, compact := b.buf, c.log.bytes > 2*c.compactedBytes+compactGrowthBytes
	err := c.err
	if compact && err == nil {
		buf, err = c.snapshot()
	}
	c.mu.Unlock()
	if err == nil && compact {
		if err = c.log.replace(buf); err == nil {
			c.compactedBytes = c.log.bytes
		}
	} else if err == nil && len(buf) > 0 {
		err = c.log.append(buf)
	}
	b.err = err
	if err != nil {
		c.mu.Lock()
		first := c.err == nil
		c.err = err
		c.mu.Unlock()
		if first {
			c.onFailure(err)
		}
	}
	close(b.done)
}

func (c *committer) close() error {
	close(c.stop)
	c.wg.Wait()
	return c.log.close()
}
