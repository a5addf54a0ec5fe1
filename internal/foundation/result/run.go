package result

// Run reports whether a backend server may have executed the request.
type Run string

// RunNo guarantees that the request was not executed; RunUnknown means that it may
// have been.
const (
	RunNo      Run = "no"
	RunYes     Run = "yes"
	RunUnknown Run = "unknown"
)
