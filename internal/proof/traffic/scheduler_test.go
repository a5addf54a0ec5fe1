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

// task is a coroutine of one incarnation of a daemon.
type task struct {
	host        *host
	incarnation int
	resume      func() (struct{}, bool)
	stop        func()
}

// host is a host with one daemon. The incarnation changes when the daemon is killed.
type host struct {
	name        string
	incarnation int
	frozen      bool // its tasks are not resumed
}

// scheduler runs one task at a time and resumes a task only when the test calls step.
type scheduler struct {
	clock        *clock.Manual
	tasks        []*task
	yield        func(struct{}) bool   // of the running task
	callOutcomes []standin.CallOutcome // of the next calls to the table service
	tableDown    bool                  // rejects all calls to the table service
	table        *standin.FaultyTableService
}

func newScheduler() *scheduler {
	s := &scheduler{clock: clock.NewManual(1_000_000)}
	s.table = &standin.FaultyTableService{Memory: standin.NewMemoryTableService(), NextOutcome: s.nextCallOutcome, Yield: s.suspend}
	return s
}

func (s *scheduler) newCommon(hostName string) *common.Common {
	c := settings.Default()
	c.Host = hostName
	return &common.Common{Log: hclog.NewNullLogger(), Clock: s.clock, Settings: c}
}

func (s *scheduler) nextCallOutcome() standin.CallOutcome {
	if s.tableDown {
		return standin.CallRejected
	}
	if len(s.callOutcomes) == 0 {
		return standin.CallSucceeds
	}
	next := s.callOutcomes[0]
	s.callOutcomes = s.callOutcomes[1:]
	return next
}

// suspend returns control to the test until the running task is resumed. It panics with
// errKilled if the task is killed instead.
func (s *scheduler) suspend() {
	if s.yield == nil {
		return
	}
	yield := s.yield
	if !yield(struct{}{}) {
		panic(errKilled)
	}
	s.yield = yield
}

// spawn creates a task of the host's current incarnation. It first runs at a later step.
func (s *scheduler) spawn(h *host, body func()) {
	t := &task{host: h, incarnation: h.incarnation}
	t.resume, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		defer func() {
			if recovered := recover(); recovered != nil && recovered != errKilled { //nolint:errorlint // The identical value.
				panic(recovered)
			}
		}()
		s.yield = yield
		body()
	})
	s.tasks = append(s.tasks, t)
}

// step runs one task until it is suspended or ends. It returns false if there is no task to
// run.
func (s *scheduler) step(pick int) bool {
	var runnable []*task
	for _, t := range s.tasks {
		if !t.host.frozen {
			runnable = append(runnable, t)
		}
	}
	if len(runnable) == 0 {
		return false
	}
	chosen := runnable[pick%len(runnable)]
	if _, more := chosen.resume(); !more {
		s.remove(chosen)
	}
	s.yield = nil
	return true
}

func (s *scheduler) remove(ended *task) {
	for i, t := range s.tasks {
		if t == ended {
			s.tasks = append(s.tasks[:i], s.tasks[i+1:]...)
			return
		}
	}
}

// kill ends all tasks of the host and begins its next incarnation.
func (s *scheduler) kill(h *host) {
	var remaining []*task
	for _, t := range s.tasks {
		if t.host == h {
			t.stop()
			continue
		}
		remaining = append(remaining, t)
	}
	s.tasks = remaining
	s.yield = nil
	h.incarnation++
	h.frozen = false
}

// runToCompletion removes the faults of the table service and of the hosts and runs all
// tasks until they end.
func (s *scheduler) runToCompletion(hosts []*host) {
	s.tableDown, s.callOutcomes = false, nil
	for _, h := range hosts {
		h.frozen = false
	}
	for s.step(0) {
	}
}

// drawCallOutcome draws the outcome of one of the next calls to the table service.
func (s *scheduler) drawCallOutcome(t *rapid.T) {
	outcome := rapid.SampledFrom([]standin.CallOutcome{standin.CallSucceeds, standin.CallRejected, standin.ResponseLost, standin.ResponseLostAppliedLate}).Draw(t, "call outcome")
	s.callOutcomes = append(s.callOutcomes, outcome)
}

var _ tableservice.Service = (*standin.FaultyTableService)(nil)
