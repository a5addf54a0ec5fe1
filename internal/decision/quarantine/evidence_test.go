package quarantine

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// crashes returns crashes of different servers, 200 ms apart, under requests that had begun.
// Each crash is given by the segments of its suspects.
func crashes(suspects ...[]Suspect) []Crash {
	list := make([]Crash, 0, len(suspects))
	for i, s := range suspects {
		list = append(list, Crash{
			Server: ServerStart{ID: fmt.Sprintf("s%d", i), StartedAt: 1}, Age: clock.Millis(200 * (len(suspects) - i)), Begun: true, Suspects: s,
		})
	}
	return list
}

// suspect returns the suspects of a crash with a single one.
func suspect(numbers ...uint64) []Suspect { return suspects(segments(numbers...)) }

// suspects returns suspects with the parts.
func suspects(parts ...[]Part) (list []Suspect) {
	for _, p := range parts {
		list = append(list, Suspect{Parts: p})
	}
	return list
}

func soundRuns(counts map[uint64]int) map[Part]SoundRuns {
	runs := make(map[Part]SoundRuns)
	for number, n := range counts {
		runs[segment(number)] = SoundRuns{Part: segment(number), Count: n}
	}
	return runs
}

// waiting returns the crashes as those of servers that were not seen to begin an answer, the
// last one of them of the given age.
func waiting(age clock.Millis, list []Crash) []Crash {
	for i := range list {
		list[i].Begun = false
		list[i].Age += age
	}
	return list
}

func TestFind(t *testing.T) {
	simultaneousCrashes := crashes(suspect(1, 10), suspect(1, 11), suspect(1, 12), suspect(1, 13))
	for i := range simultaneousCrashes {
		simultaneousCrashes[i].Age = clock.Millis(500 + 8*i)
	}
	cases := map[string]struct {
		crashes []Crash
		sound   map[uint64]int
		want    []uint64
	}{
		"two crashes":                       {crashes(suspect(1, 9), suspect(1, 9)), nil, nil},
		"the first segment":                 {crashes(suspect(9, 1), suspect(9, 2), suspect(9, 3)), nil, []uint64{9}},
		"a later segment":                   {crashes(suspect(1, 9), suspect(2, 9), suspect(3, 9)), nil, []uint64{9}},
		"a shared segment is sound":         {crashes(suspect(1, 9), suspect(1, 9), suspect(1, 9)), map[uint64]int{1: 1}, []uint64{9}},
		"a shared later segment is sound":   {crashes(suspect(9, 1), suspect(9, 1), suspect(9, 1)), map[uint64]int{1: 1}, []uint64{9}},
		"nothing is known of either":        {crashes(suspect(1, 9), suspect(1, 9), suspect(1, 9)), nil, []uint64{9}},
		"a popular segment beside crashes":  {crashes(suspect(1, 2), suspect(1, 3), suspect(1, 4)), map[uint64]int{1: 40}, nil},
		"sound beside the cause each time":  {crashes(suspects(segments(1, 9), segments(2, 5)), suspects(segments(2, 5), segments(3, 9)), suspects(segments(4, 9), segments(2, 5)), suspect(4, 9)), nil, []uint64{9}},
		"two causes":                        {crashes(suspect(1, 9), suspect(1, 8), suspect(1, 9), suspect(2, 8), suspect(2, 9), suspect(2, 8)), map[uint64]int{1: 4, 2: 4}, []uint64{8, 9}},
		"one answer survived":               {crashes(suspect(1, 9), suspect(2, 9), suspect(3, 9), suspect(4, 9)), map[uint64]int{9: 1}, []uint64{9}},
		"as many answers survived":          {crashes(suspect(1, 9), suspect(2, 9), suspect(3, 9)), map[uint64]int{9: 3}, nil},
		"servers that crash simultaneously": {simultaneousCrashes, nil, nil},
		"three servers of waiting requests": {waiting(joinTime, crashes(suspect(1, 9), suspect(1, 9), suspect(1, 9))), nil, nil},
		"four servers of waiting requests":  {waiting(joinTime, crashes(suspect(1, 9), suspect(2, 9), suspect(3, 9), suspect(4, 9))), nil, []uint64{9}},
		"other daemons may know more":       {waiting(0, crashes(suspect(1, 9), suspect(2, 9), suspect(3, 9), suspect(4, 9))), nil, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			found := partsOf(Find(c.crashes, soundRuns(c.sound)))
			assert.Equal(t, len(found), len(c.want), "%v", found)
			for _, number := range c.want {
				assert.Assert(t, slices.Contains(found, segment(number)), "%d is not in %v", number, found)
			}
		})
	}
}

// partsOf returns the parts of the causes.
func partsOf(causes []Cause) (parts []Part) {
	for _, c := range causes {
		parts = append(parts, c.Part)
	}
	return parts
}

func TestMerge(t *testing.T) {
	begun := Crash{Server: ServerStart{ID: "s"}, Age: 10, Begun: true, Suspects: suspect(1, 2)}
	waits := Crash{Server: ServerStart{ID: "s"}, Age: 30, Suspects: suspect(3, 4)}
	cases := map[string]struct{ a, b, want Crash }{
		"one begun, one waiting": {waits, begun, Crash{Server: begun.Server, Age: 30, Begun: true, Suspects: suspects(segments(3, 4), segments(1, 2))}},
		"in the other order":     {begun, waits, Crash{Server: begun.Server, Age: 30, Begun: true, Suspects: suspects(segments(1, 2), segments(3, 4))}},
		"the same suspect twice": {begun, begun, begun},
		"two suspects":           {begun, Crash{Server: begun.Server, Age: 5, Begun: true, Suspects: suspect(5)}, Crash{Server: begun.Server, Age: 10, Begun: true, Suspects: suspects(segments(1, 2), segments(5))}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, c.a.Merge(c.b), c.want, cmpopts.IgnoreUnexported(Suspect{})) })
	}
}

// TestSharedSegmentsStaySound has one segment crash servers under requests whose other
// segments are sound: among the requests on a server are others that have just begun. Only
// the cause must be found, by its fifth crash. Draws in which another segment without sound
// runs is in every crash tell nothing of which of the two is the cause.
func TestSharedSegmentsStaySound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const cause = 1_000
		shared := rapid.Uint64Range(1, 5)
		private := rapid.Uint64Range(100, 130)
		causeFirst := rapid.Bool().Draw(t, "cause_first")
		sound := map[uint64]int{}
		for number := uint64(1); number <= 5; number++ {
			sound[number] = rapid.IntRange(2, 9).Draw(t, "sound")
		}
		var all [][]Suspect
		for range 5 {
			request := segments(shared.Draw(t, "shared"), cause)
			if causeFirst {
				request = segments(cause, private.Draw(t, "private"))
			}
			all = append(all, suspects(append([][]Part{request}, rapid.SliceOfN(rapid.Custom(func(t *rapid.T) []Part {
				return segments(shared.Draw(t, "shared"), private.Draw(t, "private"))
			}), 0, 2).Draw(t, "beside")...)...))
		}
		list := crashes(all...)
		for number := uint64(100); number <= 130; number++ {
			if crashCount(list, segment(number)) == len(list) {
				t.Skip("undecidable")
			}
		}
		found := partsOf(Find(list, soundRuns(sound)))
		if len(found) != 1 || found[0] != segment(cause) {
			t.Fatalf("found %v", found)
		}
	})
}
