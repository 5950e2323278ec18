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

// routeTimeout is under the second that operators wait before they turn to another member.
const routeTimeout = 900 * time.Millisecond

// InvalidError says why a routing document can never be in force.
type InvalidError struct{ Reason string }

// Error gives the reason.
func (e *InvalidError) Error() string { return "invalid routing: " + e.Reason }

// PutRouting puts a routing document through the log and returns once a majority holds it or one with a higher number; the
// error is an *InvalidError when it can't be in force.
func (d *Deliverer) PutRouting(ctx context.Context, number uint64, document []byte) (err error) {
	began := d.cfg.Now()
	defer func() {
		d.cfg.Log.Info().Uint64("number", number).Int("bytes", len(document)).Dur("took-ms", d.cfg.Now().Sub(began)).Err(err).
			Bool("acknowledged", err == nil).Msg("routing put")
	}()
	if _, err := d.cfg.ParseRouting(document); err != nil {
		return &InvalidError{err.Error()}
	}
	if cur := d.cfg.Current(); cur.Routing != nil && cur.RoutingNumber >= number {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	address, self := d.cfg.Leader()
	if self {
		return d.route(ctx, number, document)
	}
	if address == "" {
		return errNoLeader
	}
	reply, err := d.client(address).deliverer.Route(ctx, &delivererpb.RouteRequest{Number: number, Document: document})
	if err != nil {
		return errors.WithMessage(err, "put the routing through the leader")
	}
	if reply.Refusal != "" {
		return &InvalidError{reply.Refusal}
	}
	return nil
}

func (d *Deliverer) route(ctx context.Context, number uint64, document []byte) error {
	_, err := d.cfg.Propose(ctx, arbiter.Command{Routing: &arbiter.Routing{Number: number, Encoded: differ.Encode(nil, document)}})
	return err
}

// Route implements delivererpb.Deliverer; only the leader answers.
func (d *Deliverer) Route(ctx context.Context, req *delivererpb.RouteRequest) (*delivererpb.RouteReply, error) {
	if _, err := d.cfg.ParseRouting(req.Document); err != nil {
		return &delivererpb.RouteReply{Refusal: err.Error()}, nil
	}
	if err := d.route(ctx, req.Number, req.Document); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &delivererpb.RouteReply{}, nil
}

// NewestRouting returns the routing document with the highest number, confirmed by a majority after the call began; nil for none.
func (d *Deliverer) NewestRouting(ctx context.Context) (number uint64, document []byte, err error) {
	defer func() { err = errors.WithMessage(err, "read the routing") }()
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
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
	if _, err := d.cfg.ConfirmRound(ctx); err != nil {
		return 0, nil, err
	}
	doc := d.cfg.Current()
	return doc.RoutingNumber, doc.Routing, nil
}

// Routing implements delivererpb.Deliverer; only the leader answers.
func (d *Deliverer) Routing(ctx context.Context, _ *delivererpb.RoutingRequest) (*delivererpb.RoutingReply, error) {
	number, document, err := d.confirmedRouting(ctx)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &delivererpb.RoutingReply{Number: number, Document: document}, nil
}

// packer packs the newest routing document once for all entries that hold the same one.
type packer struct {
	mu sync.Mutex
	// newest is the revision that brought the packed document, packed its packings by the revision of their base.
	newest uint64
	packed map[uint64][]byte
}

// pack returns a document by what it shares with an earlier one, base, of a revision; 0 and nil for none.
func (p *packer) pack(doc *arbiter.Configuration, revision uint64, base []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if doc.RoutingSince != p.newest || p.packed == nil {
		p.newest, p.packed = doc.RoutingSince, make(map[uint64][]byte)
	}
	if p.packed[revision] == nil {
		p.packed[revision] = differ.Encode(base, doc.Routing)
	}
	return p.packed[revision]
}
