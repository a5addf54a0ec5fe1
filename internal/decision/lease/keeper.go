package lease

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

const never clock.Millis = -1 << 60

// watchMargin covers clocks that run at slightly different speeds.
const watchMarginPercent = 10

// Keeper is one daemon's side of one lease. It belongs to one goroutine.
type Keeper struct {
	self        string
	incarnation uint64
	life        clock.Millis
	row         Row
	version     int64 // of the row in the table; 0 while it isn't known to exist
	seenSince   clock.Millis
	heldUntil   clock.Millis
	heldFrom    clock.Millis
}

// NewKeeper returns the keeper of a daemon that holds nothing.
func NewKeeper(self string, incarnation uint64, life clock.Millis) *Keeper {
	return &Keeper{self: self, incarnation: incarnation, life: life, seenSince: never, heldUntil: never, heldFrom: never}
}

// Held tells whether the daemon holds the lease at that instant.
func (k *Keeper) Held(now clock.Millis) bool { return now < k.heldUntil }

// Left returns how much longer the daemon holds the lease.
func (k *Keeper) Left(now clock.Millis) clock.Millis { return max(k.heldUntil-now, 0) }

// HeldFor returns how long the daemon has held the lease without a gap.
func (k *Keeper) HeldFor(now clock.Millis) clock.Millis {
	if !k.Held(now) {
		return 0
	}
	return now - k.heldFrom
}

// Fencing returns the fencing number of the lease.
func (k *Keeper) Fencing() int64 { return k.row.Fencing }

// Observe takes in the row that a read gave, and whether it exists.
func (k *Keeper) Observe(row Row, version int64, now clock.Millis) {
	if version != k.version {
		k.row, k.version, k.seenSince = row, version, now
	}
	if !k.mine() {
		k.heldUntil = never
	}
}

func (k *Keeper) mine() bool {
	return k.row.Holder == k.self && k.row.Incarnation == k.incarnation && !k.row.Released
}

// Bid is a write that would get or keep the lease.
type Bid struct {
	Row     Row
	Version int64 // the version that it replaces; 0 for an absent row
	AskedAt clock.Millis
}

// Next returns the write to try now, if any.
func (k *Keeper) Next(now clock.Millis) (Bid, bool) {
	if k.version > 0 && k.mine() && k.Held(now) {
		row := k.row
		row.Renewals++
		return Bid{row, k.version, now}, true
	}
	if k.version > 0 && !k.row.Released && !k.mine() && !k.lapsed(now) {
		return Bid{}, false
	}
	row := Row{Holder: k.self, Incarnation: k.incarnation, Fencing: k.row.Fencing + 1}
	return Bid{row, k.version, now}, true
}

func (k *Keeper) lapsed(now clock.Millis) bool {
	watch := k.life + k.life*watchMarginPercent/100
	return k.seenSince != never && now-k.seenSince > watch
}

// Won records that the bid was applied and stands at the version. The lease
// counts from before the write was sent.
func (k *Keeper) Won(bid Bid, version int64) {
	if !k.mine() || bid.Row.Fencing != k.row.Fencing || bid.AskedAt >= k.heldUntil {
		k.heldFrom = bid.AskedAt
	}
	k.row, k.version, k.seenSince = bid.Row, version, bid.AskedAt
	k.heldUntil = max(k.heldUntil, bid.AskedAt+k.life)
}

// Release returns the write that gives the lease up, and stops holding it.
func (k *Keeper) Release(now clock.Millis) (Bid, bool) {
	if !k.Held(now) {
		return Bid{}, false
	}
	k.heldUntil = never
	row := k.row
	row.Released = true
	return Bid{row, k.version, now}, true
}

// MayOrder tells whether an order that lives up to orderLife may go out: it
// must end within the lease, and to a server that doesn't check fencing
// numbers only once every order of an earlier holder has ended.
func (k *Keeper) MayOrder(now, orderLife clock.Millis, checksFencing bool) bool {
	if k.Left(now) < orderLife {
		return false
	}
	return checksFencing || k.HeldFor(now) >= orderLife
}
