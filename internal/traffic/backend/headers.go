// Package backend makes HTTP calls to backend servers and classifies failures by whether
// the call may have run.
package backend

// The headers that daemons and backend servers exchange.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderLeaving      = "X-Leaving"        // the server is shutting down and did not run the call
	HeaderNotRun       = "X-Not-Run"        // the server did not run the call
	HeaderCold         = "X-Cold"           // the server is in cold start
	HeaderResumeOffset = "X-Resume-Offset"  // number of tokens that the caller has already received
	HeaderFencing      = "X-Fencing-Number" // fencing number of the lease under which an order is sent
)
