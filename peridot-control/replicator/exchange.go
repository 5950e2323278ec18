package replicator

import (
	"context"
	"net"
	"net/http"
	"time"

	"peridotswitch.example/common/bounder"
	"peridotswitch.example/peridot-control/replicatorpb"
)

// Limits of the connections between members. snapshotTimeout applies to Exchange calls that carry a snapshot.
const (
	exchangeTimeout = 700 * time.Millisecond
	snapshotTimeout = 10 * time.Second
	dialTimeout     = 300 * time.Millisecond
	senderQueueSize = 256
)

// Exchange implements replicatorpb.Replicator.
func (r *Replicator) Exchange(ctx context.Context, req *replicatorpb.Messages) (*replicatorpb.Messages, error) {
	e := &exchange{}
	err := r.runOnLoop(ctx, func() {
		for _, m := range req.Messages {
			if m.To != r.core.id {
				continue
			}
			r.exchanges[m.From] = e
			r.core.step(m)
		}
	})
	if err != nil {
		return nil, err
	}
	return &replicatorpb.Messages{Messages: e.replies}, nil
}

// dispatch sends each message to the member that it is addressed to. A reply goes into the response of the member's own Exchange call if
// one is being handled.
func (r *Replicator) dispatch(messages []*replicatorpb.Message) {
	for _, m := range messages {
		if e := r.exchanges[m.To]; e != nil && isReply(m.Kind) {
			e.replies = append(e.replies, m)
			continue
		}
		if s := r.sender(m.To); s != nil {
			s.enqueue(m)
		}
	}
}

func isReply(k replicatorpb.MessageKind) bool {
	switch k {
	case replicatorpb.MessageKind_APPEND_REPLY, replicatorpb.MessageKind_VOTE_REPLY, replicatorpb.MessageKind_PRE_VOTE_REPLY:
		return true
	}
	return false
}

// sender returns the sender for a member, starting one if needed, or nil for an id that is not a member.
func (r *Replicator) sender(id uint64) *sender {
	if s := r.senders[id]; s != nil {
		return s
	}
	m := r.core.log.member(id)
	if m == nil {
		return nil
	}
	s := newSender(r, r.cfg.DialAddress(m))
	r.senders[id] = s
	return s
}

// stopRemovedSenders stops the senders of members that have been removed.
func (r *Replicator) stopRemovedSenders() {
	for id, s := range r.senders {
		if r.core.log.member(id) == nil {
			s.stop()
			delete(r.senders, id)
		}
	}
}

// sender sends messages to one member in batches, one Exchange call at a time.
type sender struct {
	queue  chan *replicatorpb.Message
	cancel context.CancelFunc
	done   chan struct{}
}

func newClient(address string, timeout time.Duration) (replicatorpb.Replicator, func()) {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return replicatorpb.NewReplicatorProtobufClient("http://"+address, bounder.NewClient(t, timeout)), t.CloseIdleConnections
}

func newSender(r *Replicator, address string) *sender {
	ctx, cancel := context.WithCancel(r.ctx)
	s := &sender{queue: make(chan *replicatorpb.Message, senderQueueSize), cancel: cancel, done: make(chan struct{})}
	client, closeIdle := newClient(address, snapshotTimeout)
	go func() {
		defer close(s.done)
		defer closeIdle()
		for {
			select {
			case <-ctx.Done():
				return
			case m := <-s.queue:
				s.exchange(ctx, r, client, s.batch(m))
			}
		}
	}()
	return s
}

// enqueue queues a message, or drops it when the queue is full; the protocol retransmits lost messages.
func (s *sender) enqueue(m *replicatorpb.Message) {
	select {
	case s.queue <- m:
	default:
	}
}

// batch returns first and all messages queued after it.
func (s *sender) batch(first *replicatorpb.Message) []*replicatorpb.Message {
	batch := []*replicatorpb.Message{first}
	for {
		select {
		case m := <-s.queue:
			batch = append(batch, m)
		default:
			return batch
		}
	}
}

func (s *sender) exchange(ctx context.Context, r *Replicator, client replicatorpb.Replicator, batch []*replicatorpb.Message) {
	timeout := exchangeTimeout
	for _, m := range batch {
		if m.Kind == replicatorpb.MessageKind_INSTALL {
			timeout = snapshotTimeout
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// The timeout closes a connection whose peer has stopped responding; the next Exchange call opens a new one.
	reply, err := client.Exchange(callCtx, &replicatorpb.Messages{Messages: batch})
	if err != nil || len(reply.Messages) == 0 {
		return
	}
	_ = r.runOnLoop(ctx, func() {
		for _, m := range reply.Messages {
			r.core.step(m)
		}
	})
}

func (s *sender) stop()  { s.cancel() }
func (s *sender) close() { s.cancel(); <-s.done }
