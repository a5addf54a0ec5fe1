package loop

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/core"
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
	CurrentKey  = "current" // the document
	VersionKey  = "version" // its version alone
)

const peerCallLimit = 1_000 * clock.Millis(1)

// VersionRow is the small row by which daemons see that the document changed.
type VersionRow struct {
	Version int64 `json:"version"`
}

// Adapter performs effects on the real peers, back ends and platform.
type Adapter struct {
	common  *common.Common
	table   tableservice.Table
	hosts   *hostlist.Client
	peers   *peer.Client
	quality *quality.Keeper
	loads   *http.Client
}

// NewAdapter returns an adapter.
func NewAdapter(c *common.Common, table tableservice.Table, hosts *hostlist.Client, peers *peer.Client, q *quality.Keeper) *Adapter {
	limit := clock.Millis(c.Settings.Platform.TimeoutMs)
	return &Adapter{common: c, table: table, hosts: hosts, peers: peers, quality: q, loads: &http.Client{Timeout: limit.Duration()}}
}

// Perform carries out the effect. Instants are taken before asking, so that
// what is learned never looks younger than it is.
func (a *Adapter) Perform(ctx context.Context, effect core.Effect) core.Event {
	askedAt := a.common.Clock.Now()
	switch e := effect.(type) {
	case core.ReadStore:
		return a.readStore(ctx, askedAt, e)
	case core.PullPeer:
		return a.pullPeer(ctx, askedAt, e)
	case core.FetchDocument:
		return a.fetchDocument(ctx, e)
	case core.AnnounceVersion:
		a.announce(ctx, e)
		return nil
	case core.TellNotice:
		a.tell(ctx, e)
		return nil
	case core.PollLoad:
		return a.pollLoad(ctx, askedAt, e)
	case core.ReadHostList:
		leaving, err := a.hosts.Leaving(ctx)
		return core.HostsListed{AskedAt: askedAt, Leaving: leaving, Failed: err != nil}
	}
	return nil
}

func (a *Adapter) readStore(ctx context.Context, askedAt clock.Millis, e core.ReadStore) core.Event {
	row, err := a.table.Get(ctx, ConfigTable, VersionKey)
	if errors.Is(err, tableservice.ErrNotFound) {
		return core.StoreRead{AskedAt: askedAt}
	}
	var version VersionRow
	if err != nil || json.Unmarshal(row.Value, &version) != nil {
		return core.StoreRead{AskedAt: askedAt, Failed: true}
	}
	if version.Version <= e.Version {
		return core.StoreRead{AskedAt: askedAt, Version: version.Version}
	}
	row, err = a.table.Get(ctx, ConfigTable, CurrentKey)
	doc := &tables.Document{}
	if err != nil || json.Unmarshal(row.Value, doc) != nil {
		return core.StoreRead{AskedAt: askedAt, Failed: true}
	}
	return core.StoreRead{AskedAt: askedAt, Version: doc.Version, Document: doc}
}

func (a *Adapter) pullPeer(ctx context.Context, askedAt clock.Millis, e core.PullPeer) core.Event {
	ctx, cancel := context.WithTimeout(ctx, peerCallLimit.Duration())
	defer cancel()
	reply, err := peer.Call[peer.Nothing, peer.PullReply](ctx, a.peers, e.Address, peer.KindPull, peer.Nothing{})
	if err != nil || (e.Member != "" && reply.State.Member != e.Member) {
		return nil
	}
	a.quality.SetPeer(reply.State.Member, reply.State.Counts, reply.State.Evidence)
	return core.PeerState{AskedAt: askedAt, Address: e.Address, State: reply.State}
}

func (a *Adapter) fetchDocument(ctx context.Context, e core.FetchDocument) core.Event {
	ctx, cancel := context.WithTimeout(ctx, peerCallLimit.Duration())
	defer cancel()
	reply, err := peer.Call[peer.Nothing, peer.DocumentMessage](ctx, a.peers, e.Address, peer.KindFetch, peer.Nothing{})
	if err != nil {
		return nil
	}
	return core.DocumentPushed{Document: reply.Document}
}

func (a *Adapter) announce(ctx context.Context, e core.AnnounceVersion) {
	ctx, cancel := context.WithTimeout(ctx, peerCallLimit.Duration())
	defer cancel()
	// A peer that misses this learns of the version when it next pulls.
	announcement := peer.Announcement{Member: a.common.Settings.Host, Version: e.Version}
	_, _ = peer.Call[peer.Announcement, peer.Nothing](ctx, a.peers, e.Address, peer.KindAnnounce, announcement)
}

func (a *Adapter) tell(ctx context.Context, e core.TellNotice) {
	ctx, cancel := context.WithTimeout(ctx, peerCallLimit.Duration())
	defer cancel()
	// A peer that misses this hears of it when it next pulls.
	_, _ = peer.Call[core.WireNotice, peer.Nothing](ctx, a.peers, e.Address, peer.KindNotice, e.Notice)
}

func (a *Adapter) pollLoad(ctx context.Context, askedAt clock.Millis, e core.PollLoad) core.Event {
	failed := core.LoadReported{AskedAt: askedAt, Server: e.Server, Failed: true}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/v1/load", nil)
	if err != nil {
		return failed
	}
	var load placement.LoadReport
	if err := rest.DecodeJSON(a.loads, request, &load); err != nil {
		return failed
	}
	return core.LoadReported{AskedAt: askedAt, Server: e.Server, Load: load}
}
