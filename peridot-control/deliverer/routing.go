package deliverer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/differ"
	"peridotswitch.example/peridot-control/arbiter"
)

// routingTimeout is shorter than the 1 s after which operators try another member.
const routingTimeout = 900 * time.Millisecond

// InvalidRoutingError reports why a routing document is invalid.
type InvalidRoutingError struct{ Reason string }

func (e *InvalidRoutingError) Error() string { return "invalid routing: " + e.Reason }

// PutRouting proposes a routing document to the log and returns once that document, or one with a higher number, is committed. The
// error is an *InvalidRoutingError if the document is invalid.
func (d *Deliverer) PutRouting(ctx context.Context, number uint64, document []byte) (err error) {
	start := d.cfg.Now()
	defer func() {
		d.cfg.Log.Info().Uint64("number", number).Int("bytes", len(document)).Dur("took-ms", d.cfg.Now().Sub(start)).Err(err).
			Bool("acknowledged", err == nil).Msg("routing put")
	}()
	if _, err := d.cfg.ParseRouting(document); err != nil {
		return &InvalidRoutingError{err.Error()}
	}
	if cur := d.cfg.Current(); cur.Routing != nil && cur.RoutingNumber >= number {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, routingTimeout)
	defer cancel()
	address, self := d.cfg.Leader()
	if self {
		return d.proposeRouting(ctx, number, document)
	}
	if address == "" {
		return errNoLeader
	}
	reply, err := d.client(address).deliverer.Route(ctx, &delivererpb.RouteRequest{Number: number, Document: document})
	if err != nil {
		return errors.WithMessage(err, "put the routing through the leader")
	}
	if reply.Refusal != "" {
		return &InvalidRoutingError{reply.Refusal}
	}
	return nil
}

func (d *Deliverer) proposeRouting(ctx context.Context, number uint64, document []byte) error {
	_, err := d.cfg.Propose(ctx, arbiter.Command{Routing: &arbiter.Routing{Number: number, Encoded: differ.Encode(nil, document)}})
	return err
}

// Route implements delivererpb.Deliverer; only the leader answers.
func (d *Deliverer) Route(ctx context.Context, req *delivererpb.RouteRequest) (*delivererpb.RouteReply, error) {
	if _, err := d.cfg.ParseRouting(req.Document); err != nil {
		return &delivererpb.RouteReply{Refusal: validText(err.Error())}, nil
	}
	if err := d.proposeRouting(ctx, req.Number, req.Document); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &delivererpb.RouteReply{}, nil
}

// NewestRouting returns the routing document with the highest number, or nil if there is none. A majority has confirmed the leader
// after the call began, so the read is linearizable.
func (d *Deliverer) NewestRouting(ctx context.Context) (number uint64, document []byte, err error) {
	defer func() { err = errors.WithMessage(err, "read the routing") }()
	ctx, cancel := context.WithTimeout(ctx, routingTimeout)
	defer cancel()
	address, self := d.cfg.Leader()
	if self {
		return d.confirmedRouting(ctx)
	}
	if address == "" {
		return 0, nil, errNoLeader
	}
	reply, err := d.client(address).deliverer.Routing(ctx, &delivererpb.RoutingRequest{})
	if err != nil {
		return 0, nil, err
	}
	return reply.Number, reply.Document, nil
}

func (d *Deliverer) confirmedRouting(ctx context.Context) (uint64, []byte, error) {
	if _, err := d.cfg.QuorumReadIndex(ctx); err != nil {
		return 0, nil, err
	}
	cur := d.cfg.Current()
	return cur.RoutingNumber, cur.Routing, nil
}

// Routing implements delivererpb.Deliverer; only the leader answers.
func (d *Deliverer) Routing(ctx context.Context, _ *delivererpb.RoutingRequest) (*delivererpb.RoutingReply, error) {
	number, document, err := d.confirmedRouting(ctx)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &delivererpb.RoutingReply{Number: number, Document: document}, nil
}

// routingDeltas caches the delta encodings of the newest routing document, so that each is computed once for all entries that hold the
// same base document.
type routingDeltas struct {
	mu sync.Mutex
	// revision is the one that introduced the document. deltas holds the encodings by the revision of their base.
	revision uint64
	deltas   map[uint64][]byte
}

// get returns the routing document of cur encoded as a delta against base, which baseRevision introduced; nil and 0 for no base.
func (r *routingDeltas) get(cur *arbiter.Configuration, baseRevision uint64, base []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cur.RoutingSince != r.revision || r.deltas == nil {
		r.revision, r.deltas = cur.RoutingSince, make(map[uint64][]byte)
	}
	if r.deltas[baseRevision] == nil {
		r.deltas[baseRevision] = differ.Encode(base, cur.Routing)
	}
	return r.deltas[baseRevision]
}
