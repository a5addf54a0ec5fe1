// Package slopes measures how the cost of the control state machine and of requests grows
// with the numbers of daemons, backend servers, edits, sessions and bills, for
// docs/CAPACITY.md. It contains only benchmarks.
package slopes
