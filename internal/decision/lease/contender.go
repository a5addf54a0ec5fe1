package lease

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

const never clock.Millis = -1 << 60

// watchMargin covers clocks that run at slightly different speeds.
const watchMarginPercent = 10

// Contender is one daemon's side of one lease. It belongs to one goroutine.
type Contender struct {
	self        string
	incarnation uint64
	life        clock.Millis
	row         Row
	version     int64 // of the row in the table; 0 while it isn't known to exist
	seenSince   clock.Millis
	heldUntil   clock.Millis
	heldFrom    clock.Millis
}

// NewContender returns the keeper of a daemon that holds nothing.
func NewContender(self string, incarnation uint64, life clock.Millis) *Contender {
	return &Contender{self: self, incarnation: incarnation, life: life, seenSince: never, heldUntil: never, heldFrom: never}
}

// Held tells whether the daemon holds the lease at that instant.
func (k *Contender) Held(now clock.Millis) bool { return now < k.heldUntil }

// Remaining returns how much longer the daemon holds the lease.
func (k *Contender) Remaining(now clock.Millis) clock.Millis { return max(k.heldUntil-now, 0) }

// HeldFor returns how long the daemon has held the lease without a gap.
func (k *Contender) HeldFor(now clock.Millis) clock.Millis {
	if !k.Held(now) {
		return 0
	}
	return now - k.heldFrom
}

// Fencing returns the fencing number of the lease.
func (k *Contender) Fencing() int64 { return k.row.Fencing }

// Observe takes in the row that a read gave, and whether it exists.
func (k *Contender) Observe(row Row, version int64, now clock.Millis) {
	if version != k.version {
		k.row, k.version, k.seenSince = row, version, now
	}
	if !k.mine() {
		k.heldUntil = never
	}
}

func (k *Contender) mine() bool {
	return k.row.Holder == k.self && k.row.Incarnation == k.incarnation && !k.row.Released
}

// Write is a write that would get or keep the lease.
type Write struct {
	Row             Row
	ReplacesVersion int64 // the version that it replaces; 0 for an absent row
	StartedAt       clock.Millis
}

// Next returns the write to try now, if any.
func (k *Contender) Next(now clock.Millis) (Write, bool) {
	if k.version > 0 && k.mine() && k.Held(now) {
		row := k.row
		row.Renewals++
		return Write{row, k.version, now}, true
	}
	if k.version > 0 && !k.row.Released && !k.mine() && !k.lapsed(now) {
		return Write{}, false
	}
	row := Row{Holder: k.self, Incarnation: k.incarnation, Fencing: k.row.Fencing + 1}
	return Write{row, k.version, now}, true
}

func (k *Contender) lapsed(now clock.Millis) bool {
	watch := k.life + k.life*watchMarginPercent/100
	return k.seenSince != never && now-k.seenSince > watch
}

// Applied records that the bid was applied and stands at the version. The lease
// counts from before the write was sent.
func (k *Contender) Applied(bid Write, version int64) {
	if !k.mine() || bid.Row.Fencing != k.row.Fencing || bid.StartedAt >= k.heldUntil {
		k.heldFrom = bid.StartedAt
	}
	k.row, k.version, k.seenSince = bid.Row, version, bid.StartedAt
	k.heldUntil = max(k.heldUntil, bid.StartedAt+k.life)
}

// Release returns the write that gives the lease up, and stops holding it.
func (k *Contender) Release(now clock.Millis) (Write, bool) {
	if !k.Held(now) {
		return Write{}, false
	}
	k.heldUntil = never
	row := k.row
	row.Released = true
	return Write{row, k.version, now}, true
}

// CanIssueOrder tells whether an order that lives up to orderLife may go out: it
// must end within the lease, and to a server that doesn't check fencing
// numbers only once every order of an earlier holder has ended.
func (k *Contender) CanIssueOrder(now, orderLife clock.Millis, checksFencing bool) bool {
	if k.Remaining(now) < orderLife {
		return false
	}
	return checksFencing || k.HeldFor(now) >= orderLife
}
