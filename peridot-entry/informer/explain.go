package informer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/escaper"
	"peridotswitch.example/common/informerpb"
	"peridotswitch.example/peridot-entry/tracer"
)

// errNoLease is the error for an entry of the inventory that was not queried because it holds no membership lease.
var errNoLease = errors.New("holds no membership lease")

// Default and largest number of slow calls in one reply.
const (
	defaultSlowCalls = 50
	maxSlowCalls     = 1000
)

// entryReply states whether the reply includes an entry's data, or else why not.
type entryReply struct {
	InstanceID string `json:"instance-id"`
	Answered   bool   `json:"answered"`
	Error      string `json:"error,omitempty"`
	CountedMS  int64  `json:"counted-ms,omitempty"`
}

type partReply struct {
	Part       string  `json:"part"`
	DurationMS float64 `json:"duration-ms"`
	Share      float64 `json:"share"`
}

type callReply struct {
	*tracer.Trace
	Entry        string      `json:"entry"`
	ServerTiming string      `json:"server-timing"`
	Parts        []partReply `json:"parts"`
}

type explainReply struct {
	RequestID string       `json:"request-id"`
	Calls     []callReply  `json:"calls"`
	Entries   []entryReply `json:"entries"`
}

type slowReply struct {
	Calls     []callReply `json:"calls"`
	Contained any         `json:"contained"`
}

func (n *Informer) serveSlow(w http.ResponseWriter, req *http.Request) {
	limit := defaultSlowCalls
	if v := req.URL.Query().Get("most"); v != "" {
		var err error
		if limit, err = strconv.Atoi(v); err != nil || limit < 1 || limit > maxSlowCalls {
			writeJSON(w, http.StatusBadRequest, errorReply{"most is " + strconv.Quote(v) + ", want 1 to " + strconv.Itoa(maxSlowCalls)})
			return
		}
	}
	reply := slowReply{Calls: []callReply{}, Contained: n.cfg.Contained()}
	for _, t := range n.cfg.RecentTraces(limit) {
		reply.Calls = append(reply.Calls, newCallReply(n.cfg.InstanceID, t))
	}
	writeJSON(w, http.StatusOK, reply)
}

// serveExplain serves the traces of all calls with a request id, whichever entries took them.
func (n *Informer) serveExplain(w http.ResponseWriter, req *http.Request) {
	id := req.PathValue("id")
	reply := explainReply{RequestID: id, Calls: []callReply{}}
	results := queryAll(req.Context(), n, func(ctx context.Context, c informerpb.Informer) (*informerpb.ExplainReply, error) {
		return c.Explain(ctx, &informerpb.ExplainRequest{RequestId: escaper.Escape(id)})
	})
	for _, res := range results {
		calls, err := decodeTraces(res)
		reply.Calls = append(reply.Calls, calls...)
		reply.Entries = append(reply.Entries, newEntryReply(res.InstanceID, err))
	}
	status := http.StatusOK
	if len(reply.Calls) == 0 {
		status = http.StatusNotFound
	}
	writeJSON(w, status, reply)
}

func decodeTraces(res entryResult[*informerpb.ExplainReply]) (calls []callReply, err error) {
	if res.Err != nil {
		return nil, res.Err
	}
	for _, text := range res.Reply.Traces {
		t := &tracer.Trace{}
		if err = json.Unmarshal(text, t); err != nil {
			return nil, errors.WithMessage(err, "read trace")
		}
		calls = append(calls, newCallReply(res.InstanceID, t))
	}
	return calls, nil
}

func newEntryReply(instanceID string, err error) entryReply {
	if err != nil {
		return entryReply{InstanceID: instanceID, Error: err.Error()}
	}
	return entryReply{InstanceID: instanceID, Answered: true}
}

func newCallReply(entry string, t *tracer.Trace) callReply {
	r := callReply{Trace: t, Entry: entry, ServerTiming: t.ServerTiming()}
	for _, p := range t.Parts() {
		r.Parts = append(r.Parts, partReply{
			Part:       p.Label(),
			DurationMS: float64(p.Duration) / float64(time.Millisecond),
			Share:      float64(p.Duration) / float64(max(t.Total, 1)),
		})
	}
	return r
}
