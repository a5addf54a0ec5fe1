// Package load generates an open-loop load on daemons, like callers behind the platform's
// load balancer, and reports results and latencies.
package load

import "time"

// Plan configures a load run. Targets, accounts and mix are read from a file, the rest from
// flags.
type Plan struct {
	Targets  []string        `json:"targets"` // base URLs of the daemons' caller listeners
	Accounts []ClientAccount `json:"accounts"`
	Mix      []MixEntry      `json:"mix"`
	Duration time.Duration   `json:"-"`
	Rate     float64         `json:"-"` // requests per second
	Seed     uint64          `json:"-"`
	Bad      []string        `json:"-"` // versions whose answers count as exposure
}

// ClientAccount is a client account that sends requests with its key. Weight is relative to
// the other accounts; values below 1 count as 1.
type ClientAccount struct {
	Name   string `json:"name"`
	Key    string `json:"key"`
	Weight int    `json:"weight"`
}

// RequestKind is the kind of a request.
type RequestKind string

// Kinds of requests.
const (
	KindComplete RequestKind = "whole"   // a model request with a complete answer
	KindStream   RequestKind = "stream"  // a model request with a streamed answer
	KindSession  RequestKind = "session" // a model request in one of a few sessions
	KindGet      RequestKind = "read"    // an app call by GET
	KindPost     RequestKind = "post"    // an app call by POST that must be executed at most once
)

// MixEntry is a kind of request in the mix. Model applies to model requests and Path to app
// calls. Weight is relative to the other entries; values below 1 count as 1.
type MixEntry struct {
	Kind   RequestKind `json:"kind"`
	Model  string      `json:"model,omitempty"`
	Path   string      `json:"path,omitempty"`
	Weight int         `json:"weight"`
}
