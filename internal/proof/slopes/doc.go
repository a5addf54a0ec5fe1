// Package slopes measures what one more daemon, server, edit, session or bill
// costs, for docs/CAPACITY.md. It has benchmarks alone.
package slopes
