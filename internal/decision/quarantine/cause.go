package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// minCrashes is the number of crashes, less the sound runs, from which on a segment is
	// quarantined.
	minCrashes = 3
	// minWaitingCrashes replaces it while no daemon has seen which answers had begun: a
	// request waits at many servers before it is answered.
	minWaitingCrashes = 4
	// maxCoincidence is the probability below which the crashes under requests with a part are
	// taken for no coincidence. Hundreds of requests may run while servers crash for other
	// causes.
	maxCoincidence = 1e-4
	// maxRequestCoincidence is the same for the content of a request. A false suspicion holds
	// only that request, which no server has answered.
	maxRequestCoincidence = 1e-3
	// joinTime is the time after which another daemon's note of a crash has arrived. Until
	// then, segments of waiting requests are not suspected: the other may have seen which
	// answer had begun.
	joinTime = 1_500 * clock.Millis(1)
	// simultaneous is the time within which the crashes of several servers count as one:
	// they have a common cause other than a request.
	simultaneous = 40 * clock.Millis(1)
	// rateTime is the least time over which the rate of other crashes is averaged.
	rateTime = 10_000 * clock.Millis(1)
	// requestPosition is the position of a request's last part, which is more specific than
	// all segments.
	requestPosition = maxSegments + 1
)

// Cause is a part that explains crashes.
type Cause struct {
	Part Part
	// Score is the number of crashes less the sound runs and, for the content of a request,
	// the crashes that other causes are expected to have.
	Score float64
}

// Find returns the parts that explain the crashes. A crash has one cause: the part that
// explains most comes first, and the crashes it explains count for no other.
func Find(crashes []Crash, sound map[Part]SoundRuns) (found []Cause) {
	remaining := slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Server.ID, b.Server.ID))
	})
	for {
		c, ok := likeliest(candidates(remaining, sound))
		if !ok {
			return found
		}
		found = append(found, Cause{c.part, c.score})
		remaining = slices.DeleteFunc(remaining, func(crash Crash) bool { return crash.has(c.part) })
	}
}

// candidate is what speaks for a part as the cause of crashes.
type candidate struct {
	part     Part
	crashes  int
	in       []int        // indexes of the crashes
	begun    bool         // some of the crashes are of answers that had begun
	lastAge  clock.Millis // of the last crash that counts
	position int          // in the request; a later part is more specific
	rank     int          // sum of the positions of the first suspects with it; see Crash.Suspects
	waits    clock.Millis // sum of the waits of requests with it
	score    float64      // see Cause; 0 if it is too low
}

// recurring returns the parts that are suspected in at least so many crashes, with the wait
// of the likeliest suspect with the part in each crash.
func recurring(crashes []Crash, least int) map[Part][]clock.Millis {
	waits, lastIn := make(map[Part][]clock.Millis), make(map[Part]int)
	for i, crash := range crashes {
		for _, suspect := range crash.Suspects {
			for _, part := range suspect.Parts {
				if lastIn[part] != i+1 {
					lastIn[part] = i + 1
					waits[part] = append(waits[part], suspect.Wait)
				}
			}
		}
	}
	maps.DeleteFunc(waits, func(_ Part, w []clock.Millis) bool { return len(w) < least })
	return waits
}

// usualWait returns how long it mostly took requests to crash a server, if they are the cause
// and these are their waits.
func usualWait(waits []clock.Millis) clock.Millis {
	return slices.Sorted(slices.Values(waits))[len(waits)/2]
}

// candidates returns the parts that may have caused the crashes, sorted. The crashes are
// sorted, oldest first.
func candidates(crashes []Crash, sound map[Part]SoundRuns) []candidate {
	eligible := recurring(crashes, minCrashes)
	byPart := make(map[Part]candidate, len(eligible))
	for i, crash := range crashes {
		for part, s := range crash.sightings(eligible) {
			byPart[part] = byPart[part].withCrash(s, i, crash)
		}
	}
	list := slices.SortedFunc(maps.Values(byPart), func(a, b candidate) int { return comparePart(a.part, b.part) })
	setScores(list, crashes, sound)
	return list
}

// sightings returns what the suspects of one crash tell of each eligible part.
func (c Crash) sightings(eligible map[Part][]clock.Millis) map[Part]candidate {
	seen := make(map[Part]candidate)
	for rank, suspect := range c.Suspects {
		for position, part := range suspect.Parts {
			if len(eligible[part]) == 0 || (!part.IsRequest() && !c.Begun && c.Age < joinTime) {
				continue
			}
			if position == len(suspect.Parts)-1 && part.IsRequest() {
				position = requestPosition
			}
			s, known := seen[part]
			if !known {
				s.part, s.rank = part, rank
			}
			s.position, s.waits = max(s.position, position), max(s.waits, suspect.Wait)
			seen[part] = s
		}
	}
	return seen
}

