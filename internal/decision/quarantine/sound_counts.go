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
	// maxSoundSegments bounds the memory for counts.
	maxSoundSegments = 8_192
)

// soundCounts counts the sound runs of the segments used most recently.
type soundCounts struct {
	counts *container.LRU[Part, soundCount]
}

type soundCount struct {
	period        clock.Millis // number of the current period
	current, last int
	lastAt        clock.Millis
}

func newSoundCounts() soundCounts {
	return soundCounts{container.NewLRU[Part, soundCount](maxSoundSegments)}
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

func (s soundCounts) add(segment Part, now clock.Millis) {
	c, _ := s.counts.Get(segment)
	c = c.at(now)
	c.current++
	c.lastAt = now
	s.counts.Put(segment, c)
}

// recent returns the recent sound runs with the segment.
func (s soundCounts) recent(segment Part, now clock.Millis) (SoundRuns, bool) {
	c, ok := s.counts.Get(segment)
	if !ok {
		return SoundRuns{}, false
	}
	c = c.at(now)
	if c.current+c.last == 0 {
		return SoundRuns{}, false
	}
	return SoundRuns{Part: segment, Count: c.current + c.last, Age: now - c.lastAt}, true
}
