package board

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// period of exchanges: three of them spread a fact to some dozens of daemons.
	period = 400 * clock.Millis(1)
	// fanout is with how many peers a daemon exchanges in each period.
	fanout = 2
	// callLimit bounds one exchange, so that a frozen peer delays none.
	callLimit = 600 * time.Millisecond
)

// Exchange keeps the boards of all daemons alike, by calls between random pairs.
type Exchange struct {
	log   hclog.Logger
	board *Board
	peers *peer.Client
	// addresses returns where the other daemons listen, by host.
	addresses func() map[string]string
	refresh   func()

	mu     sync.Mutex
	has    map[string]map[string]int64 // by host, the sequences that it said it has
	silent map[string]bool             // hosts that didn't answer the last call
}

// NewExchange returns an exchange that calls refresh before each period.
func NewExchange(log hclog.Logger, b *Board, c *peer.Client, addresses func() map[string]string, refresh func()) *Exchange {
	return &Exchange{
		log: log, board: b, peers: c, addresses: addresses, refresh: refresh,
		has: make(map[string]map[string]int64), silent: make(map[string]bool),
	}
}

// Register makes the server answer exchanges.
func (e *Exchange) Register(s *peer.Server) {
	peer.Handle(s, peer.KindExchange, func(_ context.Context, m Message) (Message, error) {
		e.board.Take(m)
		e.note(m.From, m.Has)
		return e.board.MessageTo(m.Has), nil
	})
}

// Run exchanges until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	clock.Every(ctx, period, func() {
		e.refresh()
		addresses := e.addresses()
		hosts := make([]string, 0, len(addresses))
		for host := range addresses {
			hosts = append(hosts, host)
		}
		rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		for _, host := range hosts[:min(fanout, len(hosts))] {
			go e.call(ctx, host, addresses[host])
		}
	})
}

func (e *Exchange) call(ctx context.Context, host, address string) {
	callCtx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	e.mu.Lock()
	has := e.has[host]
	e.mu.Unlock()
	answer, err := peer.Call[Message, Message](callCtx, e.peers, address, peer.KindExchange, e.board.MessageTo(has))
	if ctx.Err() != nil {
		return
	}
	e.logTurn(host, err)
	if err != nil {
		return
	}
	e.board.Take(answer)
	e.note(host, answer.Has)
}

func (e *Exchange) note(host string, has map[string]int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.has[host] = has
}

// logTurn writes a line when a peer is lost or regained.
func (e *Exchange) logTurn(host string, err error) {
	e.mu.Lock()
	was := e.silent[host]
	e.silent[host] = err != nil
	e.mu.Unlock()
	switch {
	case err != nil && !was:
		e.log.Warn("peer lost", "peer", host, "error", err.Error())
	case err == nil && was:
		e.log.Info("peer regained", "peer", host)
	}
}
