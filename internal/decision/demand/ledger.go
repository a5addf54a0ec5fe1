// Package demand tracks what the daemons have running and waiting for each pool, by
// client account and urgency, and derives the accounts' fair shares from it.
package demand

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Class identifies requests that are treated alike.
type Class struct {
	Pool    string
	Account string
	Urgency int // 0 is the most urgent
}

// Share compares what a client account uses of a pool with its fair share, both in ms of
// server time per ms.
type Share struct {
	Used, Fair float64
	Competing  bool         // whether other accounts want what it uses beyond its share
	Age        clock.Millis // of the newest report of the other daemons
}

// Excess reports whether the account uses more than its share while others compete.
func (s Share) Excess() bool { return s.Competing && s.Used > s.Fair }

// Ledger holds the demand of this daemon and the totals of its peers. It is safe for
// concurrent use.
type Ledger struct{}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{} }

// Request is a request in the ledger. Its methods may be called on nil.
type Request struct{}

// Arrive records a waiting request; work is its expected server time. It may be called on nil.
func (l *Ledger) Arrive(c Class, work, now clock.Millis) *Request { return &Request{} }

// Start records that the request runs. It may be called again after a retry.
func (r *Request) Start(now clock.Millis) {}

// End removes the request. Further calls have no effect.
func (r *Request) End(now clock.Millis) {}

// PoolUsage is the demand for one pool.
type PoolUsage struct {
	Pool string
}

// Usage returns the demand of this daemon, for a report to its peers.
func (l *Ledger) Usage(now clock.Millis) []PoolUsage { return nil }

// SetPeers replaces the totals of the other daemons.
func (l *Ledger) SetPeers(total []PoolUsage, daemons int, now clock.Millis) {}

// Share returns what the class's account uses of a pool that has the capacity, in ms of
// server time per ms.
func (l *Ledger) Share(c Class, capacity float64, now clock.Millis) Share { return Share{} }
