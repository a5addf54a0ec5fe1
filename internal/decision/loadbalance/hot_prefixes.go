package loadbalance

import (
	"cmp"
	"math"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

const (
	// prefixHalfLifeMs is the half-life of the demand for a prefix: some times the time that
	// a burst takes, so that the servers that have it cached change rarely.
	prefixHalfLifeMs = 8_000.0
	// maxPrefixes bounds the prefixes whose demand a daemon knows of its own requests.
	maxPrefixes = 64
	// maxPrefixReports bounds the prefixes in a report.
	maxPrefixReports = 32
	// prefixRoom is the share of a server's time that the requests with one prefix may take.
	// The rest is for the other requests there.
	prefixRoom = 0.5
	// maxPreferredShare bounds the servers that are preferred for one prefix, as a share of
	// the pool: each has less memory for other prefixes.
	maxPreferredShare = 0.5
	// minReportedWork is the least demand in a report, in thousandths of a server.
	minReportedWork = 2
	workUnit        = 1000.0
)

// PrefixReport is the demand for a prefix that daemons report to each other.
type PrefixReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec: reports are frequent.

	Prefix uint32 `json:"p"` // low bits of its hash
	Work   int    `json:"w"` // thousandths of a typical server's time
}

// prefixDemand is the demand for a prefix. The work rate is the share of a typical server's
// time that the requests take.
type prefixDemand struct {
	own   float64 // of this daemon's requests, at ownAt
	ownAt clock.Millis
}

// rate returns the work rate of this daemon's requests.
func (d prefixDemand) rate(now clock.Millis) float64 {
	return d.own * math.Exp2(-float64(max(now-d.ownAt, 0))/prefixHalfLifeMs)
}

// hotPrefixes is the demand for the prefixes that are used most.
type hotPrefixes struct {
	own     map[uint32]prefixDemand
	peers   map[uint32]float64 // work rate of the other daemons
	peersAt clock.Millis       // 0 before the first report
}

func newHotPrefixes() hotPrefixes { return hotPrefixes{own: make(map[uint32]prefixDemand)} }

// record records a request with the prefix that takes so many ms of a typical server.
func (h *hotPrefixes) record(prefix uint64, work float64, now clock.Millis) {
	key := uint32(prefix)
	d, known := h.own[key]
	if !known && len(h.own) >= maxPrefixes {
		h.evict(now)
	}
	h.own[key] = prefixDemand{own: d.rate(now) + work*math.Ln2/prefixHalfLifeMs, ownAt: now}
}

// evict forgets the prefix with the least demand.
func (h *hotPrefixes) evict(now clock.Millis) {
	least, lowest := uint32(0), math.Inf(1)
	for key, d := range h.own {
		if rate := d.rate(now); rate < lowest {
			least, lowest = key, rate
		}
	}
	delete(h.own, least)
}

// rate returns the work rate of all daemons' requests with the prefix. Without recent reports
// the other daemons are assumed to have the same demand as this one.
func (h *hotPrefixes) rate(prefix uint64, daemons int, now clock.Millis) float64 {
	own := h.own[uint32(prefix)].rate(now)
	if h.peersAt == 0 || now-h.peersAt >= reportLifetime {
		return own * float64(max(daemons, 1))
	}
	return own + h.peers[uint32(prefix)]
}

// OwnPrefixes returns the demand of this daemon for the prefixes that it uses most.
func (b *Balancer) OwnPrefixes(now clock.Millis) []PrefixReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.anyUneven() {
		return nil
	}
	var reports []PrefixReport
	for key, d := range b.hot.own {
		if work := int(math.Round(d.rate(now) * workUnit)); work >= minReportedWork {
			reports = append(reports, PrefixReport{Prefix: key, Work: work})
		}
	}
	return HottestPrefixes(reports)
}

// HottestPrefixes returns at most 32 of the reports, those with the most work, sorted.
func HottestPrefixes(reports []PrefixReport) []PrefixReport {
	slices.SortFunc(reports, func(a, b PrefixReport) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Prefix, b.Prefix))
	})
	return reports[:min(len(reports), maxPrefixReports)]
}

// SetPeerPrefixes replaces the demand of the other daemons. heard tells whether any of them
// has reported lately.
func (b *Balancer) SetPeerPrefixes(reports []PrefixReport, heard bool, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !heard {
		return
	}
	b.hot.peers, b.hot.peersAt = make(map[uint32]float64, len(reports)), now
	for _, r := range reports {
		b.hot.peers[r.Prefix] = float64(max(r.Work, 0)) / workUnit
	}
}

// preferredServers returns the indexes of the servers that are preferred for the prompt's
// longest shared prefix: in rendezvous order, as many as its demand needs by their speeds.
//
// Load pattern: one key with most of the traffic of its kind. A single preferred server can't
// serve it, and each further one has to prefill it once.
func (b *Balancer) preferredServers(v *fleet.View, r *Request, entries []fleet.Entry) []int {
	first := b.preferred(v, r, entries)
	if first < 0 {
		return nil
	}
	prefix := b.prefixBuf[len(b.prefixBuf)-1].Hash
	needed := b.hot.rate(prefix, len(r.Hosts), r.Now) / prefixRoom
	needed -= b.state(&entries[first]).capacityFactor()
	if needed <= 0 {
		return []int{first}
	}
	var order []int
	for i := range entries {
		e := &entries[i]
		if i != first && r.allows(v, e) && !b.announcements.of(e).isLeaving() && !b.limits.blocks(e, r.Now) {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(i, j int) int {
		return cmp.Compare(container.CombineHash(prefix, entries[j].ID), container.CombineHash(prefix, entries[i].ID))
	})
	preferred := []int{first}
	for _, i := range order[:min(len(order), int(maxPreferredShare*float64(len(entries))))] {
		if needed <= 0 {
			break
		}
		preferred = append(preferred, i)
		needed -= b.state(&entries[i]).capacityFactor()
	}
	return preferred
}
