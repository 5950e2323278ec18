package prover

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotswitch.example/common/operatorpb"
)

// registerInput is a change made from revision base, or a read when changeID is empty.
type registerInput struct {
	changeID string
	base     uint64
}

// registerOutput is the reply to an operation; its outcome is unknown when answered is false.
type registerOutput struct {
	answered bool
	accepted bool
	revision uint64
	changeID string
}

type registerState struct {
	revision uint64
	changeID string
}

// registerModel is the sequential specification: a register with compare-and-swap by revision.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{revision: 1, changeID: "first"} },
	Step: func(state, input, output any) (bool, any) {
		st, in, out := state.(registerState), input.(registerInput), output.(registerOutput)
		switch {
		case in.changeID == "":
			return out.revision == st.revision && out.changeID == st.changeID, st
		case in.base == st.revision && (out.accepted || !out.answered):
			next := registerState{st.revision + 1, in.changeID}
			return !out.answered || out.revision == next.revision, next
		case !out.answered:
			return true, st
		}
		return !out.accepted && in.base != st.revision && out.revision == st.revision, st
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// raceWorkload runs operators that make concurrent changes, and records the replies.
type raceWorkload struct {
	c       *controlFleet
	mu      sync.Mutex
	history []porcupine.Operation
	// firstReplies holds the first reply to each change, baseRevisions the revision that the change was made from.
	firstReplies  map[string]*operatorpb.ApplyReply
	baseRevisions map[string]uint64
}

func (r *raceWorkload) record(client int, in registerInput, out registerOutput, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := time.Now().UnixNano()
	if !out.answered {
		ended = 1 << 62
	}
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: began.UnixNano(), Return: ended})
}

// runOperator makes changes from the revision that it last read, each sent through random members until one replies.
func (r *raceWorkload) runOperator(client int, seed uint64, done <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(seed, uint64(client)))
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		began := time.Now()
		base, changeID, err := r.c.show(rnd.IntN(3))
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		r.record(client, registerInput{}, registerOutput{answered: true, revision: base, changeID: changeID}, began)
		in := registerInput{changeID: fmt.Sprintf("change-%d-%d", client, n), base: base}
		began = time.Now()
		out := r.applyUntilAnswered(rnd, in, began.Add(12*time.Second))
		r.record(client, in, out, began)
	}
}

func (r *raceWorkload) applyUntilAnswered(rnd *rand.Rand, in registerInput, until time.Time) (out registerOutput) {
	r.mu.Lock()
	r.baseRevisions[in.changeID] = in.base
	r.mu.Unlock()
	for time.Now().Before(until) {
		reply, err := r.c.applyOnce(rnd.IntN(3), in.changeID, in.base)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.firstReplies[in.changeID] = reply
		return registerOutput{answered: true, accepted: reply.Accepted, revision: reply.Revision}
	}
	return out
}

func (r *raceWorkload) countAccepted() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, reply := range r.firstReplies {
		if reply.Accepted {
			n++
		}
	}
	return n
}

// verify checks that the recorded operations are linearizable, that every accepted change is in the history exactly once and no
// refused one is, and that every change gets its first reply again when it is sent once more.
func (r *raceWorkload) verify() {
	result := porcupine.CheckOperationsTimeout(registerModel, r.history, 60*time.Second)
	Expect(result).To(BeEquivalentTo(porcupine.Ok), "%d operations", len(r.history))
	occurrences := make(map[string]int)
	var history *operatorpb.HistoryReply
	Eventually(func() (err error) {
		history, err = operatorClient(r.c.controlAddresses[0]).History(context.Background(), &operatorpb.HistoryRequest{})
		return err
	}, "20s", "50ms").Should(Succeed())
	for i, change := range history.Changes {
		occurrences[change.ChangeId]++
		Expect(change.Revision).To(Equal(uint64(i+1)), "the revisions in the history must be consecutive")
	}
	for id, first := range r.firstReplies {
		if first.Accepted {
			Expect(occurrences[id]).To(Equal(1), "accepted change %s in the final history", id)
		} else {
			Expect(occurrences[id]).To(BeZero(), "refused change %s in the final history", id)
		}
		var again *operatorpb.ApplyReply
		Eventually(func() (err error) {
			again, err = r.c.applyOnce(len(id)%3, id, r.baseRevisions[id])
			return err
		}, "20s", "50ms").Should(Succeed())
		Expect([]any{again.Accepted, again.Revision, again.WinnerChangeId, again.Refusal}).
			To(Equal([]any{first.Accepted, first.Revision, first.WinnerChangeId, first.Refusal}), "resend of %s", id)
	}
	GinkgoWriter.Printf("%d operations; %d changes accepted, %d answered\n", len(r.history), r.countAccepted(), len(r.firstReplies))
}

var _ = Describe("concurrent operators", Label("control"), func() {
	// A run ends after minFaults faults and minAccepted accepted changes, whichever is later.
	const (
		minAccepted = 200
		minFaults   = 6
	)
	// Each function injects one fault into control and removes it again.
	faultInjections := map[string]func(c *controlFleet, rnd *rand.Rand){
		"kill and restart": func(c *controlFleet, rnd *rand.Rand) {
			i := rnd.IntN(3)
			if rnd.IntN(2) == 0 {
				i = c.leader()
			}
			c.control[i].kill()
			time.Sleep(time.Duration(rnd.IntN(1000)) * time.Millisecond)
			c.control[i].restart()
			time.Sleep(time.Duration(rnd.IntN(2500)) * time.Millisecond)
		},
		"pauses and partitions": func(c *controlFleet, rnd *rand.Rand) {
			i := rnd.IntN(3)
			switch rnd.IntN(4) {
			case 0:
				c.control[i].pause()
				time.Sleep(time.Duration(500+rnd.IntN(2000)) * time.Millisecond)
				c.control[i].resume()
			case 1:
				c.isolate(i)
				time.Sleep(time.Duration(500+rnd.IntN(2000)) * time.Millisecond)
			case 2:
				// The connections that one member opens to one other; the opposite direction works.
				c.links[[2]int{i, (i + 1) % 3}].blackhole()
				time.Sleep(time.Duration(500+rnd.IntN(2000)) * time.Millisecond)
			case 3:
				i = c.leader()
				for j := range 3 {
					if j != i {
						c.links[[2]int{i, j}].set(faults{}, faults{drop: true})
					}
				}
				time.Sleep(time.Duration(500+rnd.IntN(2000)) * time.Millisecond)
			}
			c.heal()
			time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		},
	}
	seed := uint64(6)
	for name, inject := range faultInjections {
		It("lose no accepted change and get the first reply again for a resent change under "+name, func() {
			c := newControlFleet(3, 0, 3)
			r := &raceWorkload{c: c, firstReplies: make(map[string]*operatorpb.ApplyReply), baseRevisions: make(map[string]uint64)}
			o := c.observeRevisions()
			done := make(chan struct{})
			var wg sync.WaitGroup
			for client := range 3 {
				wg.Go(func() {
					defer GinkgoRecover()
					r.runOperator(client, seed, done)
				})
			}
			rnd := rand.New(rand.NewPCG(seed, 99))
			for n := 0; n < minFaults || r.countAccepted() < minAccepted; n++ {
				Expect(n).To(BeNumerically("<", 40), "fewer accepted changes than minAccepted after 40 faults")
				inject(c, rnd)
			}
			close(done)
			wg.Wait()
			c.heal()
			o.check()
			r.verify()
		})
	}
})
