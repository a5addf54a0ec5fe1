// Package traffic holds the stateful fuzzing of claims, bills, session pins and
// leases: the product's own code runs as coroutines that a test interleaves at
// every call to the table service, beside an oracle that is told what was asked
// and what ran. It has tests alone.
package traffic
