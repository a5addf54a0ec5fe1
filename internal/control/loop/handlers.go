package loop

import (
	"context"

	"gypsumpitch.example/gypsumpitch/internal/control/core"
	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/traffic/bills"
	"gypsumpitch.example/gypsumpitch/internal/traffic/pins"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

// Handlers answers the calls of other daemons.
type Handlers struct {
	Loop     *Loop
	Counters *placement.InFlightCounters
	Bills    *bills.Keeper
	Pins     *pins.Keeper
	Quality  *quality.Keeper
}

// Register adds the handlers to the server.
func (h *Handlers) Register(s *peer.Server) {
	peer.Handle(s, peer.KindPull, h.pull)
	peer.Handle(s, peer.KindAnnounce, h.announce)
	peer.Handle(s, peer.KindFetch, h.fetch)
	peer.Handle(s, peer.KindNotice, h.notice)
	peer.Handle(s, peer.KindHoldBills, h.holdBills)
	peer.Handle(s, peer.KindReleaseBills, h.releaseBills)
	peer.Handle(s, peer.KindGetPins, h.getPins)
	peer.Handle(s, peer.KindPutPins, h.putPins)
}

func (h *Handlers) pull(ctx context.Context, _ peer.Nothing) (peer.PullReply, error) {
	var state core.State
	sends := h.Counters.All()
	err := h.Loop.Ask(ctx, func(c *core.Core) { state = c.State(h.Loop.common.Clock.Now(), sends) })
	state.Counts, state.Evidence = h.Quality.Own()
	return peer.PullReply{State: state}, err
}

func (h *Handlers) announce(ctx context.Context, m peer.Announcement) (peer.Nothing, error) {
	h.Loop.Deliver(ctx, core.VersionAnnounced{Member: m.Member, Version: m.Version})
	return peer.Nothing{}, nil
}

func (h *Handlers) notice(ctx context.Context, n core.WireNotice) (peer.Nothing, error) {
	h.Loop.Deliver(ctx, core.NoticeHeard{Notice: n})
	return peer.Nothing{}, nil
}

func (h *Handlers) fetch(ctx context.Context, _ peer.Nothing) (peer.DocumentMessage, error) {
	var doc *tables.Document
	err := h.Loop.Ask(ctx, func(c *core.Core) { doc = c.Document() })
	return peer.DocumentMessage{Document: doc}, err
}

func (h *Handlers) holdBills(_ context.Context, m peer.HoldBills) (peer.Held, error) {
	return peer.Held{Held: h.Bills.Hold(m.Records)}, nil
}

func (h *Handlers) releaseBills(_ context.Context, m peer.ReleaseBills) (peer.Nothing, error) {
	h.Bills.Release(m.IDs)
	return peer.Nothing{}, nil
}

func (h *Handlers) getPins(_ context.Context, m peer.PinsMessage) (peer.PinsMessage, error) {
	return peer.PinsMessage{Session: m.Session, Pins: h.Pins.Cached(m.Session)}, nil
}

func (h *Handlers) putPins(_ context.Context, m peer.PinsMessage) (peer.Nothing, error) {
	h.Pins.Copy(m.Session, m.Pins)
	return peer.Nothing{}, nil
}
