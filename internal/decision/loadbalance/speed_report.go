package loadbalance

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// SpeedReport is what daemons know of the speed of one start of a server. Reports of
// several daemons add up.
type SpeedReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec: reports are frequent.

	Server   uint32 `json:"i"` // see speedKey
	Weight   int    `json:"w"` // of the evidence, in tenths of a measurement
	LogRatio int    `json:"r"` // hundredths of the weighted sum of log(measured / expected time)
	Pace     int    `json:"p"` // latest stated, in percent; 0 if none is recent
	PaceAge  int    `json:"a"` // in ms; an int takes fewer bytes than clock.Millis
}

const (
	// maxSpeedReports bounds the servers in a report. The most certain ones are kept. Twice
	// as many would take 27 KB/s of a daemon's 20 KB/s for reports sent and received.
	maxSpeedReports = 128
	weightUnit      = 10.0
	logRatioUnit    = 100.0
)

// After returns the report as it counts when it is that much older.
func (r SpeedReport) After(elapsed clock.Millis) SpeedReport {
	factor := math.Exp2(-float64(max(elapsed, 0)) / speedHalfLifeMs)
	r.Weight = int(math.Round(float64(r.Weight) * factor))
	r.LogRatio = int(math.Round(float64(r.LogRatio) * factor))
	if r.PaceAge += int(elapsed); r.Pace > 0 && r.PaceAge >= int(paceLifetime) {
		r.Pace = 0
	}
	if r.Pace == 0 {
		r.PaceAge = 0
	}
	return r
}

// Plus returns the sum of two daemons' reports of the same server, with the newer pace.
func (r SpeedReport) Plus(o SpeedReport) SpeedReport {
	r.Weight += o.Weight
	r.LogRatio += o.LogRatio
	if o.Pace > 0 && (r.Pace == 0 || o.PaceAge < r.PaceAge) {
		r.Pace, r.PaceAge = o.Pace, o.PaceAge
	}
	return r
}

// MostCertainSpeeds returns at most 128 of the reports, those with the greatest weights.
func MostCertainSpeeds(reports []SpeedReport) []SpeedReport {
	if len(reports) <= maxSpeedReports {
		return reports
	}
	slices.SortFunc(reports, func(a, b SpeedReport) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Server, b.Server))
	})
	return reports[:maxSpeedReports]
}

// OwnSpeeds returns what this daemon's own calls have shown of the speed of servers in
// uneven pools, sorted by server.
func (b *Balancer) OwnSpeeds(now clock.Millis) []SpeedReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.anyUneven() {
		return nil
	}
	var reports []SpeedReport
	for _, key := range slices.Sorted(maps.Keys(b.speeds.servers)) {
		s := b.speeds.servers[key]
		own := s.own.At(now)
		r := SpeedReport{
			Server: key, Weight: int(math.Round(own.weight * weightUnit)), LogRatio: int(math.Round(own.logRatio * logRatioUnit)),
		}
		if age := now - s.pace.at; s.pace.isOwn && s.pace.percent > 0 && age < paceLifetime {
			r.Pace, r.PaceAge = s.pace.percent, int(age)
		}
		if r.Weight > 0 || r.Pace > 0 {
			reports = append(reports, r)
		}
	}
	return MostCertainSpeeds(reports)
}

// anyUneven reports whether any pool had uneven servers lately. The caller must hold mu.
func (b *Balancer) anyUneven() bool {
	for _, p := range b.speeds.pools {
		if p.isUneven {
			return true
		}
	}
	return false
}

// SetPeerSpeeds records the sum of what the other daemons know. What is known of servers
// that the reports leave out decays: this daemon may be cut off from the others.
func (b *Balancer) SetPeerSpeeds(reports []SpeedReport, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range reports {
		s := b.speeds.byKey(r.Server)
		s.usedAt = now
		s.peers = speedEvidence{weight: float64(max(r.Weight, 0)) / weightUnit, logRatio: float64(r.LogRatio) / logRatioUnit, at: now}
		if at := now - clock.Millis(max(r.PaceAge, 0)); r.Pace >= MinPace && r.Pace <= MaxPace && at > s.pace.at {
			s.pace = s.pace.With(r.Pace, false, at)
		}
	}
}
