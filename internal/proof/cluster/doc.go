// Package cluster fuzzes the control state machines of several daemons under one virtual
// clock. An oracle checks them from the accepted edits and the dispatched requests alone.
// It contains only tests.
//
// Properties such as P4 are numbered as in proofs/, whose patches disable the mechanisms
// behind them.
package cluster
