package result

// Run says whether the request may have taken effect at a backend server.
type Run string

// The three answers to "was it run?".
const (
	RunNo      Run = "no"
	RunYes     Run = "yes"
	RunUnknown Run = "unknown"
)
