// Package peerlimits lends tokens of rate-limited servers between daemons. Each daemon has
// a share of a server's limit, which it may not need while another daemon has too little.
package peerlimits

import (
	"context"
	"math"
	"sync"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

const (
	// borrowTimeout bounds one call to another daemon, for which a caller waits.
	borrowTimeout = 60 * time.Millisecond
	// minBorrowWait is the least time after which a daemon that had no token is asked again.
	minBorrowWait = 50 * clock.Millis(1)
	// unreachableWait is the same for a daemon that didn't respond.
	unreachableWait = 2_000 * clock.Millis(1)
	// maxOwnersAsked bounds the calls for one token.
	maxOwnersAsked = 2
	// maxAsksPerSecond bounds the calls of this daemon to others.
	maxAsksPerSecond = 20
	// maxWaits bounds the memory of daemons that had no token.
	maxWaits = 8_192
)

// BorrowRequest asks a daemon for a token of its share of the server's limit.
type BorrowRequest struct {
	ID        string `json:"i"`
	StartedAt int64  `json:"s"` // see fleet.Server
}

// BorrowResponse is the response to a BorrowRequest.
type BorrowResponse struct {
	Lent bool         `json:"l"`
	Wait clock.Millis `json:"w"` // until there may be a token, if none was lent
}

// Config holds the dependencies of a Broker.
type Config struct {
	Clock    clock.Clock
	Host     string // that this daemon runs on
	Balancer *loadbalance.Balancer
	Peers    *peer.Client
	Hosts    func() map[string]fleet.Host
}

// Broker borrows tokens from other daemons and lends them. It is safe for concurrent use.
type Broker struct {
	Config
	waits *container.LRU[waitKey, clock.Millis] // until a daemon isn't asked for a server's tokens

	mu       sync.Mutex
	second   clock.Millis // the current second; guarded by mu
	asksMade int          // in the current second; guarded by mu
}

// waitKey is a server and the host of a daemon that shares its limit.
type waitKey struct{ server, host string }

// New returns a broker that lends nothing until Register.
func New(c Config) *Broker {
	return &Broker{Config: c, waits: container.NewLRU[waitKey, clock.Millis](maxWaits)}
}

// Register adds the handler of other daemons' requests to the server.
func (b *Broker) Register(s *peer.Server) {
	peer.Handle(s, peer.KindBorrowToken, func(_ context.Context, r BorrowRequest) (BorrowResponse, error) {
		lent, wait := b.Balancer.LendToken(r.ID, r.StartedAt, b.Clock.Now())
		return BorrowResponse{Lent: lent, Wait: wait}, nil
	})
}

// Borrow asks the daemons that share the server's limit for a token and passes it to the
// balancer. A token whose response is lost stays unused.
func (b *Broker) Borrow(ctx context.Context, e *fleet.Entry) bool {
	now := b.Clock.Now()
	if b.waitFor(e.ID, "") > now {
		return false
	}
	hosts := b.Hosts()
	next, asked := clock.Millis(math.MaxInt64), 0
	for _, owner := range b.Balancer.LimitOwners(e) {
		if owner == b.Host || hosts[owner].Address == "" {
			continue
		}
		if until := b.waitFor(e.ID, owner); until > now {
			next = min(next, until)
			continue
		}
		if asked++; asked > maxOwnersAsked || !b.mayAsk(now) {
			return false
		}
		if b.borrowFrom(ctx, e, owner, hosts[owner].Address) {
			return true
		}
	}
	if asked == 0 {
		b.waits.Put(waitKey{e.ID, ""}, min(next, now+unreachableWait))
	}
	return false
}

// waitFor returns until when the host isn't asked for the server's tokens; that of no host
// applies to all.
func (b *Broker) waitFor(server, host string) clock.Millis {
	until, _ := b.waits.Get(waitKey{server, host})
	return until
}

// borrowFrom asks one daemon for a token.
func (b *Broker) borrowFrom(ctx context.Context, e *fleet.Entry, host, address string) bool {
	key := waitKey{e.ID, host}
	// Other requests don't ask meanwhile.
	b.waits.Put(key, b.Clock.Now()+clock.Millis(borrowTimeout.Milliseconds()))
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	r := BorrowRequest{ID: e.ID, StartedAt: e.StartedAt}
	response, err := peer.Call[BorrowRequest, BorrowResponse](ctx, b.Peers, address, peer.KindBorrowToken, r)
	now := b.Clock.Now()
	switch {
	case err != nil:
		b.waits.Put(key, now+unreachableWait)
	case response.Lent:
		b.waits.Put(key, now)
		b.Balancer.ReceiveToken(e.ID, now)
		return true
	default:
		b.waits.Put(key, now+max(response.Wait, minBorrowWait))
	}
	return false
}

// mayAsk reports whether another call may be made in this second, and counts it.
func (b *Broker) mayAsk(now clock.Millis) bool {
	const second = 1_000
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := now / second; current != b.second {
		b.second, b.asksMade = current, 0
	}
	b.asksMade++
	return b.asksMade <= maxAsksPerSecond
}
