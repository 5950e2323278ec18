package prover

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"
)

// send is one send of an order as its caller saw it.
type send struct {
	key, requestID string
	// outcome covers all sends of the order; sendOutcome covers this one and is empty when the entry did not report it. runID identifies
	// the execution whose response the caller got.
	outcome, sendOutcome, response, runID string
	status                                int
}

// history records what callers saw.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
	// lastOutcome is the outcome of the last send of each order.
	lastOutcome map[string]string
}

// workload is a set of callers that place orders and resend each until it is known to have run.
type workload struct {
	seed      uint64
	callers   int
	entries   []string
	keyPrefix string
}

const (
	callTimeout = 2 * time.Second
	// resendTimeout bounds how long a caller resends one order.
	resendTimeout = 9 * time.Second
	// maxBadGateways is the number of 502 responses after which a caller accepts unknown as the final outcome.
	maxBadGateways = 3
	callerPause    = 5 * time.Millisecond
)

// run places orders until done is closed.
func (w workload) run(done <-chan struct{}) *history {
	h := &history{start: time.Now(), lastOutcome: make(map[string]string)}
	var wg sync.WaitGroup
	for caller := range w.callers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(w.seed, uint64(caller)))
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(callerPause):
				}
				w.placeOrder(h, rnd, caller, fmt.Sprintf("%s-%d-%d", w.keyPrefix, caller, n))
			}
		})
	}
	wg.Wait()
	return h
}

func (w workload) placeOrder(h *history, rnd *rand.Rand, caller int, key string) {
	issued := time.Now()
	badGateways := 0
	for n := 0; time.Since(issued) < resendTimeout && badGateways < maxBadGateways; n++ {
		entry := w.entries[rnd.IntN(len(w.entries))]
		s := h.send(entry, caller, key, fmt.Sprintf("%s/%d", key, n), issued)
		if s.outcome == "ran" {
			return
		}
		if s.status == http.StatusBadGateway {
			badGateways++
		}
		time.Sleep(time.Duration(10+rnd.IntN(40)) * time.Millisecond)
	}
}

func (h *history) send(entry string, caller int, key, requestID string, issued time.Time) send {
	s := send{key: key, requestID: requestID, outcome: "unknown"}
	begin := time.Since(h.start).Nanoseconds()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := callContext(ctx, entry, http.MethodPost, "/call/"+orderService+"/orders", "wax for "+key, map[string]string{
		"Idempotency-Key":     key,
		"Peridot-Request-Id":  requestID,
		"Peridot-Issued-At":   strconv.FormatInt(issued.UnixMilli(), 10),
		"Peridot-Deadline-Ms": "1500",
	})
	if err == nil {
		s.outcome, s.sendOutcome, s.status = r.header.Get("Peridot-Outcome"), r.header.Get("Peridot-Send-Outcome"), r.status
		s.response, s.runID = r.body, r.header.Get("X-Run")
	}
	op := porcupine.Operation{ClientId: caller, Input: s.key, Call: begin, Output: s, Return: time.Since(h.start).Nanoseconds()}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
	h.lastOutcome[key] = s.outcome
	return s
}

// keyState is the model's state of a key; runID is empty until a response has named it.
type keyState struct {
	mayHaveRun bool
	runID      string
}

// orderModel specifies at-most-once execution as callers see it: all responses for a key come from one run, and not-run is reported
// only for a key that has not run.
func orderModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: func(ops []porcupine.Operation) (out [][]porcupine.Operation) {
			byKey := make(map[any][]porcupine.Operation)
			for _, op := range ops {
				byKey[op.Input] = append(byKey[op.Input], op)
			}
			for _, part := range byKey {
				out = append(out, part)
			}
			return out
		},
		Init: func() []any { return []any{keyState{}} },
		Step: func(state, _, output any) []any {
			s, o := state.(keyState), output.(send)
			switch o.outcome {
			case "ran":
				if s.runID != "" && s.runID != o.runID {
					return nil
				}
				return []any{keyState{true, o.runID}}
			case "not-run":
				if s.mayHaveRun {
					return nil
				}
				return []any{s}
			}
			return []any{s, keyState{true, s.runID}}
		},
	}
	return m.ToModel()
}

// checkLinearizability checks the history against orderModel; a send with the outcome unknown may take effect at any later time.
func (h *history) checkLinearizability() porcupine.CheckResult {
	ops := make([]porcupine.Operation, len(h.ops))
	copy(ops, h.ops)
	for i := range ops {
		if ops[i].Output.(send).outcome == "unknown" {
			ops[i].Return = time.Since(h.start).Nanoseconds()
		}
	}
	return porcupine.CheckOperationsTimeout(orderModel(), ops, time.Minute)
}

// check compares the history with the backend servers' ledgers and returns the share of orders that ended as ran.
func (h *history) check(f *claimFleet) float64 {
	runs := f.runs()
	for key, lines := range runs {
		Expect(lines).To(HaveLen(1), "runs of %s", key)
	}
	for _, op := range h.ops {
		s := op.Output.(send)
		lines := runs[s.key]
		if s.outcome == "not-run" || s.sendOutcome == "not-run" {
			for _, l := range lines {
				Expect(l.RequestID).NotTo(Equal(s.requestID), "a send reported as not-run has run")
			}
		}
		if s.outcome == "ran" {
			Expect(lines).To(HaveLen(1), "%s was reported as ran", s.key)
			Expect(s.response).To(HavePrefix(lines[0].Instance+" "), "the response names the server that ran the order")
			Expect(s.response).To(HaveSuffix("wax for "+s.key), "the response belongs to the key")
		}
	}
	ran := 0
	for key, outcome := range h.lastOutcome {
		switch outcome {
		case "ran":
			ran++
		case "not-run":
			Expect(runs[key]).To(BeEmpty(), "%s ended as not-run", key)
		}
	}
	return float64(ran) / float64(max(len(h.lastOutcome), 1))
}

// String counts orders and sends by outcome.
func (h *history) String() string {
	orders, sends := make(map[string]int), make(map[string]int)
	for _, o := range h.lastOutcome {
		orders[o]++
	}
	for _, op := range h.ops {
		s := op.Output.(send)
		sends[strings.TrimSpace(fmt.Sprintf("%s %d", s.outcome, s.status))]++
	}
	return fmt.Sprintf("orders %v, sends %v", orders, sends)
}
