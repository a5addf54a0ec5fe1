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
	"gypsumpitch.example/gypsumpitch/internal/traffic/backend"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

// The table and keys of the configuration in the table service.
const (
	ConfigTable = "config"
	DocumentKey = "current" // row of the whole document
	VersionKey  = "version" // row of the document's version, a VersionRow
)

const peerCallTimeout = 1_000 * clock.Millis(1)

// VersionRow is a small row that daemons read to learn whether the document has changed.
type VersionRow struct {
	Version int64 `json:"version"`
}

// NetworkExecutor executes effects over the network: on peers, backend servers and the
// services of the platform. It is safe for concurrent use.
type NetworkExecutor struct {
	common       *common.Common
	tableService tableservice.Service
	hosts        *hostlist.Client
	peers        *peer.Client
	quality      *quality.Tracker
	loadClient   *http.Client
}

// NewNetworkExecutor returns an executor whose load polls have the timeout of the
// platform settings.
func NewNetworkExecutor(c *common.Common, tableService tableservice.Service, hosts *hostlist.Client, peers *peer.Client, q *quality.Tracker) *NetworkExecutor {
	timeout := clock.Millis(c.Settings.Platform.TimeoutMs)
	loadClient := &http.Client{Timeout: timeout.Duration(), Transport: backend.NewTransport()}
	return &NetworkExecutor{common: c, tableService: tableService, hosts: hosts, peers: peers, quality: q, loadClient: loadClient}
}

// Execute executes the effect. RequestedAt of the returned event is taken before the
// request is sent, so that the result never looks newer than it is.
func (n *NetworkExecutor) Execute(ctx context.Context, effect controlstate.Effect) controlstate.Event {
	requestedAt := n.common.Clock.Now()
	switch e := effect.(type) {
	case controlstate.ReadStore:
		return n.readStore(ctx, requestedAt, e)
	case controlstate.PullPeer:
		return n.pullPeer(ctx, requestedAt, e)
	case controlstate.FetchDocument:
		return n.fetchDocument(ctx, e)
	case controlstate.AnnounceVersion:
		n.announce(ctx, e)
		return nil
	case controlstate.NotifyPeer:
		n.notifyPeer(ctx, e)
		return nil
	case controlstate.PollLoad:
		return n.pollLoad(ctx, requestedAt, e)
	case controlstate.ReadHostList:
		leaving, err := n.hosts.Leaving(ctx)
		return controlstate.HostListReadDone{RequestedAt: requestedAt, Leaving: leaving, Failed: err != nil}
	}
	return nil
}

func (n *NetworkExecutor) readStore(ctx context.Context, requestedAt clock.Millis, e controlstate.ReadStore) controlstate.Event {
	row, err := n.tableService.Get(ctx, ConfigTable, VersionKey)
	if errors.Is(err, tableservice.ErrNotFound) {
		return controlstate.StoreReadDone{RequestedAt: requestedAt}
	}
	var version VersionRow
	if err != nil || json.Unmarshal(row.Value, &version) != nil {
		return controlstate.StoreReadDone{RequestedAt: requestedAt, Failed: true}
	}
	if version.Version <= e.Version {
		return controlstate.StoreReadDone{RequestedAt: requestedAt, Version: version.Version}
	}
	row, err = n.tableService.Get(ctx, ConfigTable, DocumentKey)
	doc := &tables.Document{}
	if err != nil || json.Unmarshal(row.Value, doc) != nil {
		return controlstate.StoreReadDone{RequestedAt: requestedAt, Failed: true}
	}
	return controlstate.StoreReadDone{RequestedAt: requestedAt, Version: doc.Version, Document: doc}
}

func (n *NetworkExecutor) pullPeer(ctx context.Context, requestedAt clock.Millis, e controlstate.PullPeer) controlstate.Event {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout.Duration())
	defer cancel()
	reply, err := peer.Call[peer.Empty, peer.PullResponse](ctx, n.peers, e.Address, peer.KindPull, peer.Empty{})
	if err != nil || (e.Member != "" && reply.State.Member != e.Member) {
		return nil
	}
	n.quality.SetPeerCounts(reply.State.Member, reply.State.RatingCounts, reply.State.VersionCounts)
	return controlstate.PeerPulled{RequestedAt: requestedAt, Address: e.Address, State: reply.State}
}

func (n *NetworkExecutor) fetchDocument(ctx context.Context, e controlstate.FetchDocument) controlstate.Event {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout.Duration())
	defer cancel()
	reply, err := peer.Call[peer.Empty, peer.DocumentMessage](ctx, n.peers, e.Address, peer.KindFetchDocument, peer.Empty{})
	if err != nil {
		return nil
	}
	return controlstate.DocumentReceived{Document: reply.Document}
}

func (n *NetworkExecutor) announce(ctx context.Context, e controlstate.AnnounceVersion) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout.Duration())
	defer cancel()
	// A peer that does not receive this learns of the version with its next pull.
	announcement := peer.VersionAnnouncement{Member: n.common.Settings.Host, Version: e.Version}
	_, _ = peer.Call[peer.VersionAnnouncement, peer.Empty](ctx, n.peers, e.Address, peer.KindAnnounceVersion, announcement)
}

func (n *NetworkExecutor) notifyPeer(ctx context.Context, e controlstate.NotifyPeer) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout.Duration())
	defer cancel()
	// A peer that does not receive this learns of the server with its next pull.
	_, _ = peer.Call[controlstate.ServerUpdate, peer.Empty](ctx, n.peers, e.Address, peer.KindServerUpdate, e.Update)
}

func (n *NetworkExecutor) pollLoad(ctx context.Context, requestedAt clock.Millis, e controlstate.PollLoad) controlstate.Event {
	failed := controlstate.LoadPollDone{RequestedAt: requestedAt, Server: e.Server, Failed: true}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/v1/load", nil)
	if err != nil {
		return failed
	}
	var load placement.LoadReport
	if err := rest.DoJSON(n.loadClient, request, &load); err != nil {
		return failed
	}
	return controlstate.LoadPollDone{RequestedAt: requestedAt, Server: e.Server, Load: load}
}
