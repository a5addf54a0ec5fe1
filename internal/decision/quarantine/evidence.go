// Package quarantine finds requests, and segments of prompts, that crash the backend servers
// which run them, and keeps them away from the servers.
//
// Each daemon notes which requests ran at a server when it crashed. The daemons join these
// notes: a part that recurs in the crashes of several servers, and that servers have not
// answered otherwise, is quarantined. Requests that share only their other parts, their
// client account or their route are unaffected.
package quarantine

import (
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// maxSuspects bounds the requests of a crash that one daemon notes, and maxJoinedSuspects
	// those of all daemons. A busy server runs 64 requests.
	maxSuspects       = 64
	maxJoinedSuspects = 96
	// maxReportedParts bounds the parts of the suspects of all crashes in a report. At least
	// minReportedParts of each crash may be reported.
	maxReportedParts = 256
	minReportedParts = 8
	// maxSegments bounds the segments of a request.
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
	Server  ServerStart  `json:"v"`
	Pool    string       `json:"n"`
	Servers int          `json:"z"` // in the pool; 0 if unknown
	Age     clock.Millis `json:"a"`
	// Begun means that the server had just begun to answer some suspects. The others were
	// waiting for an answer.
	Begun bool `json:"b"`
	// Suspects are the requests that ran or waited at the server, the likeliest cause first.
	Suspects []Suspect `json:"q"`
}

// Suspect is a request that may have caused a crash.
type Suspect struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec: suspects are most of a report.

	Parts  []Part       `json:"p"`
	Wait   clock.Millis `json:"w"` // from the sending of the request to the crash
	Recurs bool         `json:"r"` // it is a suspect of several crashes and has no sound runs
}

// content returns the most specific part of the request.
func (s Suspect) content() Part { return s.Parts[len(s.Parts)-1] }

// Merge adds a daemon's note of a crash to that of another daemon.
func (c Crash) Merge(other Crash) Crash {
	c.Age, c.Begun, c.Servers = max(c.Age, other.Age), c.Begun || other.Begun, max(c.Servers, other.Servers)
	c.Suspects = slices.Clone(c.Suspects)
	for _, s := range other.Suspects {
		c.addSuspect(s)
	}
	if len(c.Suspects) > maxJoinedSuspects {
		c.Suspects = c.recurringFirst()[:maxJoinedSuspects]
	}
	return c
}

// addSuspect adds the suspect, or joins it with the one that has the same parts.
func (c *Crash) addSuspect(s Suspect) {
	i := slices.IndexFunc(c.Suspects, func(known Suspect) bool { return slices.Equal(known.Parts, s.Parts) })
	if i < 0 {
		c.Suspects = append(c.Suspects, s)
		return
	}
	c.Suspects[i].Wait = max(c.Suspects[i].Wait, s.Wait)
	c.Suspects[i].Recurs = c.Suspects[i].Recurs || s.Recurs
}

// recurringFirst returns the suspects, those that recur first.
func (c Crash) recurringFirst() []Suspect {
	return slices.SortedStableFunc(slices.Values(c.Suspects), func(a, b Suspect) int { return compareBool(b.Recurs, a.Recurs) })
}

// withParts returns the crash with so few suspects that they have no more parts than the
// limit, but with at least one.
func (c Crash) withParts(limit int) Crash {
	suspects := c.recurringFirst()
	n, parts := 0, 0
	for n < len(suspects) && (n == 0 || parts+len(suspects[n].Parts) <= limit) {
		parts += len(suspects[n].Parts)
		n++
	}
	c.Suspects = suspects[:n]
	return c
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// LimitSuspects returns the crashes of a report with so few suspects each that the report
// stays small. It changes the slice.
func LimitSuspects(crashes []Crash) []Crash {
	limit := max(maxReportedParts/max(len(crashes), 1), minReportedParts)
	for i, c := range crashes {
		crashes[i] = c.withParts(limit)
	}
	return crashes
}

// has reports whether a suspect has the part.
func (c Crash) has(part Part) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return slices.Contains(s.Parts, part) })
}

// haveBoth reports whether a single suspect has both parts.
func (c Crash) haveBoth(a, b Part) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return slices.Contains(s.Parts, a) && slices.Contains(s.Parts, b) })
}

// waitOf returns how long a suspect with the part had waited; the longest wait if there are
// several.
func (c Crash) waitOf(part Part) (longest clock.Millis) {
	for _, s := range c.Suspects {
		if slices.Contains(s.Parts, part) {
			longest = max(longest, s.Wait)
		}
	}
	return longest
}

// SoundRuns are the recent answers to requests with a part that crashed no server.
type SoundRuns struct {
	Part  Part         `json:"g"`
	Count int          `json:"n"`
	Age   clock.Millis `json:"a"` // of the last one
	// Lasting is the number of servers that are still answering a request with the part, for
	// longer than it mostly took such requests to crash one.
	Lasting int `json:"l,omitempty"`
}

// Plus adds the runs of another daemon.
func (s SoundRuns) Plus(other SoundRuns) SoundRuns {
	switch {
	case other.Count == 0:
	case s.Count == 0:
		s.Age = other.Age
	default:
		s.Age = min(s.Age, other.Age)
	}
	s.Part, s.Count, s.Lasting = other.Part, s.Count+other.Count, s.Lasting+other.Lasting
	return s
}
