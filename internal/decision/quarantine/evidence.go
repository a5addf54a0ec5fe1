// Package quarantine finds segments of prompts that crash the backend servers which answer
// them, and keeps requests with these segments away from the servers.
//
// Each daemon notes which requests a server had just begun to answer when it crashed. The
// daemons join these notes: a segment that recurs in the crashes of several servers, and
// that servers have not answered otherwise, is quarantined. Requests that share only their
// other segments, their client account or their route are unaffected.
package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// maxSuspects bounds the requests of a crash, and maxSegments the segments of a request.
	maxSuspects = 8
	maxSegments = 32
	// maxCrashes bounds the crashes that are remembered.
	maxCrashes = 64
)

// ServerStart identifies one start of a server.
type ServerStart struct {
	ID        string `json:"i"`
	StartedAt int64  `json:"s"` // see fleet.Server; 0 if unknown
}

// Crash is the crash of a server, and the requests that may have caused it.
type Crash struct {
	Server ServerStart  `json:"v"`
	Age    clock.Millis `json:"a"`
	// Begun means that the server had begun to answer the suspects. Otherwise no daemon has
	// seen the beginning of an answer, and the suspects were waiting for one.
	Begun    bool       `json:"b"`
	Suspects [][]uint64 `json:"q"` // hashes of the segments of each suspect's prompt
}

// Merge adds a daemon's note of a crash to that of another daemon. The requests whose
// answers had begun take the place of those that were waiting.
func (c Crash) Merge(other Crash) Crash {
	if c.Begun != other.Begun {
		if other.Begun {
			c.Begun, c.Suspects = true, other.Suspects
		}
		c.Age = max(c.Age, other.Age)
		return c
	}
	c.Age = max(c.Age, other.Age)
	suspects := slices.Clone(c.Suspects)
	for _, s := range other.Suspects {
		known := slices.ContainsFunc(suspects, func(k []uint64) bool { return slices.Equal(k, s) })
		if !known && len(suspects) < maxSuspects {
			suspects = append(suspects, s)
		}
	}
	c.Suspects = suspects
	return c
}

// SoundRuns are the recent answers to requests with a segment that crashed no server.
type SoundRuns struct {
	Segment uint64       `json:"g"`
	Count   int          `json:"n"`
	Age     clock.Millis `json:"a"` // of the last one
}

// Plus adds the runs of another daemon.
func (s SoundRuns) Plus(other SoundRuns) SoundRuns {
	s.Segment, s.Count, s.Age = other.Segment, s.Count+other.Count, min(s.Age, other.Age)
	return s
}

const (
	// minCrashes is the number of crashes, less the sound runs, from which on a segment is
	// quarantined.
	minCrashes = 3
	// minWaitingCrashes replaces it while no daemon has seen which answers had begun: a
	// request waits at many servers before it is answered.
	minWaitingCrashes = 4
	// joinTime is the time after which another daemon's note of a crash has arrived. Until
	// then, waiting requests are not suspected: the other may have seen which answer had begun.
	joinTime = 1_500 * clock.Millis(1)
	// simultaneous is the time within which the crashes of several servers count as one:
	// they have a common cause other than a request.
	simultaneous = 40 * clock.Millis(1)
)

// Find returns the segments that explain the crashes. A crash has one cause: the segment
// that explains most comes first, and the crashes it explains count for no other.
func Find(crashes []Crash, sound map[uint64]SoundRuns) []uint64 {
	var found []uint64
	remaining := slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return !c.Begun && c.Age < joinTime })
	slices.SortFunc(remaining, func(a, b Crash) int { return cmp.Compare(b.Age, a.Age) })
	for {
		segment, ok := likeliest(remaining, sound)
		if !ok {
			return found
		}
		found = append(found, segment)
		remaining = slices.DeleteFunc(remaining, func(c Crash) bool { return c.has(segment) })
	}
}

// has reports whether a suspect has the segment.
func (c Crash) has(segment uint64) bool {
	return slices.ContainsFunc(c.Suspects, func(s []uint64) bool { return slices.Contains(s, segment) })
}

// candidate is what speaks for a segment as the cause of crashes.
type candidate struct {
	crashes  int
	begun    bool         // some of the crashes are of answers that had begun
	lastAge  clock.Millis // of the last crash that counts
	position int          // in the prompt; a later segment is more specific
}

// likeliest returns the segment with most crashes less sound runs, if these are enough. Of
// several, it returns the most specific one. The crashes are sorted, oldest first.
func likeliest(crashes []Crash, sound map[uint64]SoundRuns) (uint64, bool) {
	candidates := make(map[uint64]candidate)
	for _, crash := range crashes {
		seen := make(map[uint64]int)
		for _, suspect := range crash.Suspects {
			for i, segment := range suspect {
				seen[segment] = max(seen[segment], i)
			}
		}
		for segment, position := range seen {
			c := candidates[segment]
			if c.crashes == 0 || c.lastAge-crash.Age >= simultaneous {
				c.crashes++
				c.lastAge = crash.Age
			}
			c.begun = c.begun || crash.Begun
			c.position = max(c.position, position)
			candidates[segment] = c
		}
	}
	best, bestScore := uint64(0), 0
	for _, segment := range slices.Sorted(maps.Keys(candidates)) {
		c := candidates[segment]
		score := c.crashes - sound[segment].Count
		needed := minCrashes
		if !c.begun {
			needed = minWaitingCrashes
		}
		if score < needed || score < bestScore || (score == bestScore && c.position <= candidates[best].position) {
			continue
		}
		best, bestScore = segment, score
	}
	return best, bestScore > 0
}
