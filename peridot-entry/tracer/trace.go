package tracer

import "time"

// Values of Attempt.Result; any other value is the text of the attempt's error.
const (
	// Answered means that the backend server responded.
	Answered = "answered"
	// Canceled means that another attempt got a response first. The times of a canceled attempt are not known.
	Canceled = "canceled"
)

// Attempt records how the time of one attempt was spent.
type Attempt struct {
	Server string `json:"server"`
	// Address is the address of the server when the attempt was made.
	Address string        `json:"address,omitempty"`
	Start   time.Duration `json:"start-ns"`
	Queue   time.Duration `json:"queue-ns"`
	Connect time.Duration `json:"connect-ns"`
	Send    time.Duration `json:"send-ns"`
	Wait    time.Duration `json:"wait-ns"`
	Read    time.Duration `json:"read-ns"`
	Result  string        `json:"result"`
	// Fingerprint identifies the request if its connection was lost, as by a crash of the backend server.
	Fingerprint string `json:"fingerprint,omitempty"`
	Hedge       bool   `json:"hedge,omitempty"`
	// Exchange is the number of the request on its connection, from 1, probes included; 0 when there was no connection.
	Exchange int `json:"exchange,omitempty"`
	// Refusal is, for an attempt that the backend server refused, why the refusal is the call's: a value of sender.Proof. It is empty
	// for other attempts.
	Refusal string `json:"refusal,omitempty"`
	// RefusalKind is what made the response a refusal: a value of sender.RefusalKind. Contradictory is true when a response says both that the server
	// ran the call and that it did not.
	RefusalKind   string `json:"refusal-kind,omitempty"`
	Contradictory bool   `json:"contradictory,omitempty"`
	// LocalPort is the entry's port of the connection; 0 when there was none. Two attempts with the same address and port used one connection.
	LocalPort int `json:"local-port,omitempty"`
	// Status is that of the response, also of one that was a refusal or was not accepted; 0 when there was none.
	Status int `json:"status,omitempty"`
	// Written is true when any byte of the request was, or may have been, written to the server.
	Written bool `json:"written,omitempty"`
	// MayHaveRun is true for a failed attempt if nothing proves that the server did not run it.
	MayHaveRun bool `json:"may-have-run,omitempty"`
	// Phase is how far a failed attempt got: a value of sender.Phase. It is empty for other attempts.
	Phase string `json:"phase,omitempty"`
	// Unproven is true when the status promises callers that the call was not run, and nothing else in the response does.
	Unproven bool `json:"unproven,omitempty"`
}

// Trace records how the time of one call was spent.
type Trace struct {
	RequestID string    `json:"request-id"`
	Service   string    `json:"service"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Begin     time.Time `json:"begin"`
	// Revision is the number of the routing that chose the service; 0 if the caller named the service.
	Revision uint64 `json:"revision,omitempty"`
	// Waited is how long the caller had waited before this send; 0 if not known.
	Waited time.Duration `json:"waited-ns,omitempty"`
	// Account is the name of the client account that made the call; empty if the routing has no accounts.
	Account string `json:"account,omitempty"`
	// Receive is the time until the request body had been read.
	Receive time.Duration `json:"receive-ns"`
	// Body is the time to read the request body, and BodyBytes its size; of a body that broke off, what was read of it. Chunked is true when
	// the length wasn't known in advance.
	Body      time.Duration `json:"body-ns,omitempty"`
	BodyBytes int           `json:"body-bytes,omitempty"`
	Chunked   bool          `json:"chunked,omitempty"`
	// Caller is the address of the caller's connection, and CallerRequest the number of the request on it, from 1; 0 if not known.
	Caller        string        `json:"caller,omitempty"`
	CallerRequest int           `json:"caller-request,omitempty"`
	Claim         time.Duration `json:"claim-ns"`
	// Queue is the time spent in queues without an attempt following, plus the time for which an entry that had just started held
	// the call back.
	Queue    time.Duration `json:"queue-ns"`
	Attempts []Attempt     `json:"attempts"`
	Outcome  string        `json:"outcome"`
	Status   int           `json:"status"`
	// Cause is why a call that was not run was refused, as a short kebab-case name; empty for other outcomes.
	Cause string `json:"cause,omitempty"`
	// NoRetry is why no further attempt was made after a failed one, as a short kebab-case name.
	NoRetry string `json:"no-retry,omitempty"`
	// Unlisted is the number of attempts that were started and are not in Attempts; any but 0 is a fault of the entry.
	Unlisted int `json:"unlisted-attempts,omitempty"`
	// Write is the time to forward the response body to the caller, including the time to read the rest of it.
	Write time.Duration `json:"write-ns"`
	// Total is the time from reading the request header to writing the last byte of the response to the connection.
	Total time.Duration `json:"total-ns"`
	// CallerLeft is true if the caller disconnected before the response.
	CallerLeft bool `json:"caller-left,omitempty"`
	// Notes holds other information about the call, such as the history of its claim.
	Notes []string `json:"notes,omitempty"`
}
