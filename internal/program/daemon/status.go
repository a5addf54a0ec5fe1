package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/control/operator"
	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/foundation/accept"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/traffic/callerconn"
)

const (
	kindStatus        peer.Kind = "status"
	peerStatusTimeout           = 2 * time.Second
)

// status returns the status of this daemon.
func (d *Daemon) status() operator.Status {
	now := d.Common.Clock.Now()
	snapshot := d.Loop.Snapshot()
	s := operator.NewStatus(snapshot, clock.Millis(d.Common.Settings.Control.ConfirmWindowMs), now)
	s.Incarnation = uint64(d.Incarnation)
	s.Ready = d.Callers.Ready()
	s.OpenRequests = d.Callers.InFlight()
	s.Waiting = d.Dispatcher.Waiting()
	s.BillsOwn, s.BillsHeld = d.Bills.Counts()
	s.ClaimsUnwritten = d.Backlog.Len()
	s.LeasesHeld = d.Reconciler.HeldLeases()
	s.Servers = d.serverStatuses(snapshot, now)
	return s
}

// serverStatuses returns the backend servers of all pools as this daemon sees them, sorted
// by name.
func (d *Daemon) serverStatuses(snapshot *controlstate.Snapshot, now clock.Millis) []operator.ServerStatus {
	var list []operator.ServerStatus
	for pool, p := range snapshot.Document.Pools {
		for name := range p.Servers {
			key := placement.ServerKey{Pool: pool, Server: name}
			list = append(list, operator.NewServerStatus(snapshot, key, d.Counters.Get(key), now))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Server < list[j].Server })
	return list
}

// peerStatus answers a peer's status call.
func (d *Daemon) peerStatus(context.Context, peer.Empty) (operator.Status, error) {
	return d.status(), nil
}

// allStatuses returns the status of every daemon, sorted by host. It queries the peers
// concurrently; one that does not answer in time is listed as unreachable.
func (d *Daemon) allStatuses(r *http.Request) []operator.Status {
	ctx, cancel := context.WithTimeout(r.Context(), peerStatusTimeout)
	defer cancel()
	snapshot := d.Loop.Snapshot()
	list := []operator.Status{d.status()}
	var mu sync.Mutex
	var queries sync.WaitGroup
	for name, host := range snapshot.Document.Hosts {
		if name == snapshot.Self {
			continue
		}
		queries.Add(1)
		go func() {
			defer queries.Done()
			s, err := peer.Call[peer.Empty, operator.Status](ctx, d.Peers, host.PeerAddress, kindStatus, peer.Empty{})
			if err != nil {
				s = operator.Status{Host: name, DataCentre: host.DataCentre, ConfirmedAgeMs: -1, Unreachable: err.Error()}
			}
			mu.Lock()
			defer mu.Unlock()
			list = append(list, s)
		}()
	}
	queries.Wait()
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

// newOperatorServer returns a server of the operators' connections.
func (d *Daemon) newOperatorServer(listener net.Listener) *callerconn.Server {
	server := operator.NewServer(d.Common, d.Editor, d.TableService, d.ObjectStore, operator.Sources{
		Status:      d.status,
		AllStatuses: d.allStatuses,
		Ready:       d.Callers.Ready,
		Metrics:     func(w io.Writer) { d.Metrics.Write(w) },
	})
	limits := d.Common.Settings.Limits
	conns := callerconn.NewServer(accept.Retrying(d.Common.Log, listener), server.Handler())
	conns.SetTLS(d.TLS.Server)
	conns.SetLimits(catalog.Limits{HeaderTimeout: clock.Millis(limits.HeaderReadMs), HeaderBytes: int(limits.MaxHeaderBytes)})
	conns.SetGroup(d.Conns.Operators)
	return conns
}

// registerGauges registers the gauges that show the daemon's backlog and the age of its
// configuration during an outage.
func (d *Daemon) registerGauges() {
	set := d.Metrics.Set()
	set.GetOrCreateGauge("gypsumpitch_open_requests", func() float64 { return float64(d.Callers.InFlight()) })
	set.GetOrCreateGauge("gypsumpitch_config_version", func() float64 { return float64(d.Loop.Snapshot().Document.Version) })
	set.GetOrCreateGauge("gypsumpitch_confirmed_age_ms", func() float64 { return float64(d.status().ConfirmedAgeMs) })
	set.GetOrCreateGauge("gypsumpitch_bills_unwritten", func() float64 {
		own, held := d.Bills.Counts()
		return float64(own + held)
	})
	set.GetOrCreateGauge("gypsumpitch_claims_unwritten", func() float64 { return float64(d.Backlog.Len()) })
	set.GetOrCreateGauge("gypsumpitch_peer_bytes", func() float64 { return float64(d.Peers.BytesTransferred()) })
}
