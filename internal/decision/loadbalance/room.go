package loadbalance

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Room is the free capacity of a pool for one request, from what this daemon knows of its
// servers in service. Servers of which nothing is known count as idle.
type Room struct {
	Slots           int          // requests that the servers run at once
	Busy            int          // slots in use
	Queued          int          // requests at the servers beyond their slots
	StartsPerSecond float64      // requests of all daemons that begin to run; 0 if unknown
	Wait            clock.Millis // until one more request would begin to run
	Age             clock.Millis // of the oldest load that is used
	Known           int          // servers whose load from other daemons is known
	Servers         int          // in service
	// FreePrefill is the prefill time that the servers with a free place can take up within
	// prefillHorizon.
	FreePrefill clock.Millis
}

// prefillHorizon is the time for which the prefill of a server's requests may be planned
// ahead: about the shortest latency target of a stream.
const prefillHorizon = 1_000 * clock.Millis(1)

// reportPeriod is the age that a load from other daemons reaches before the next report. A
// server that finishes requests in the meantime must have others to run.
const reportPeriod = 400 * clock.Millis(1)

// Room returns the free capacity of the request's pool for the request, without the servers that
// it would use as a last resort only.
//
// Load pattern: more requests arrive than the pool can serve, at all daemons.
func (b *Balancer) Room(v *fleet.View, r Request) Room {
	b.mu.Lock()
	defer b.mu.Unlock()
	room := Room{}
	runMs := b.runMs(r.Pool.Name)
	for e, s := range b.acceptingServers(v, r.Pool.Name, r.Now) {
		if r.allows(v, e) && (r.Tried == nil || !r.Tried(e.ID)) {
			b.addServer(&room, s, e, &r, runMs)
		}
	}
	if excess := room.Busy + room.Queued + 1 - room.Slots; excess > 0 && room.StartsPerSecond > 0 {
		room.Wait = clock.Millis(1000 * float64(excess) / room.StartsPerSecond)
	}
	return room
}

// addServer adds the server to the room. runMs is the time that a request runs; 0 if unknown.
func (b *Balancer) addServer(room *Room, s *serverState, e *fleet.Entry, r *Request, runMs float64) {
	load, slots := s.load(r.Now), s.slotsOf(e)
	room.Servers++
	if age, known := s.loadAge(r.Now); known {
		room.Known++
		room.Age = max(room.Age, age)
	}
	calls := max(load.Calls, 0)
	room.Slots += slots
	room.Busy += min(calls, slots)
	room.Queued += max(calls-slots, 0)
	if float64(calls) < b.maxCalls(s, e, &r.Pool) {
		room.FreePrefill += max(prefillHorizon-load.Prefill, 0)
	}
	starts := 0.0
	if runMs > 0 {
		starts = 1000 * float64(slots) / (runMs * s.slowness(r.Now))
	}
	if s.isCold(e, &r.Pool, r.Now) {
		starts = min(starts, r.Pool.ColdRate)
	}
	room.StartsPerSecond += starts
}

// loadAge returns the age of what is known of the other daemons' load at the server, and
// whether anything is.
func (s *serverState) loadAge(now clock.Millis) (age clock.Millis, known bool) {
	age = reportLifetime
	for _, at := range []clock.Millis{s.peerLoadAt, s.reportedAt} {
		if at != 0 {
			age = min(age, now-at)
		}
	}
	return age, age < reportLifetime
}

// SharesCapacity reports whether requests wait in the daemon while the servers are full.
func (b *Balancer) SharesCapacity() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.features.SharedCapacity
}

// maxCalls returns the maximum number of requests at the server, from all daemons. With
// shared capacity, that is what the server can start soon: a request that waits in a daemon
// can still be overtaken by a more urgent one and go to any server.
func (b *Balancer) maxCalls(s *serverState, e *fleet.Entry, pool *catalog.Pool) float64 {
	if !b.features.SharedCapacity || !pool.HasEngines() {
		// Calls of plain servers end within a fraction of reportPeriod. With a lower limit,
		// they waited for servers that were full only in outdated reports.
		return s.maxCalls(e, pool)
	}
	slots := float64(s.slotsOf(e))
	margin := engineQueue * slots
	if runMs := b.runTimes[modelKey{pool: pool.Name}].meanMs; runMs > 0 {
		margin = min(margin, slots*float64(reportPeriod)/runMs)
	}
	return (slots + max(margin, 1)) * s.capacityFactor()
}

// runTime is the moving average of the time that requests run.
type runTime struct {
	weight float64 // number of requests, at most runTimeRequests
	meanMs float64
}

// runTimeRequests is the number of requests over which run times are averaged.
const runTimeRequests = 40

func (t runTime) with(elapsed clock.Millis) runTime {
	t.weight = min(t.weight+1, runTimeRequests)
	t.meanMs += (float64(max(elapsed, 1)) - t.meanMs) / t.weight
	return t
}

// RecordRunTime records the time from the choice of the server to the end of a request that
// the server answered.
func (b *Balancer) RecordRunTime(pool, model string, elapsed clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ofPool, ofModel := modelKey{pool: pool}, modelKey{pool, model}
	b.runTimes[ofPool] = b.runTimes[ofPool].with(elapsed)
	if ofModel != ofPool && b.remembers(ofModel) {
		b.runTimes[ofModel] = b.runTimes[ofModel].with(elapsed)
	}
}

// RunTime returns the mean time that requests for the model run in the pool; 0 if there are
// too few measurements.
func (b *Balancer) RunTime(pool, model string) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.runTimes[modelKey{pool, model}]
	if t.weight < minWeight {
		return 0
	}
	return clock.Millis(t.meanMs)
}

// runMs returns the mean time that requests run in the pool; 0 if there are too few
// measurements. The requests of all models use the same slots, so the mean is that of all.
func (b *Balancer) runMs(pool string) float64 {
	if t := b.runTimes[modelKey{pool: pool}]; t.weight >= minWeight {
		return t.meanMs
	}
	return 0
}

// IsMeasured reports whether the model is based on measurements rather than defaults.
func (m LatencyModel) IsMeasured() bool { return m.weight >= minWeight }

// SetPeersHeard sets when the newest report of other daemons came in. With shared capacity,
// a daemon that has heard none for reportLifetime uses only its part of each pool.
func (b *Balancer) SetPeersHeard(at clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peersHeardAt = max(b.peersHeardAt, at)
}

// isAlone reports whether there are other daemons of which this one hears nothing.
func (b *Balancer) isAlone(r *Request) bool {
	return b.features.SharedCapacity && len(r.Hosts) > 1 && r.Now-b.peersHeardAt >= reportLifetime
}

// exceedsOwnPart reports whether a daemon without reports of the others uses its part of
// the request's pool, which is the capacity divided by the number of daemons.
func (b *Balancer) exceedsOwnPart(v *fleet.View, r *Request, entries []fleet.Entry) bool {
	if !r.Pool.HasEngines() || !b.isAlone(r) {
		// Each response of a plain server tells its load, and calls are short.
		return false
	}
	capacity, own := 0.0, 0
	for i := range entries {
		e := &entries[i]
		if r.allows(v, e) {
			s := b.state(e)
			capacity += b.maxCalls(s, e, &r.Pool)
			own += s.own.Calls
		}
	}
	return capacity > 0 && float64(own) >= max(capacity/float64(len(r.Hosts)), 1)
}
