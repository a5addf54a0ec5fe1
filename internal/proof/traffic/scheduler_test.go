package traffic

import (
	"errors"
	"iter"

	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
	"gypsumpitch.example/gypsumpitch/internal/standin"

	"github.com/hashicorp/go-hclog"
)

var errKilled = errors.New("the daemon was killed")

// task is one coroutine of a daemon's run.
type task struct {
	owner *host
	run   int
	next  func() (struct{}, bool)
	stop  func()
}

// host is a daemon's place; each start makes a new run.
type host struct {
	name   string
	run    int
	frozen bool
}

// scheduler runs one coroutine at a time and goes on only where the test says.
type scheduler struct {
	clock *clock.Manual
	tasks []*task
	yield func(struct{}) bool   // of the coroutine that runs now
	fates []standin.CallOutcome // for the next calls to the table
	down  bool
	table *standin.FaultyTableService
}

func newScheduler() *scheduler {
	s := &scheduler{clock: clock.NewManual(1_000_000)}
	s.table = &standin.FaultyTableService{Memory: standin.NewMemoryTableService(), NextOutcome: s.fate, Yield: s.pause}
	return s
}

func (s *scheduler) common(name string) *common.Common {
	c := settings.Default()
	c.Host = name
	return &common.Common{Log: hclog.NewNullLogger(), Clock: s.clock, Settings: c}
}

func (s *scheduler) fate() standin.CallOutcome {
	if s.down {
		return standin.CallRejected
	}
	if len(s.fates) == 0 {
		return standin.CallSucceeds
	}
	next := s.fates[0]
	s.fates = s.fates[1:]
	return next
}

// pause gives way to the test; a killed coroutine never comes back.
func (s *scheduler) pause() {
	if s.yield == nil {
		return
	}
	mine := s.yield
	if !mine(struct{}{}) {
		panic(errKilled)
	}
	s.yield = mine
}

// spawn starts a coroutine for the host's present run.
func (s *scheduler) spawn(h *host, body func()) {
	t := &task{owner: h, run: h.run}
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		defer func() {
			if problem := recover(); problem != nil && problem != errKilled { //nolint:errorlint // This very value.
				panic(problem)
			}
		}()
		s.yield = yield
		body()
	})
	s.tasks = append(s.tasks, t)
}

// step lets one coroutine go on to its next pause; it tells whether one could.
func (s *scheduler) step(pick int) bool {
	var able []*task
	for _, t := range s.tasks {
		if !t.owner.frozen {
			able = append(able, t)
		}
	}
	if len(able) == 0 {
		return false
	}
	chosen := able[pick%len(able)]
	if _, more := chosen.next(); !more {
		s.remove(chosen)
	}
	s.yield = nil
	return true
}

func (s *scheduler) remove(done *task) {
	for i, t := range s.tasks {
		if t == done {
			s.tasks = append(s.tasks[:i], s.tasks[i+1:]...)
			return
		}
	}
}

// kill ends all coroutines of the host's run and starts another run.
func (s *scheduler) kill(h *host) {
	var rest []*task
	for _, t := range s.tasks {
		if t.owner == h {
			t.stop()
			continue
		}
		rest = append(rest, t)
	}
	s.tasks = rest
	s.yield = nil
	h.run++
	h.frozen = false
}

// finish runs everything to its end.
func (s *scheduler) finish(hosts []*host) {
	s.down, s.fates = false, nil
	for _, h := range hosts {
		h.frozen = false
	}
	for s.step(0) {
	}
}

// drawFate sets the fate of one of the next calls.
func (s *scheduler) drawFate(t *rapid.T) {
	fate := rapid.SampledFrom([]standin.CallOutcome{standin.CallSucceeds, standin.CallRejected, standin.ResponseLost, standin.ResponseLostAppliedLate}).Draw(t, "fate")
	s.fates = append(s.fates, fate)
}

var _ tableservice.Service = (*standin.FaultyTableService)(nil)
