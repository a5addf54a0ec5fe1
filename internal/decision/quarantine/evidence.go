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
	// maxSuspects bounds the requests of a crash that one daemon notes, and maxJoinedSuspects
	// those of all daemons. maxSegments bounds the segments of a request.
	maxSuspects       = 8
	maxJoinedSuspects = 24
	maxSegments       = 32
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
	// Begun means that the server had just begun to answer some suspects. The others were
	// waiting for an answer.
	Begun bool `json:"b"`
	// Suspects are the parts of each suspect's prompt, the likeliest first.
	Suspects [][]Part `json:"q"`
}

// Merge adds a daemon's note of a crash to that of another daemon.
func (c Crash) Merge(other Crash) Crash {
	c.Age, c.Begun = max(c.Age, other.Age), c.Begun || other.Begun
	c.Suspects = slices.Clone(c.Suspects)
	for _, s := range other.Suspects {
		if len(c.Suspects) < maxJoinedSuspects {
			c.addSuspect(s)
		}
	}
	return c
}

// addSuspect adds a request with the segments, unless one with the same segments is known.
func (c *Crash) addSuspect(segments []Part) {
	if !slices.ContainsFunc(c.Suspects, func(known []Part) bool { return slices.Equal(known, segments) }) {
		c.Suspects = append(c.Suspects, segments)
	}
}

// SoundRuns are the recent answers to requests with a segment that crashed no server.
type SoundRuns struct {
	Part  Part         `json:"g"`
	Count int          `json:"n"`
	Age   clock.Millis `json:"a"` // of the last one
}

// Plus adds the runs of another daemon.
func (s SoundRuns) Plus(other SoundRuns) SoundRuns {
	s.Part, s.Count, s.Age = other.Part, s.Count+other.Count, min(s.Age, other.Age)
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
func Find(crashes []Crash, sound map[Part]SoundRuns) []Part {
	var found []Part
	remaining := slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return !c.Begun && c.Age < joinTime })
	slices.SortFunc(remaining, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Server.ID, b.Server.ID))
	})
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
func (c Crash) has(segment Part) bool {
	return slices.ContainsFunc(c.Suspects, func(s []Part) bool { return slices.Contains(s, segment) })
}

// candidate is what speaks for a segment as the cause of crashes.
type candidate struct {
	segment  Part
	crashes  int
	in       []int        // indexes of the crashes
	begun    bool         // some of the crashes are of answers that had begun
	lastAge  clock.Millis // of the last crash that counts
	position int          // in the prompt; a later segment is more specific
	rank     int          // sum of the positions of the first suspects with it; see Crash.Suspects
}

// candidates returns the segments of the crashes' suspects, sorted. The crashes are sorted,
// oldest first.
func candidates(crashes []Crash) []candidate {
	bySegment := make(map[Part]candidate)
	for i, crash := range crashes {
		seen, ranks := make(map[Part]int), make(map[Part]int)
		for rank, suspect := range crash.Suspects {
			for position, segment := range suspect {
				if _, known := ranks[segment]; !known {
					ranks[segment] = rank
				}
				seen[segment] = max(seen[segment], position)
			}
		}
		for segment, position := range seen {
			c := bySegment[segment]
			c.rank += ranks[segment]
			c.segment = segment
			if c.crashes == 0 || c.lastAge-crash.Age >= simultaneous {
				c.crashes++
				c.lastAge = crash.Age
			}
			c.in = append(c.in, i)
			c.begun = c.begun || crash.Begun
			c.position = max(c.position, position)
			bySegment[segment] = c
		}
	}
	return slices.SortedFunc(maps.Values(bySegment), func(a, b candidate) int { return comparePart(a.segment, b.segment) })
}

// score returns the crashes less the sound runs; 0 if these are not enough.
func (c candidate) score(sound map[Part]SoundRuns) int {
	needed := minCrashes
	if !c.begun {
		needed = minWaitingCrashes
	}
	if score := c.crashes - sound[c.segment].Count; score >= needed {
		return score
	}
	return 0
}

// likeliest returns the segment with most crashes less sound runs, if these are enough. Of
// several, it returns the most specific one, and of these the one of likelier suspects. The
// crashes are sorted, oldest first.
func likeliest(crashes []Crash, sound map[Part]SoundRuns) (Part, bool) {
	all := candidates(crashes)
	best, bestScore := candidate{}, 0
	for _, c := range all {
		score := c.score(sound)
		if score > 0 && cmp.Or(cmp.Compare(score, bestScore), cmp.Compare(c.position, best.position), cmp.Compare(best.rank, c.rank)) > 0 {
			best, bestScore = c, score
		}
	}
	for {
		specific, ok := mostSpecific(best, all, sound)
		if !ok {
			return best.segment, bestScore > 0
		}
		best = specific
	}
}

const (
	// maxAlternatives is the number of more specific segments that may explain the crashes of
	// a shared one, and explainedShare the share of its crashes that they must explain.
	maxAlternatives = 3
	explainedShare  = 0.9
	// minAlternativeCrashes is the least score of each of several alternatives.
	minAlternativeCrashes = 4
)

// mostSpecific returns the first of a few more specific segments that explain the crashes of
// the given one: a segment that many prompts share is among the suspects of most crashes.
func mostSpecific(shared candidate, all []candidate, sound map[Part]SoundRuns) (candidate, bool) {
	unexplained := make(map[int]bool, len(shared.in))
	for _, i := range shared.in {
		unexplained[i] = true
	}
	var first candidate
	for alternatives := range maxAlternatives {
		best, bestCount := candidate{}, 0
		for _, c := range all {
			score := c.score(sound)
			if c.position <= shared.position || score == 0 || (alternatives > 0 && min(score, first.score(sound)) < minAlternativeCrashes) {
				continue
			}
			count := 0
			for _, i := range c.in {
				if unexplained[i] {
					count++
				}
			}
			if count > bestCount {
				best, bestCount = c, count
			}
		}
		if bestCount == 0 {
			break
		}
		if first.in == nil {
			first = best
		}
		for _, i := range best.in {
			delete(unexplained, i)
		}
	}
	explained := len(shared.in) - len(unexplained)
	return first, first.in != nil && float64(explained) >= explainedShare*float64(len(shared.in))
}
