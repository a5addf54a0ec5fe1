package rollout

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// PaceClass identifies streams whose paces are comparable.
type PaceClass struct {
	Model string `json:"m"`
	// LoadBand is the binary order of magnitude of the server's requests: a server
	// generates more slowly the more requests it runs.
	LoadBand int `json:"l"`
}

// PaceCount counts the streams of a class with about the same pace, which is the typical
// pause between two of their events.
type PaceCount struct {
	PaceClass
	Bucket  int    `json:"p"` // of the pace, on a logarithmic scale
	Streams int    `json:"n"`
	Servers uint64 `json:"s"` // bit set of the hashed server IDs
}

// Paces are the counts of a version's streams, in order of class and bucket. Immutable.
type Paces []PaceCount

const (
	// paceBucketsPerDoubling is the resolution of the paces.
	paceBucketsPerDoubling = 5
	// lowestLoadBand merges the loads at which the pace hardly depends on the load.
	lowestLoadBand = 2
)

// NewPaceClass returns the class of a stream of the model on a server with that many
// requests.
func NewPaceClass(model string, requests int) PaceClass {
	return PaceClass{Model: model, LoadBand: max(bits.Len(uint(max(requests, 0))), lowestLoadBand)}
}

func paceBucket(pace clock.Millis) int {
	return int(math.Round(paceBucketsPerDoubling * math.Log2(float64(max(pace, 1)))))
}

func (c PaceCount) compareKind(o PaceCount) int {
	return cmp.Or(cmp.Compare(c.Model, o.Model), cmp.Compare(c.LoadBand, o.LoadBand), cmp.Compare(c.Bucket, o.Bucket))
}

func (c PaceCount) plus(o PaceCount) PaceCount {
	c.Streams += o.Streams
	c.Servers |= o.Servers
	return c
}

// minus keeps the server set whole, since a bit set can't be subtracted.
func (c PaceCount) minus(earlier PaceCount) PaceCount {
	c.Streams -= earlier.Streams
	return c
}

func (c PaceCount) isEmpty() bool { return c.Streams <= 0 }

// Plus returns the sum of two counts.
func (p Paces) Plus(o Paces) Paces { return addCounts(p, o) }

// Minus returns the streams counted since an earlier snapshot of the same counts.
func (p Paces) Minus(o Paces) Paces { return subtractCounts(p, o) }

// onePace returns the count of a single stream.
func onePace(server string, class PaceClass, pace clock.Millis) Paces {
	return Paces{{PaceClass: class, Bucket: paceBucket(pace), Streams: 1, Servers: serverBit(server)}}
}

func serverBit(server string) uint64 { return 1 << (container.Hash(server) % 64) }

// paceLimit is the pace beyond which a stream of a class lags.
type paceLimit struct {
	bucket  int
	lagging float64 // rate of lagging streams in the baseline
}

const (
	// minPaceStreams is how many streams of the baseline a limit needs.
	minPaceStreams = 20
	// paceQuantile is the quantile of the baseline's paces from which a lag counts.
	paceQuantile = 0.8
	// paceMargin is the lag in buckets: about a third slower.
	paceMargin = 2
	// minLagRate is the lowest rate of lagging streams assumed for any version, and
	// maxLagRate the highest that leaves room for a slower version.
	minLagRate = 0.05
	maxLagRate = 0.3
	// slowLagRate is the rate of lagging streams assumed for a slow version, and
	// slowLagFactor the least multiple of the baseline's.
	slowLagRate   = 0.4
	slowLagFactor = 3.0
)

// limit returns the limit for streams of the class by the baseline's streams. If those of
// the same load are too few, those of higher loads are added, which are slower and make
// the limit higher.
func (p Paces) limit(class PaceClass) (paceLimit, bool) {
	var streams Paces
	total := 0
	for _, c := range p {
		if c.Model != class.Model || c.LoadBand < class.LoadBand || (total >= minPaceStreams && c.LoadBand != streams[len(streams)-1].LoadBand) {
			continue
		}
		streams = append(streams, c)
		total += c.Streams
	}
	if total < minPaceStreams {
		return paceLimit{}, false
	}
	slices.SortFunc(streams, func(a, b PaceCount) int { return cmp.Compare(a.Bucket, b.Bucket) })
	below, at := 0, 0
	for at = range streams {
		if below += streams[at].Streams; float64(below) >= paceQuantile*float64(total) {
			break
		}
	}
	l := paceLimit{bucket: streams[at].Bucket + paceMargin}
	lagging := 1
	for _, c := range streams[at:] {
		if c.Bucket >= l.bucket {
			lagging += c.Streams
		}
	}
	l.lagging = math.Max(float64(lagging)/float64(total+1), minLagRate)
	return l, l.lagging <= maxLagRate
}

// lagCounts are the streams of a canary that can be compared with the baseline's of the same
// class.
type lagCounts struct {
	keeping    float64 // log likelihood ratio of the streams that keep up
	lagged     float64 // the same of those that lag
	lagging    int     // number of streams that lag
	compared   int
	lagServers uint64
	servers    uint64
}

func countLags(canary, baseline Paces) lagCounts {
	var n lagCounts
	for _, c := range canary {
		n.servers |= c.Servers
		l, ok := baseline.limit(c.PaceClass)
		if !ok {
			continue
		}
		n.compared += c.Streams
		slow := math.Max(slowLagRate, slowLagFactor*l.lagging)
		if c.Bucket >= l.bucket {
			n.lagged += float64(c.Streams) * math.Log(slow/l.lagging)
			n.lagging += c.Streams
			n.lagServers |= c.Servers
		} else {
			n.keeping += float64(c.Streams) * math.Log((1-slow)/(1-l.lagging))
		}
	}
	return n
}

// ratio returns the log likelihood ratio of the canary being slow, in which lagging streams
// of few servers count less.
func (n lagCounts) ratio() float64 {
	if n.lagging == 0 {
		return n.keeping
	}
	return n.keeping + n.lagged*spreadAnswers(n.lagging, n.lagServers, n.servers)/float64(n.lagging)
}

// lagRatio returns the log likelihood ratio of the canary being slow, by the streams that
// lag behind the baseline's of the same class. It is zero if the lag is confined to a few
// servers.
func lagRatio(canary, baseline Paces) float64 {
	n := countLags(canary, baseline)
	if !isSpread(n.lagging, n.lagServers, n.servers) {
		return 0
	}
	return n.ratio()
}

// boundedLagRatio is lagRatio for the risk of a canary, which lagging streams of few servers
// raise too. ok is false if the canary's streams can't be compared with the baseline's.
func boundedLagRatio(canary, baseline Paces) (ratio float64, ok bool) {
	n := countLags(canary, baseline)
	if len(canary) == 0 && len(baseline) > 0 {
		_, ok = baseline.limit(PaceClass{Model: baseline[0].Model, LoadBand: lowestLoadBand})
		return 0, ok
	}
	return n.ratio(), n.compared > 0
}