// withCrash returns the candidate with the next crash, of the given index, in which it was seen.
func (c candidate) withCrash(s candidate, index int, crash Crash) candidate {
	c.part = s.part
	c.rank += s.rank
	c.waits += s.waits
	c.position = max(c.position, s.position)
	c.in = append(c.in, index)
	c.begun = c.begun || crash.Begun
	// A request that was sent after the other crash had no share in a common cause.
	if elapsed := c.lastAge - crash.Age; c.crashes == 0 || elapsed >= simultaneous || (c.part.IsRequest() && s.waits <= elapsed) {
		c.crashes++
		c.lastAge = crash.Age
	}
	return c
}

// setScores sets the scores of the candidates.
func setScores(list []candidate, crashes []Crash, sound map[Part]SoundRuns) {
	explained := make(map[int]bool) // by requests
	for i, c := range list {
		if !c.part.IsRequest() {
			continue
		}
		if list[i].score = c.requestScore(crashes, sound); list[i].score > 0 {
			for _, index := range c.in {
				explained[index] = true
			}
		}
	}
	for i, c := range list {
		if !c.part.IsRequest() {
			list[i].score = c.segmentScore(explained, crashes, sound[c.part])
		}
	}
}

// requestScore returns the score of a request's content; 0 if it is too low for a quarantine.
// Of two requests in the same crashes, the one that waited for less time has the higher score.
func (c candidate) requestScore(crashes []Crash, sound map[Part]SoundRuns) float64 {
	n := c.crashes - sound[c.part].Count
	if n < minCrashes {
		return 0
	}
	expected := c.coincidences(crashes)
	if poissonTail(n, expected) >= maxRequestCoincidence {
		return 0
	}
	return max(float64(n)-expected, 1)
}

// poissonTail returns the probability of at least n events if so many are expected.
func poissonTail(n int, expected float64) float64 {
	term, below := math.Exp(-expected), 0.0
	for i := range n {
		below += term
		term *= expected / float64(i+1)
	}
	return 1 - below
}

// segmentScore returns the score of a segment; 0 if it is too low for a quarantine. If servers
// have also survived requests with the segment, the crashes that requests explain don't count.
func (c candidate) segmentScore(explained map[int]bool, crashes []Crash, sound SoundRuns) float64 {
	score, needed := c.crashes-sound.Count, minCrashes
	if sound.Count > 0 || sound.Lasting > 0 {
		for _, index := range c.in {
			if explained[index] {
				score--
			}
		}
	}
	if !c.begun {
		needed = minWaitingCrashes
	}
	if score < needed || poissonTail(score, c.coincidences(crashes)) >= maxCoincidence {
		return 0
	}
	return float64(score)
}

// coincidences returns how many crashes of the servers at which requests with the part ran
// are expected to have had other causes, by the rate of the pool's crashes without it. One
// more than these is assumed, since so few don't tell the rate.
func (c candidate) coincidences(crashes []Crash) float64 {
	oldest := crashes[c.in[0]]
	window := oldest.Age + rateTime
	others, servers := 1, max(oldest.Servers, 1)
	for _, crash := range crashes {
		if crash.Pool == oldest.Pool && crash.Age <= window && !crash.has(c.part) {
			others++
			servers = max(servers, crash.Servers)
		}
	}
	return float64(c.waits) * float64(others) / (float64(window) * float64(servers))
}

// likeliest returns the candidate with the highest score. Of several, it returns the most
// specific one, and of these the one of likelier suspects.
func likeliest(all []candidate) (best candidate, ok bool) {
	for _, c := range all {
		if c.score > 0 && compareLikelihood(c, best) > 0 {
			best = c
		}
	}
	for {
		specific, ok := mostSpecific(best, all)
		if !ok {
			return best, best.score > 0
		}
		best = specific
	}
}

// compareLikelihood orders candidates, the likeliest one last.
func compareLikelihood(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.position, b.position), cmp.Compare(b.rank, a.rank))
}

const (
	// maxAlternatives is the number of more specific parts that may explain the crashes of
	// a shared one, and explainedShare the share of its crashes that they must explain.
	maxAlternatives = 3
	explainedShare  = 0.9
	// minAlternativeScore is the least score of each of several alternatives.
	minAlternativeScore = 4
)

// mostSpecific returns the first of a few more specific parts that explain the crashes of
// the given one: a segment that many prompts share is among the suspects of most crashes.
func mostSpecific(shared candidate, all []candidate) (candidate, bool) {
	unexplained := make(map[int]bool, len(shared.in))
	for _, i := range shared.in {
		unexplained[i] = true
	}
	var first candidate
	for alternatives := range maxAlternatives {
		best, bestCount := candidate{}, 0
		for _, c := range all {
			if c.position <= shared.position || c.score == 0 || (alternatives > 0 && min(c.score, first.score) < minAlternativeScore) {
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
