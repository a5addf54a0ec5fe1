// Package load sends an open-loop load to daemons, as callers behind the
// balancer do, and measures what comes back.
package load

import "time"

// Plan is what a load run sends.
type Plan struct {
	Targets  []string      `json:"targets"` // base URLs of the daemons' caller listeners
	Accounts []Account     `json:"accounts"`
	Mix      []Item        `json:"mix"`
	Duration time.Duration `json:"-"`
	Rate     float64       `json:"-"` // requests a second
	Seed     uint64        `json:"-"`
	Bad      []string      `json:"-"` // versions whose answers count as exposure
}

// Account is a client account with its key and its part of the load.
type Account struct {
	Name   string `json:"name"`
	Key    string `json:"key"`
	Weight int    `json:"weight"`
}

// ItemKind names what a request does.
type ItemKind string

// The kinds of requests.
const (
	KindWhole   ItemKind = "whole"   // a model request, answered whole
	KindStream  ItemKind = "stream"  // a model request, streamed
	KindSession ItemKind = "session" // a model request in one of a few sessions
	KindRead    ItemKind = "read"    // a plain app call by GET
	KindPost    ItemKind = "post"    // an app call that may run once
)

// Item is one kind of request in the mix.
type Item struct {
	Kind   ItemKind `json:"kind"`
	Model  string   `json:"model,omitempty"`
	Path   string   `json:"path,omitempty"`
	Weight int      `json:"weight"`
}
