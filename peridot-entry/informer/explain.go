package informer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/informerpb"
	"peridotswitch.example/peridot-entry/tracer"
)

// errNoLease says why an entry of the inventory was not asked.
var errNoLease = errors.New("holds no membership lease")

// Bounds of how many slow calls one answer lists.
const (
	defaultSlow = 50
	maxSlow     = 1000
)

// entryReply says whether an entry's part is in the answer.
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

func (n *Informer) slow(w http.ResponseWriter, req *http.Request) {
	most := defaultSlow
	if v := req.URL.Query().Get("most"); v != "" {
		var err error
		if most, err = strconv.Atoi(v); err != nil || most < 1 || most > maxSlow {
			writeJSON(w, http.StatusBadRequest, errorReply{"most is " + strconv.Quote(v) + ", want 1 to " + strconv.Itoa(maxSlow)})
			return
		}
	}
	reply := slowReply{Calls: []callReply{}, Contained: n.cfg.Contained()}
	for _, t := range n.cfg.RecentTraces(most) {
		reply.Calls = append(reply.Calls, newCallReply(n.cfg.InstanceID, t))
	}
	writeJSON(w, http.StatusOK, reply)
}

// explain finds the calls with a request id at whichever entry took them.
func (n *Informer) explain(w http.ResponseWriter, req *http.Request) {
	id := req.PathValue("id")
	reply := explainReply{RequestID: id, Calls: []callReply{}}
	answers := askAll(req.Context(), n, func(ctx context.Context, c informerpb.Informer) (*informerpb.ExplainReply, error) {
		return c.Explain(ctx, &informerpb.ExplainRequest{RequestId: id})
	})
	for _, a := range answers {
		calls, err := decodeTraces(a)
		reply.Calls = append(reply.Calls, calls...)
		reply.Entries = append(reply.Entries, newEntryReply(a.InstanceID, err))
	}
	status := http.StatusOK
	if len(reply.Calls) == 0 {
		status = http.StatusNotFound
	}
	writeJSON(w, status, reply)
}

func decodeTraces(a answer[*informerpb.ExplainReply]) (calls []callReply, err error) {
	if a.Err != nil {
		return nil, a.Err
	}
	for _, text := range a.Reply.Traces {
		t := &tracer.Trace{}
		if err = json.Unmarshal(text, t); err != nil {
			return nil, errors.WithMessage(err, "read trace")
		}
		calls = append(calls, newCallReply(a.InstanceID, t))
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
