// Package soak contains a randomised test. It runs entry daemons as separate processes
// against stand-ins for the store and for backend servers, injects faults from outside the
// processes, and checks what callers and backend servers observe. The package contains
// only tests.
//
//	go test ./internal/proof/soak -args -first 1 -seeds 50
package soak
