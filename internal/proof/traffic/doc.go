// Package traffic contains stateful property-based tests of claims, bills, session pins and
// leases. The production code runs in coroutines that a test interleaves at every call to
// the table service. An oracle records what was requested and what ran. The package
// contains only tests.
//
// Properties such as P4 are numbered as in proofs/, whose patches disable the mechanisms
// behind them.
package traffic
