package tracer

import "time"

// Values of an attempt's Result; any other is its error.
const (
	// Answered says that the backend server answered.
	Answered = "answered"
	// Canceled says that another attempt answered first; the times of a canceled attempt are not known.
	Canceled = "canceled"
)

// Attempt is where the time of one attempt went.
type Attempt struct {
	Server  string        `json:"server"`
	Start   time.Duration `json:"start-ns"`
	Queue   time.Duration `json:"queue-ns"`
	Connect time.Duration `json:"connect-ns"`
	Send    time.Duration `json:"send-ns"`
	Wait    time.Duration `json:"wait-ns"`
	Read    time.Duration `json:"read-ns"`
	Result  string        `json:"result"`
	Hedge   bool          `json:"hedge,omitempty"`
}

// Trace is where the time of one call went.
type Trace struct {
	RequestID string    `json:"request-id"`
	Service   string    `json:"service"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Begin     time.Time `json:"begin"`
	// Revision is the number of the routing that chose the service; 0 where callers name it.
	Revision uint64 `json:"revision,omitempty"`
	// Waited is how long the caller had waited before this send, 0 when not known.
	Waited time.Duration `json:"waited-ns,omitempty"`
	// Receive is the time until the call's body was in.
	Receive time.Duration `json:"receive-ns"`
	Claim   time.Duration `json:"claim-ns"`
	// Queue is the time in queues that ended without an attempt, and that of a wait for an entry that had just started.
	Queue    time.Duration `json:"queue-ns"`
	Attempts []Attempt     `json:"attempts"`
	Outcome  string        `json:"outcome"`
	Status   int           `json:"status"`
	// Cause is why a call was refused that ran nowhere, in one kebab-case word or two; empty for other outcomes.
	Cause string `json:"cause,omitempty"`
	// Write is the time to pass the answer's body on to the caller, its rest being read meanwhile.
	Write time.Duration `json:"write-ns"`
	// Total is from the call's header read to its answer's last byte handed to the connection.
	Total time.Duration `json:"total-ns"`
	// CallerLeft is true when the caller gave up before its answer.
	CallerLeft bool `json:"caller-left,omitempty"`
	// Notes are facts on the call that are not times, such as a claim's history.
	Notes []string `json:"notes,omitempty"`
}
