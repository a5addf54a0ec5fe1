package claim

// Step is the next action that the caller of the machine must take.
type Step int

// The possible steps.
const (
	Insert   Step = iota // write the row if there is none for the key
	Takeover             // replace the released row
	ReadBack             // read the row, since the answer to the write was lost
	Send                 // send the call
	Finish               // return the outcome to the client
)

// Outcome is the result of a call.
type Outcome int

// The possible outcomes.
const (
	Pending          Outcome = iota
	Ran                      // the call has run and its answer is available
	Replayed                 // the call ran earlier and its recorded answer is available
	InProgress               // another request with the key is in flight
	MayHaveRun               // the call may have run and is not sent again
	KeyReused                // the key was used for a different call
	ClaimUnavailable         // the claim could not be written; not run
	NotRun                   // the call did not run; the claim, if written, can be released
)
