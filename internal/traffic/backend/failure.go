package backend

import "fmt"

// FailureKind is the way in which a call failed, which limits what the server may have done.
type FailureKind int

// The kinds of failure. Only the first three imply that the call did not run.
const (
	NotSent     FailureKind = iota // no connection was established
	Refused                        // the server states that it did not run the call
	Leaving                        // like Refused, because the server is shutting down
	MayHaveRun                     // the connection failed after it was established
	TimedOut                       // the deadline passed before the response
	Mismatched                     // the response belongs to another request
	Truncated                      // the response is incomplete or malformed
	TooLarge                       // the response exceeds the size limit, or the memory that is left
	ServerError                    // the server responded with an error status
)

// Failure is the error of a failed call.
type Failure struct {
	Kind   FailureKind
	Cold   bool // the server states that it is in cold start
	Detail string
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("backend call failed (%d): %s", f.Kind, f.Detail)
}

// NotRun reports whether the call certainly did not run.
func (f *Failure) NotRun() bool { return f.Kind == NotSent || f.Kind == Refused || f.Kind == Leaving }
