// Package quality hands samples of answers to the rating service, learns from
// its ratings, plans cascades and closes versions that prove bad.
package quality

import (
	"context"
	"strings"
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/control/core"
	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/platform/rating"
)

const (
	maxSubmitted = 50     // answers handed in each period
	maxAwaited   = 10_000 // answers whose rating may still come
	planLife     = 250 * clock.Millis(1)
	maxUnrated   = 100 // explored answers without a rating that stop exploring
)

// Service is what the keeper needs of the rating service.
type Service interface {
	Submit(ctx context.Context, answers []rating.Answer) error
	After(ctx context.Context, sequence int64) ([]rating.Rating, error)
}

// Keeper is safe for concurrent use.
type Keeper struct {
	common  *common.Common
	service Service
	test    rollout.TestParameters
	table   *cascade.Table
	awaited *container.LRU[string, sample]

	mu       sync.Mutex
	toSubmit []rating.Answer
	sequence int64
	scores   map[string]rollout.Score
	own      map[string]core.VersionCount
	answers  map[string]int
	peers    map[string]map[string]core.VersionCount
	plans    map[string]timedPlan
	unrated  int
	tripped  []string
}

// sample is an answer whose rating may come.
type sample struct {
	cell    cascade.Cell
	version string
}

type timedPlan struct {
	plan cascade.Plan
	at   clock.Millis
}

// NewKeeper returns a keeper that knows nothing.
func NewKeeper(c *common.Common, service Service) *Keeper {
	return &Keeper{
		common:  c,
		service: service,
		test:    rollout.DefaultTest(),
		table:   cascade.NewTable(),
		awaited: container.NewLRU[string, sample](maxAwaited),
		scores:  make(map[string]rollout.Score),
		own:     make(map[string]core.VersionCount),
		answers: make(map[string]int),
		peers:   make(map[string]map[string]core.VersionCount),
		plans:   make(map[string]timedPlan),
	}
}

// Tier is one model of a route that a request may use.
type Tier struct {
	Model   string
	Version string
	Cost    int64 // millionths a token
}

// Plan returns the plan for a request on the tiers, from cheap to costly.
func (k *Keeper) Plan(route, class string, tiers []Tier, target float64) cascade.Plan {
	names := make([]string, len(tiers))
	for i, t := range tiers {
		names[i] = tables.JoinVersion(t.Model, t.Version)
	}
	key := route + " " + class + " " + strings.Join(names, " ")
	now := k.common.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, ok := k.plans[key]; ok && now-known.at < planLife {
		return known.plan
	}
	plan := cascade.Make(k.profiles(route, class, tiers), target)
	if len(k.plans) > maxAwaited {
		clear(k.plans)
	}
	k.plans[key] = timedPlan{plan, now}
	return plan
}

// Direct returns the tier for an answer that is streamed.
func (k *Keeper) Direct(route, class string, tiers []Tier, target float64) int {
	return cascade.Direct(k.profiles(route, class, tiers), target)
}

func (k *Keeper) profiles(route, class string, tiers []Tier) []cascade.Tier {
	profiles := make([]cascade.Tier, len(tiers))
	for i, t := range tiers {
		profiles[i] = cascade.Tier{Model: t.Model, Cost: float64(t.Cost), Profile: k.table.Profile(route, class, t.Model)}
	}
	return profiles
}

// Explore tells whether a request should also run the tiers below its start,
// whose answers are rated but not given to the caller.
func (k *Keeper) Explore(requestID, route, class string, lower []Tier) bool {
	known := cascade.Known(k.profiles(route, class, lower))
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.unrated < maxUnrated && container.Hash("explore", requestID)%100 < cascade.ExplorePercent(known)
}

// Unmeasured is the confidence of a streamed answer, whose log probabilities
// aren't read.
const Unmeasured = -1

// streamSuffix keeps ratings of streamed answers apart from the tallies by
// confidence, which they would blur.
const streamSuffix = "/stream"

