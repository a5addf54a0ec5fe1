package quarantine

import (
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

const (
	// soundPeriod is the least time for which a sound run counts. The counts of the current
	// and the last period add up. It must not be below crashMemory, or crashes would outlive
	// what speaks against them.
	soundPeriod = crashMemory
	// maxSoundSegments bounds the segments that are counted, maxSoundRequests the requests of
	// each client account, and maxSoundAccounts the accounts.
	maxSoundSegments = 8_192
	maxSoundRequests = 256
	maxSoundAccounts = 64
)

// soundCounts counts the sound runs of the parts used most recently. No client account can
// make those of another's requests be forgotten.
type soundCounts struct {
	segments *container.LRU[Part, soundCount]
	requests *container.LRU[accountTag, *container.LRU[Part, soundCount]]
}

type soundCount struct {
	period        clock.Millis // number of the current period
	current, last int
	lastAt        clock.Millis
}

func newSoundCounts() soundCounts {
	return soundCounts{
		segments: container.NewLRU[Part, soundCount](maxSoundSegments),
		requests: container.NewLRU[accountTag, *container.LRU[Part, soundCount]](maxSoundAccounts),
	}
}

// countsOf returns the counts among which the part is.
func (s soundCounts) countsOf(part Part) *container.LRU[Part, soundCount] {
	if !part.IsRequest() {
		return s.segments
	}
	counts, ok := s.requests.Get(part.account())
	if !ok {
		counts = container.NewLRU[Part, soundCount](maxSoundRequests)
		s.requests.Put(part.account(), counts)
	}
	return counts
}

// at returns the count as of the time.
func (c soundCount) at(now clock.Millis) soundCount {
	switch period := now / soundPeriod; period - c.period {
	case 0:
	case 1:
		c.period, c.last, c.current = period, c.current, 0
	default:
		c.period, c.last, c.current = period, 0, 0
	}
	return c
}

func (s soundCounts) add(part Part, now clock.Millis) {
	counts := s.countsOf(part)
	c, _ := counts.Get(part)
	c = c.at(now)
	c.current++
	c.lastAt = now
	counts.Put(part, c)
}

// recent returns the recent sound runs with the part.
func (s soundCounts) recent(part Part, now clock.Millis) (SoundRuns, bool) {
	c, ok := s.countsOf(part).Get(part)
	if !ok {
		return SoundRuns{}, false
	}
	c = c.at(now)
	if c.current+c.last == 0 {
		return SoundRuns{}, false
	}
	return SoundRuns{Part: part, Count: c.current + c.last, Age: now - c.lastAt}, true
}
