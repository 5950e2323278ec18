package informer

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"peridotswitch.example/common/informerpb"
	"peridotswitch.example/peridot-entry/accountant"
)

// peerTimeout bounds what another entry may take to answer.
const peerTimeout = time.Second

// Handler serves the other entries' questions under informerpb.InformerPathPrefix.
func (n *Informer) Handler() http.Handler { return informerpb.NewInformerServer(&peerServer{n}) }

// peerServer implements informerpb.Informer with what this entry itself knows.
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
	for _, t := range s.n.cfg.FindTraces(req.RequestId) {
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

func decodeCounts(to []accountant.Count, counts []*informerpb.Count) {
	for i := 0; i < len(to) && i < len(counts); i++ {
		to[i] = accountant.Count{Total: counts[i].Total, Bad: counts[i].Bad}
	}
}

// answer is what one entry said.
type answer[T any] struct {
	InstanceID string
	Reply      T
	Err        error
}

// askAll puts a question to every entry, this one included, at once, each with a bounded time-out. Entries of the inventory that
// hold no membership lease have no address to ask at and are answers with errNoLease.
func askAll[T any](ctx context.Context, n *Informer, question func(context.Context, informerpb.Informer) (T, error)) []answer[T] {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	self, err := question(ctx, &peerServer{n})
	answers := []answer[T]{{n.cfg.InstanceID, self, err}}
	members := n.cfg.Entries()
	listed := map[string]bool{n.cfg.InstanceID: true}
	asked := make([]answer[T], len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		if listed[m.InstanceId] {
			continue
		}
		listed[m.InstanceId] = true
		wg.Go(func() {
			reply, err := question(ctx, informerpb.NewInformerProtobufClient("http://"+m.PeerAddress, n.client))
			asked[i] = answer[T]{m.InstanceId, reply, err}
		})
	}
	wg.Wait()
	for _, a := range asked {
		if a.InstanceID != "" {
			answers = append(answers, a)
		}
	}
	if cfg := n.cfg.Configuration(); cfg != nil {
		for _, e := range cfg.Inventory.Entries {
			if !listed[e.InstanceID] {
				answers = append(answers, answer[T]{InstanceID: e.InstanceID, Err: errNoLease})
			}
		}
	}
	return answers
}