// Answered takes in an answer to be rated.
func (k *Keeper) Answered(a rating.Answer, model string, confidence float64) {
	cell := cascade.Cell{Route: a.Route, Class: a.Class, Model: model, Bucket: cascade.Bucket(confidence)}
	if confidence == Unmeasured {
		cell.Class += streamSuffix
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.toSubmit) >= maxSubmitted {
		return
	}
	k.toSubmit = append(k.toSubmit, a)
	k.awaited.Put(a.RequestID, sample{cell, a.Version})
	k.unrated++
}

// Failed takes in an error that an engine itself gave for the version.
func (k *Keeper) Failed(version string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.count(version, false)
}

// Exchange submits what has gathered and reads new ratings.
func (k *Keeper) Exchange(ctx context.Context) error {
	k.mu.Lock()
	batch := k.toSubmit
	k.toSubmit = nil
	sequence := k.sequence
	k.mu.Unlock()
	if len(batch) > 0 {
		if err := k.service.Submit(ctx, batch); err != nil {
			return err
		}
	}
	ratings, err := k.service.After(ctx, sequence)
	if err != nil {
		return err
	}
	for _, r := range ratings {
		k.rate(r)
	}
	return nil
}

func (k *Keeper) rate(r rating.Rating) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sequence = max(k.sequence, r.Sequence)
	s, ok := k.awaited.Get(r.RequestID)
	if !ok {
		return
	}
	k.unrated = max(k.unrated-1, 0)
	k.table.Rate(s.cell, r.Good)
	k.count(s.version, r.Good)
}

// count takes in one answer that this daemon has seen.
func (k *Keeper) count(version string, good bool) {
	c := k.own[version]
	c.Name = version
	if good {
		c.Good++
	} else {
		c.Bad++
	}
	k.own[version] = c
	if good {
		k.weigh(version, 1, 0)
	} else {
		k.weigh(version, 0, 1)
	}
}

// weigh adds answers of any daemon to the test of the version, so that every
// daemon runs the test on the answers of all.
func (k *Keeper) weigh(version string, good, bad int) {
	if good+bad == 0 {
		return
	}
	k.answers[version] += good + bad
	k.scores[version] = k.scores[version].WithAll(k.test, good, bad)
	if k.scores[version].Trips(k.test) {
		k.tripped = append(k.tripped, version)
	}
}

// TakeTripped returns the versions that the test has closed since the last call.
func (k *Keeper) TakeTripped() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	tripped := k.tripped
	k.tripped = nil
	return tripped
}

// Own returns this daemon's counts, for its peers.
func (k *Keeper) Own() ([]cascade.Count, []core.VersionCount) {
	counts := k.table.Own()
	k.mu.Lock()
	defer k.mu.Unlock()
	versions := make([]core.VersionCount, 0, len(k.own))
	for _, c := range k.own {
		versions = append(versions, c)
	}
	return counts, versions
}

// SetPeer takes in a peer's counts. Counts that went down mean that the peer
// has started anew.
func (k *Keeper) SetPeer(member string, counts []cascade.Count, versions []core.VersionCount) {
	k.table.SetPeer(member, counts)
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.peers[member]
	now := make(map[string]core.VersionCount, len(versions))
	for _, c := range versions {
		now[c.Name] = c
		old := before[c.Name]
		if c.Good < old.Good || c.Bad < old.Bad {
			old = core.VersionCount{}
		}
		k.weigh(c.Name, c.Good-old.Good, c.Bad-old.Bad)
	}
	k.peers[member] = now
}

// Evidence returns what all daemons together have seen of a version.
func (k *Keeper) Evidence(name string) rollout.Evidence {
	k.mu.Lock()
	defer k.mu.Unlock()
	return rollout.Evidence{Answers: k.answers[name], Score: k.scores[name]}
}

// Reset forgets the evidence of a version whose row an operator has changed.
func (k *Keeper) Reset(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.scores, name)
	delete(k.answers, name)
}
