package loadbalance

import (
	"math"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// KnownSpeed is what this daemon knew of a server's speed when it chose it.
type KnownSpeed struct {
	Speed   float64      // lasting, relative to a typical server of the pool
	Pace    int          // expected time of work in percent of the usual
	PaceAge clock.Millis // of the latest statement; -1 if there is none that counts
	FromOwn bool         // the pace was stated to this daemon
}

// knownSpeed returns what is known of the server's speed.
func (s *serverState) knownSpeed(now clock.Millis) *KnownSpeed {
	pace := s.speed.pace
	k := &KnownSpeed{
		Speed: 1 / s.lastingSlowness(), Pace: int(math.Round(pace.slowness(now) * usualPace)), PaceAge: -1, FromOwn: pace.isOwn,
	}
	if age := now - pace.at; pace.percent > 0 && age < paceLifetime {
		k.PaceAge = age
	}
	return k
}

// SpeedSummary describes the known speeds of the servers in uneven pools.
type SpeedSummary struct {
	UnevenPools int
	Own         int     // servers whose speed this daemon's calls have shown
	Peers       int     // servers whose speed other daemons report
	Lowest      float64 // lasting speed; 1 if none is known
	Highest     float64
	Paces       int          // servers with a pace that counts
	PeerPaces   int          // of these, from other daemons
	SlowPaces   int          // of these, slower than usual by half or more
	OldestPace  clock.Millis // age of the oldest of these
}

// SpeedSummary returns a summary of the known speeds.
func (b *Balancer) SpeedSummary(now clock.Millis) SpeedSummary {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := SpeedSummary{Lowest: 1, Highest: 1}
	for _, p := range b.speeds.pools {
		if p.isUneven {
			m.UnevenPools++
		}
	}
	for _, s := range b.servers {
		if s.lasting == 0 {
			continue
		}
		if s.speed.own.At(now).weight >= typicalSpeedWeight {
			m.Own++
		}
		if s.speed.peers.At(now).weight >= typicalSpeedWeight {
			m.Peers++
		}
		speed := 1 / s.lasting
		m.Lowest, m.Highest = min(m.Lowest, speed), max(m.Highest, speed)
		m.addPace(s.speed.pace, now)
	}
	return m
}

// slowPace is the pace in percent from which on a server counts as slow at this moment.
const slowPace = 150

func (m *SpeedSummary) addPace(p pace, now clock.Millis) {
	age := now - p.at
	if p.percent == 0 || age >= paceLifetime {
		return
	}
	m.Paces++
	m.OldestPace = max(m.OldestPace, age)
	if !p.isOwn {
		m.PeerPaces++
	}
	if p.percent >= slowPace {
		m.SlowPaces++
	}
}
