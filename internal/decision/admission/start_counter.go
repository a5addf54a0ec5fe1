package admission

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

const (
	// startSlice and startSlices give the time over which starts are counted: the age at
	// which load reports expire.
	startSlice  = 250 * clock.Millis(1)
	startSlices = 8
)

// startCounter counts requests in the last startSlice x startSlices ms.
type startCounter struct {
	counts [startSlices]int
	slice  clock.Millis // number of the newest slice
}

func (s *startCounter) record(now clock.Millis) {
	s.advance(now)
	s.counts[s.slice%startSlices]++
}

// advance clears the slices that began since the last call.
func (s *startCounter) advance(now clock.Millis) {
	current := now / startSlice
	for i := range min(current-s.slice, startSlices) {
		s.counts[(current-i)%startSlices] = 0
	}
	s.slice = max(s.slice, current)
}

func (s *startCounter) perSecond(now clock.Millis) float64 {
	s.advance(now)
	total := 0
	for _, n := range s.counts {
		total += n
	}
	// The newest slice is incomplete.
	elapsed := (startSlices-1)*startSlice + now%startSlice
	return 1000 * float64(total) / float64(max(elapsed, 1))
}
