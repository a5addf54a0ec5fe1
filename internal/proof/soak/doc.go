// Package soak holds a randomised test that runs the entry daemons as separate
// processes against stand-ins of the store and of backend servers, injects faults
// from outside them, and checks what callers and servers see. It has tests alone.
//
//	go test ./internal/proof/soak -args -first 1 -seeds 50
package soak
