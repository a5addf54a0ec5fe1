package backend

import "fmt"

// FailureKind says what is known of a call that failed.
type FailureKind int

// The kinds of failure. Only the first three mean that the call was not run.
const (
	NotSent     FailureKind = iota // no connection was made
	Refused                        // the server's own word that it didn't run the call
	Leaving                        // the same, since the server is leaving
	MayHaveRun                     // the connection failed after it was made
	TimedOut                       // no answer in time
	Mismatched                     // the answer belongs to another request
	Truncated                      // the answer ended before its end mark
	TooLarge                       // the answer is over the limit
	ServerError                    // the server answered with an error of its own
)

// Failure is a call that failed.
type Failure struct {
	Kind   FailureKind
	Cold   bool // the server said that it is cold
	Detail string
}

// Error gives the detail.
func (f *Failure) Error() string {
	return fmt.Sprintf("backend call failed (%d): %s", f.Kind, f.Detail)
}

// NotRun tells whether the call certainly didn't run.
func (f *Failure) NotRun() bool { return f.Kind == NotSent || f.Kind == Refused || f.Kind == Leaving }
