// Package traffic contains stateful property-based tests of claims, bills, session pins and
// leases. The production code runs in coroutines that a test interleaves at every call to
// the table service. An oracle records what was requested and what ran. The package
// contains only tests.
package traffic
