package peerstats

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"gypsumpitch.example/gypsumpitch/internal/decision/demand"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
)

const (
	// A daemon among budgetDaemons may send and receive 20 KB/s of reports, which is 8,000
	// bytes in a report and its reply. The total of all daemons is what is bounded, so each of
	// fewer daemons may use more.
	budgetDaemons = 390
	// reportBytes and replyBytes divide the 8,000. A reply holds what all daemons report, so
	// it has more entries.
	reportBytes = 1_600
	replyBytes  = 6_400
)

// Bytes of the parts of an encoded snapshot, at most, for the values that occur.
const (
	headerBytes        = 40 // keys of the parts, and the name of the sender
	loadBytes          = 6  // without the server's ID
	answerStatsBytes   = 150
	answerCountBytes   = 6
	privateTokensBytes = 5
	sharedTokensBytes  = 11
	memberBytes        = 5
	limitBytes         = 64
	departureBytes     = 40
	crashBytes         = 250
	soundRunBytes      = 40
	sessionBytes       = 9
	speedBytes         = 20
	prefixBytes        = 11
	accountBytes       = 14 // without the name and the classes
	classBytes         = 9
	poolBytes          = 5 // without the name
)

// loadMap encodes loads with integers of the least size; they are the most of a total.
type loadMap map[string]loadbalance.Load

// EncodeMsgpack implements msgpack.CustomEncoder.
func (m loadMap) EncodeMsgpack(e *msgpack.Encoder) error {
	if m == nil {
		return e.EncodeNil()
	}
	if err := e.EncodeMapLen(len(m)); err != nil {
		return err
	}
	for id, load := range m {
		err := cmp.Or(e.EncodeString(id), e.EncodeArrayLen(2), e.EncodeInt(int64(load.Calls)), e.EncodeInt(int64(load.Prefill)))
		if err != nil {
			return err
		}
	}
	return nil
}

// fastBytes returns the size of the parts that every report has, without the demand.
func (s Snapshot) fastBytes() int {
	n := headerBytes + s.answerBytes() + len(s.Limits)*limitBytes +
		len(s.Departures)*departureBytes + len(s.Crashes)*crashBytes + len(s.SoundRuns)*soundRunBytes
	for id := range s.Loads {
		n += len(id) + loadBytes
	}
	for _, sessions := range s.PinnedSessions {
		n += len(sessions) * sessionBytes
	}
	if s.Tokens != nil {
		n += len(s.Tokens.Private)*privateTokensBytes + len(s.Tokens.Shared)*sharedTokensBytes
	}
	return n
}

// answerBytes returns the size of the answer statistics.
func (s Snapshot) answerBytes() int {
	n := len(s.AnswerStats) * answerStatsBytes
	for _, e := range s.AnswerStats {
		n += len(e.Stats.Counts) * answerCountBytes
	}
	return n
}

// evidenceBytes returns the size of the speeds and prefixes.
func (s Snapshot) evidenceBytes() int { return len(s.Speeds)*speedBytes + len(s.Prefixes)*prefixBytes }

func accountSize(a demand.AccountUsage) int {
	return len(a.Name) + accountBytes + len(a.Classes)*classBytes
}

func demandBytes(pools []demand.PoolUsage) int {
	n := 0
	for _, p := range pools {
		n += len(p.Pool) + poolBytes
		for _, a := range p.Accounts {
			n += accountSize(a)
		}
		if p.Rest != nil {
			n += accountSize(*p.Rest)
		}
	}
	return n
}

// withEvidence returns the snapshot with the most certain speeds and prefixes that fit into
// the bytes.
func (s Snapshot) withEvidence(bytes int) Snapshot {
	evidence := s.evidenceBytes()
	if evidence <= bytes {
		return s
	}
	bytes = max(bytes, 0)
	speeds, prefixes := len(s.Speeds)*bytes/evidence, len(s.Prefixes)*bytes/evidence
	s.Speeds = largest(s.Speeds, speeds, func(a, b loadbalance.SpeedReport) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Server, b.Server))
	})
	s.Prefixes = largest(s.Prefixes, prefixes, func(a, b loadbalance.PrefixReport) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Prefix, b.Prefix))
	})
	return s
}

