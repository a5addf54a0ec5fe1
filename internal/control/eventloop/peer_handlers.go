package eventloop

import (
	"context"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/traffic/bills"
	"gypsumpitch.example/gypsumpitch/internal/traffic/pins"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

// PeerHandlers implements the calls that other daemons make to this one.
type PeerHandlers struct {
	Loop     *Loop
	Counters *placement.InFlightCounters
	Bills    *bills.Recorder
	Pins     *pins.Resolver
	Quality  *quality.Tracker
}

// Register registers the handlers with the server.
func (h *PeerHandlers) Register(s *peer.Server) {
	peer.Handle(s, peer.KindPull, h.pull)
	peer.Handle(s, peer.KindAnnounceVersion, h.announce)
	peer.Handle(s, peer.KindFetchDocument, h.fetch)
	peer.Handle(s, peer.KindServerUpdate, h.serverUpdate)
	peer.Handle(s, peer.KindHoldBills, h.holdBills)
	peer.Handle(s, peer.KindReleaseBills, h.releaseBills)
	peer.Handle(s, peer.KindGetPins, h.getPins)
	peer.Handle(s, peer.KindPutPins, h.putPins)
}

func (h *PeerHandlers) pull(ctx context.Context, _ peer.Empty) (peer.PullResponse, error) {
	var state controlstate.PeerState
	inFlight := h.Counters.All()
	err := h.Loop.Do(ctx, func(m *controlstate.Machine) { state = m.PeerState(h.Loop.common.Clock.Now(), inFlight) })
	state.RatingCounts, state.VersionCounts = h.Quality.OwnCounts()
	return peer.PullResponse{State: state}, err
}

func (h *PeerHandlers) announce(ctx context.Context, m peer.VersionAnnouncement) (peer.Empty, error) {
	h.Loop.Send(ctx, controlstate.VersionAnnounced{Member: m.Member, Version: m.Version})
	return peer.Empty{}, nil
}

func (h *PeerHandlers) serverUpdate(ctx context.Context, u controlstate.ServerUpdate) (peer.Empty, error) {
	h.Loop.Send(ctx, controlstate.ServerUpdateReceived{Update: u})
	return peer.Empty{}, nil
}

func (h *PeerHandlers) fetch(ctx context.Context, _ peer.Empty) (peer.DocumentMessage, error) {
	var doc *tables.Document
	err := h.Loop.Do(ctx, func(m *controlstate.Machine) { doc = m.Document() })
	return peer.DocumentMessage{Document: doc}, err
}

func (h *PeerHandlers) holdBills(_ context.Context, m peer.HoldBillsRequest) (peer.HoldBillsResponse, error) {
	return peer.HoldBillsResponse{Held: h.Bills.Hold(m.Records)}, nil
}

func (h *PeerHandlers) releaseBills(_ context.Context, m peer.ReleaseBillsRequest) (peer.Empty, error) {
	h.Bills.Release(m.IDs)
	return peer.Empty{}, nil
}

func (h *PeerHandlers) getPins(_ context.Context, m peer.PinsMessage) (peer.PinsMessage, error) {
	return peer.PinsMessage{Session: m.Session, Pins: h.Pins.Cached(m.Session)}, nil
}

func (h *PeerHandlers) putPins(_ context.Context, m peer.PinsMessage) (peer.Empty, error) {
	h.Pins.StoreReplica(m.Session, m.Pins)
	return peer.Empty{}, nil
}
