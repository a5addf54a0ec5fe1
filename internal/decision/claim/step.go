package claim

// Step is what the caller of the machine must do next.
type Step int

// The steps of a call.
const (
	Insert   Step = iota // write the row if the key is absent
	Takeover             // write the row over the released one
	ReadBack             // read the row, since the answer to a write was lost
	Send                 // send the call, once
	Finish               // give the result to the caller
)

// Outcome is the result of a call.
type Outcome int

// The verdicts.
const (
	Pending          Outcome = iota
	Ran                      // the call ran now; its answer is at hand
	Replayed                 // the call ran earlier; its recorded answer is at hand
	InProgress               // another request with the key is under way
	MayHaveRun               // it may have run and will not be sent again
	KeyReused                // the key belongs to a different call
	ClaimUnavailable         // the table service is away; not run
	NotRun                   // claimed but not sent, and the claim can be released
)
