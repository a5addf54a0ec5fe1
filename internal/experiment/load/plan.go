// Package load sends an open-loop load to daemons, as callers behind the
// balancer do, and measures what comes back.
package load

import "time"

// Plan is what a load run sends.
type Plan struct {
	Targets  []string        `json:"targets"` // base URLs of the daemons' caller listeners
	Accounts []ClientAccount `json:"accounts"`
	Mix      []MixEntry      `json:"mix"`
	Duration time.Duration   `json:"-"`
	Rate     float64         `json:"-"` // requests a second
	Seed     uint64          `json:"-"`
	Bad      []string        `json:"-"` // versions whose answers count as exposure
}

// ClientAccount is a client account with its key and its part of the load.
type ClientAccount struct {
	Name   string `json:"name"`
	Key    string `json:"key"`
	Weight int    `json:"weight"`
}

// RequestKind names what a request does.
type RequestKind string

// The kinds of requests.
const (
	KindComplete RequestKind = "whole"   // a model request, answered whole
	KindStream   RequestKind = "stream"  // a model request, streamed
	KindSession  RequestKind = "session" // a model request in one of a few sessions
	KindGet      RequestKind = "read"    // a plain app call by GET
	KindPost     RequestKind = "post"    // an app call that may run once
)

// MixEntry is one kind of request in the mix.
type MixEntry struct {
	Kind   RequestKind `json:"kind"`
	Model  string      `json:"model,omitempty"`
	Path   string      `json:"path,omitempty"`
	Weight int         `json:"weight"`
}
