// Package claim implements at-most-once execution of non-idempotent calls: a call is
// claimed in the table service, sent at most once, and its outcome is recorded.
package claim

// State is the state of a claimed call.
type State string

// The states of a claim. A released call did not run, so the next request with the same
// idempotency key may claim it again.
const (
	Claimed  State = "claimed"
	Released State = "released"
	Done     State = "done"
	Unknown  State = "unknown" // the call may have run and is never sent again
)

// Row is the claim as stored in the table service.
type Row struct {
	ClaimID     string  `json:"claim_id"`
	Member      string  `json:"member"`
	Incarnation uint64  `json:"incarnation"`
	Fingerprint string  `json:"fingerprint"` // of method, path and body
	State       State   `json:"state"`
	LimitMs     int64   `json:"limit_ms"` // maximum duration of the call
	Answer      *Answer `json:"answer,omitempty"`
}

// Answer is the recorded answer of a completed call.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// WithState returns a copy of the row with the state and answer.
func (r Row) WithState(state State, answer *Answer) Row {
	r.State, r.Answer = state, answer
	return r
}