const (
	// slowPeriod is in how many messages the slow parts are once: the limit members, the
	// speeds and the prefixes. At a message in 0.4 s they are then at most 1.6 s older,
	// within loadLifetime.
	slowPeriod = 4
	// slowShare is what the slow parts may take in such a message, as a share of the bytes
	// of one.
	slowShare = 0.8
)

// within returns the snapshot as the message of the given round between two daemons. If it
// doesn't fit into the bytes, the slow parts are in one of slowPeriod messages only, so that
// the messages fit on average, and the receiver keeps them meanwhile. The speeds with the
// least evidence and the prefixes with the least work are left out; the accounts that send
// the least aren't named but counted in the rest of their pool.
func (s Snapshot) within(bytes, round int) Snapshot {
	members := len(s.LimitMembers) * memberBytes
	slow := members + s.evidenceBytes()
	if s.fastBytes()+demandBytes(s.Demand)+slow <= bytes {
		return s
	}
	slow = max(min(slow, int(float64(bytes)*slowShare)), members)
	s.Demand = demandWithin(s.Demand, bytes-slow/slowPeriod-s.fastBytes())
	if round%slowPeriod == 0 {
		return s.withEvidence(slow - members)
	}
	s.LimitMembers, s.Speeds, s.Prefixes, s.KeepSlow = nil, nil, nil, true
	return s
}

// keepSlow returns the message with the slow parts of the one before if it says so, unless
// they are too old.
func (r received) keepSlow(before *received) received {
	if !r.KeepSlow {
		r.slowAt = r.receivedAt
		return r
	}
	if before == nil || r.receivedAt-before.slowAt >= loadLifetime {
		return r
	}
	r.slowAt, r.LimitMembers, r.Prefixes = before.slowAt, before.LimitMembers, before.Prefixes
	for _, speed := range before.Speeds {
		r.Speeds = append(r.Speeds, speed.After(r.receivedAt-before.receivedAt))
	}
	return r
}

// largest returns the first n entries in the order; nil if n is 0.
func largest[T any](entries []T, n int, order func(a, b T) int) []T {
	if n >= len(entries) {
		return entries
	}
	if n <= 0 {
		return nil
	}
	return slices.SortedFunc(slices.Values(entries), order)[:n]
}

// demandWithin returns the demand with the largest accounts by name, as many as fit into
// the bytes, and the others in the rests of their pools.
func demandWithin(pools []demand.PoolUsage, bytes int) []demand.PoolUsage {
	pools = slices.Clone(pools)
	type place struct{ pool, account int }
	var places []place
	for i, p := range pools {
		for j := range p.Accounts {
			places = append(places, place{i, j})
		}
	}
	arrived := func(p place) int { return pools[p.pool].Accounts[p.account].Arrived }
	slices.SortStableFunc(places, func(a, b place) int { return cmp.Compare(arrived(a), arrived(b)) })
	size, unnamed := demandBytes(pools), make([]map[int]bool, len(pools))
	for _, p := range places {
		if size <= bytes {
			break
		}
		account := pools[p.pool].Accounts[p.account]
		size -= accountSize(account)
		rest := demand.AccountUsage{}
		if pools[p.pool].Rest != nil {
			rest = *pools[p.pool].Rest
			size -= accountSize(rest)
		}
		rest = rest.Plus(account)
		size += accountSize(rest)
		pools[p.pool].Rest = &rest
		if unnamed[p.pool] == nil {
			unnamed[p.pool] = make(map[int]bool)
		}
		unnamed[p.pool][p.account] = true
	}
	for i, left := range unnamed {
		var named []demand.AccountUsage
		for j, a := range pools[i].Accounts {
			if !left[j] {
				named = append(named, a)
			}
		}
		pools[i].Accounts = named
	}
	return pools
}

// SetDaemons sets the number of daemons among which the bytes of reports are divided.
func (a *Aggregator) SetDaemons(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.daemons = n
}

// budget returns what a daemon may use of the bytes that are meant for budgetDaemons. a.mu
// must be held.
func (a *Aggregator) budget(bytes int) int {
	return bytes * budgetDaemons / max(a.daemons, 1)
}
