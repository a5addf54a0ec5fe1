// Package process tests the programs as separate processes that are killed, frozen,
// stopped and made to lose responses. It contains only tests.
//
// Properties such as P4 are numbered as in proofs/, whose patches disable the mechanisms
// behind them.
package process
