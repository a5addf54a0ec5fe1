// Package claim decides the course of a non-idempotent call: claimed in the
// table service first, sent at most once, and its outcome recorded.
package claim

// State is the stage of a claimed call.
type State string

// The stages of a claim. A released call was not run, so that the next request
// with the key may claim it again.
const (
	Claimed  State = "claimed"
	Released State = "released"
	Done     State = "done"
	Unknown  State = "unknown" // it may have run; nobody will send it
)

// Row is the claim as the table service keeps it.
type Row struct {
	ClaimID     string  `json:"claim_id"`
	Member      string  `json:"member"`
	Incarnation uint64  `json:"incarnation"`
	Fingerprint string  `json:"fingerprint"` // of method, path and body
	State       State   `json:"state"`
	LimitMs     int64   `json:"limit_ms"` // longest that the call can be under way
	Answer      *Answer `json:"answer,omitempty"`
}

// Answer is the recorded answer of a call that ran.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// WithState returns a copy of the row in another stage.
func (r Row) WithState(state State, answer *Answer) Row {
	r.State, r.Answer = state, answer
	return r
}
