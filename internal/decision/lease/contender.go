package lease

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// never is earlier than any instant of the local clock.
const never clock.Millis = -1 << 60

// takeoverMarginPercent allows for clocks that run at slightly different speeds.
const takeoverMarginPercent = 10

// Contender acquires and renews one lease on behalf of one daemon. It computes the
// writes; the caller performs them. Not safe for concurrent use.
type Contender struct {
	self           string
	incarnation    uint64
	duration       clock.Millis
	row            Row
	version        int64        // of the row in the table; 0 if it is not known to exist
	unchangedSince clock.Millis // when this version of the row was first observed
	heldUntil      clock.Millis
	heldSince      clock.Millis
}

// NewContender returns a contender that does not hold the lease.
func NewContender(self string, incarnation uint64, duration clock.Millis) *Contender {
	return &Contender{self: self, incarnation: incarnation, duration: duration, unchangedSince: never, heldUntil: never, heldSince: never}
}

// Held reports whether the daemon holds the lease at that instant.
func (c *Contender) Held(now clock.Millis) bool { return now < c.heldUntil }

// Remaining returns how long the daemon still holds the lease, 0 if it does not.
func (c *Contender) Remaining(now clock.Millis) clock.Millis { return max(c.heldUntil-now, 0) }

// HeldFor returns how long the daemon has held the lease without interruption.
func (c *Contender) HeldFor(now clock.Millis) clock.Millis {
	if !c.Held(now) {
		return 0
	}
	return now - c.heldSince
}

// Fencing returns the fencing number of the last known row.
func (c *Contender) Fencing() int64 { return c.row.Fencing }

// Observe records the row and version that a read returned; version 0 means that
// there is no row.
func (c *Contender) Observe(row Row, version int64, now clock.Millis) {
	if version != c.version {
		c.row, c.version, c.unchangedSince = row, version, now
	}
	if !c.isHolder() {
		c.heldUntil = never
	}
}

// isHolder reports whether the row names this run of the daemon as the holder.
func (c *Contender) isHolder() bool {
	return c.row.Holder == c.self && c.row.Incarnation == c.incarnation && !c.row.Released
}

// Write is a conditional write of the lease row.
type Write struct {
	Row             Row
	ReplacesVersion int64        // condition on the current version; 0 if the row must be absent
	StartedAt       clock.Millis // before the write was sent
}

// Next returns the write to try now: a renewal, or an acquisition if the lease does
// not exist, was released or has expired. It returns false while another daemon holds
// the lease.
func (c *Contender) Next(now clock.Millis) (Write, bool) {
	if c.version > 0 && c.isHolder() && c.Held(now) {
		row := c.row
		row.Renewals++
		return Write{row, c.version, now}, true
	}
	if c.version > 0 && !c.row.Released && !c.isHolder() && !c.expired(now) {
		return Write{}, false
	}
	row := Row{Holder: c.self, Incarnation: c.incarnation, Fencing: c.row.Fencing + 1}
	return Write{row, c.version, now}, true
}

// expired reports whether the holder has not renewed the lease for its duration.
func (c *Contender) expired(now clock.Millis) bool {
	wait := c.duration + c.duration*takeoverMarginPercent/100
	return c.unchangedSince != never && now-c.unchangedSince > wait
}

// Applied records that the write succeeded and gave the row this version. The lease
// duration counts from before the write was sent.
func (c *Contender) Applied(w Write, version int64) {
	if !c.isHolder() || w.Row.Fencing != c.row.Fencing || w.StartedAt >= c.heldUntil {
		c.heldSince = w.StartedAt
	}
	c.row, c.version, c.unchangedSince = w.Row, version, w.StartedAt
	c.heldUntil = max(c.heldUntil, w.StartedAt+c.duration)
}

// Release stops holding the lease and returns the write that makes it available. It
// returns false if the daemon does not hold the lease.
func (c *Contender) Release(now clock.Millis) (Write, bool) {
	if !c.Held(now) {
		return Write{}, false
	}
	c.heldUntil = never
	row := c.row
	row.Released = true
	return Write{row, c.version, now}, true
}

// CanIssueOrder reports whether an order that may take up to orderLifetime can be sent
// to a backend server. It must end before the lease does. If the server does not check
// fencing numbers, every order of an earlier holder must have ended too.
func (c *Contender) CanIssueOrder(now, orderLifetime clock.Millis, checksFencing bool) bool {
	if c.Remaining(now) < orderLifetime {
		return false
	}
	return checksFencing || c.HeldFor(now) >= orderLifetime
}
