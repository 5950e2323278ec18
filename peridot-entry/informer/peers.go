package informer

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"peridotswitch.example/common/escaper"
	"peridotswitch.example/common/informerpb"
	"peridotswitch.example/peridot-entry/accountant"
)

// peerTimeout is how long another entry may take to respond.
const peerTimeout = time.Second

// Handler returns the handler for other entries' queries, to be mounted at informerpb.InformerPathPrefix.
func (n *Informer) Handler() http.Handler { return informerpb.NewInformerServer(&peerServer{n}) }

// peerServer implements informerpb.Informer with this entry's own data.
type peerServer struct{ n *Informer }

// Burn implements informerpb.Informer.
func (s *peerServer) Burn(context.Context, *informerpb.BurnRequest) (*informerpb.BurnReply, error) {
	reply := &informerpb.BurnReply{InstanceId: s.n.cfg.InstanceID, CountedMs: s.n.cfg.CountedFor().Milliseconds()}
	for _, c := range s.n.cfg.Counts() {
		reply.Services = append(reply.Services, &informerpb.ServiceCounts{
			Service: c.Service,
			Windows: encodeCounts(c.Windows[:]),
			Steps:   encodeCounts(c.Steps[:]),
		})
	}
	return reply, nil
}

// Explain implements informerpb.Informer.
func (s *peerServer) Explain(_ context.Context, req *informerpb.ExplainRequest) (*informerpb.ExplainReply, error) {
	reply := &informerpb.ExplainReply{}
	for _, t := range s.n.cfg.FindTraces(escaper.Unescape(req.RequestId)) {
		text, err := json.Marshal(t)
		if err != nil {
			return nil, err
		}
		reply.Traces = append(reply.Traces, text)
	}
	return reply, nil
}

func encodeCounts(counts []accountant.Count) []*informerpb.Count {
	out := make([]*informerpb.Count, len(counts))
	for i, c := range counts {
		out[i] = &informerpb.Count{Total: c.Total, Bad: c.Bad}
	}
	return out
}

func decodeCounts(dst []accountant.Count, counts []*informerpb.Count) {
	for i := 0; i < len(dst) && i < len(counts); i++ {
		dst[i] = accountant.Count{Total: counts[i].Total, Bad: counts[i].Bad}
	}
}

// entryResult is the reply of one entry, or the error that took its place.
type entryResult[T any] struct {
	InstanceID string
	Reply      T
	Err        error
}

// queryAll runs query on every entry in parallel, including this one, within peerTimeout. The address of an entry that holds no
// membership lease is not known, so entries of the inventory without one get the result errNoLease.
func queryAll[T any](ctx context.Context, n *Informer, query func(context.Context, informerpb.Informer) (T, error)) []entryResult[T] {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	self, err := query(ctx, &peerServer{n})
	results := []entryResult[T]{{n.cfg.InstanceID, self, err}}
	members := n.cfg.Entries()
	seen := map[string]bool{n.cfg.InstanceID: true}
	replies := make([]entryResult[T], len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		if seen[m.InstanceId] {
			continue
		}
		seen[m.InstanceId] = true
		wg.Go(func() {
			reply, err := query(ctx, informerpb.NewInformerProtobufClient("http://"+m.PeerAddress, n.client))
			replies[i] = entryResult[T]{m.InstanceId, reply, err}
		})
	}
	wg.Wait()
	for _, res := range replies {
		if res.InstanceID != "" {
			results = append(results, res)
		}
	}
	if cfg := n.cfg.Configuration(); cfg != nil {
		for _, e := range cfg.Inventory.Entries {
			if !seen[e.InstanceID] {
				results = append(results, entryResult[T]{InstanceID: e.InstanceID, Err: errNoLease})
			}
		}
	}
	return results
}
