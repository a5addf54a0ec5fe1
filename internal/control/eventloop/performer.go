package eventloop

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/platform/hostlist"
	"gypsumpitch.example/gypsumpitch/internal/platform/rest"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

// The rows of the configuration in the table service.
const (
	ConfigTable = "config"
	DocumentKey = "current" // the document
	VersionKey  = "version" // its version alone
)

const peerCallLimit = 1_000 * clock.Millis(1)

// VersionRow is the small row by which daemons see that the document changed.
type VersionRow struct {
	Version int64 `json:"version"`
}

// NetworkExecutor performs effects on the real peers, back ends and platform.
type NetworkExecutor struct {
	common  *common.Common
	table   tableservice.Table
	hosts   *hostlist.Client
	peers   *peer.Client
	quality *quality.Tracker
	loads   *http.Client
}

// NewNetworkExecutor returns an adapter.
func NewNetworkExecutor(c *common.Common, table tableservice.Table, hosts *hostlist.Client, peers *peer.Client, q *quality.Tracker) *NetworkExecutor {
	limit := clock.Millis(c.Settings.Platform.TimeoutMs)
	return &NetworkExecutor{common: c, table: table, hosts: hosts, peers: peers, quality: q, loads: &http.Client{Timeout: limit.Duration()}}
}

// Execute carries out the effect. Instants are taken before asking, so that
// what is learned never looks younger than it is.
func (a *NetworkExecutor) Execute(ctx context.Context, effect controlstate.Effect) controlstate.Event {
	askedAt := a.common.Clock.Now()
	switch e := effect.(type) {
	case controlstate.ReadStore:
		return a.readStore(ctx, askedAt, e)
	case controlstate.PullPeer:
		return a.pullPeer(ctx, askedAt, e)
	case controlstate.FetchDocument:
		return a.fetchDocument(ctx, e)
	case controlstate.AnnounceVersion:
		a.announce(ctx, e)
		return nil
	case controlstate.NotifyPeer:
		a.tell(ctx, e)
		return nil
	case controlstate.PollLoad:
		return a.pollLoad(ctx, askedAt, e)
	case controlstate.ReadHostList:
		leaving, err := a.hosts.Leaving(ctx)
		return controlstate.HostListReadDone{RequestedAt: askedAt, Leaving: leaving, Failed: err != nil}
	}
	return nil
}

func (a *NetworkExecutor) readStore(ctx context.Context, askedAt clock.Millis, e controlstate.ReadStore) controlstate.Event {
	row, err := a.table.Get(ctx, ConfigTable, VersionKey)
	if errors.Is(err, tableservice.ErrNotFound) {
		return controlstate.StoreReadDone{RequestedAt: askedAt}
	}
	var version VersionRow
	if err != nil || json.Unmarshal(row.Value, &version) != nil {
		return controlstate.StoreReadDone{RequestedAt: askedAt, Failed: true}
	}
	if version.Version <= e.Version {
		return controlstate.StoreReadDone{RequestedAt: askedAt, Version: version.Version}
	}
	row, err = a.table.Get(ctx, ConfigTable, DocumentKey)
	doc := &tables.Document{}
	if err != nil || json.Unmarshal(row.Value, doc) != nil {
		return controlstate.StoreReadDone{RequestedAt: askedAt, Failed: true}
	}
	return controlstate.StoreReadDone{RequestedAt: askedAt, Version: doc.Version, Document: doc}
}

func (a *NetworkExecutor) pullPeer(ctx context.Context, askedAt clock.Millis, e controlstate.PullPeer) controlstate.Event {
	ctx, cancel := context.WithTimeout(ctx, peerCallLimit.Duration())
	defer cancel()
	reply, err := peer.Call[peer.Nothing, peer.PullReply](ctx, a.peers, e.Address, peer.KindPull, peer.Nothing{})
	if err != nil || (e.Member != "" && reply.State.Member != e.Member) {
		return nil
	}
	a.quality.SetPeerCounts(reply.State.Member, reply.State.Counts, reply.State.Evidence)
	return controlstate.PeerPulled{RequestedAt: askedAt, Address: e.Address, State: reply.State}
}

func (a *NetworkExecutor) fetchDocument(ctx context.Context, e controlstate.FetchDocument) controlstate.Event {
	ctx, cancel := context.WithTimeout(ctx, peerCallLimit.Duration())
	defer cancel()
	reply, err := peer.Call[peer.Nothing, peer.DocumentMessage](ctx, a.peers, e.Address, peer.KindFetch, peer.Nothing{})
	if err != nil {
		return nil
	}
	return controlstate.DocumentReceived{Document: reply.Document}
}

func (a *NetworkExecutor) announce(ctx context.Context, e controlstate.AnnounceVersion) {
	ctx, cancel := context.WithTimeout(ctx, peerCallLimit.Duration())
	defer cancel()
	// A peer that misses this learns of the version when it next pulls.
	announcement := peer.Announcement{Member: a.common.Settings.Host, Version: e.Version}
	_, _ = peer.Call[peer.Announcement, peer.Nothing](ctx, a.peers, e.Address, peer.KindAnnounce, announcement)
}

func (a *NetworkExecutor) tell(ctx context.Context, e controlstate.NotifyPeer) {
	ctx, cancel := context.WithTimeout(ctx, peerCallLimit.Duration())
	defer cancel()
	// A peer that misses this hears of it when it next pulls.
	_, _ = peer.Call[controlstate.ServerUpdate, peer.Nothing](ctx, a.peers, e.Address, peer.KindNotice, e.Update)
}

func (a *NetworkExecutor) pollLoad(ctx context.Context, askedAt clock.Millis, e controlstate.PollLoad) controlstate.Event {
	failed := controlstate.LoadPollDone{RequestedAt: askedAt, Server: e.Server, Failed: true}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/v1/load", nil)
	if err != nil {
		return failed
	}
	var load placement.LoadReport
	if err := rest.DecodeJSON(a.loads, request, &load); err != nil {
		return failed
	}
	return controlstate.LoadPollDone{RequestedAt: askedAt, Server: e.Server, Load: load}
}
