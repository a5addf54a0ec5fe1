// Package backend makes HTTP calls to backend servers and tells exactly what is
// known of a call that failed.
package backend

// Headers between daemons and backend servers.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderLeaving      = "X-Leaving"        // the server is leaving and took no work
	HeaderNotRun       = "X-Not-Run"        // the server's word that the call was not run
	HeaderCold         = "X-Cold"           // the server is in cold start
	HeaderResumeOffset = "X-Resume-Offset"  // tokens that the caller already has
	HeaderFencing      = "X-Fencing-Number" // of the lease that an order goes out under
)
