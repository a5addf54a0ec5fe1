package reconciler

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/traffic/backend"
)

// ordersPerSync limits the orders of a round, so that the model loads stay within the
// capacity of the store of model weights.
const ordersPerSync = 2

// orderCheck returns the fencing number of the lease and whether an order that may take up
// to timeout may be sent now.
type orderCheck func(timeout clock.Millis, checksFencing bool) (int64, bool)

// ModelLoader orders engines to load and unload model versions, so that each holds those
// that the pools table assigns to it.
type ModelLoader struct {
	common *common.Common
	client *http.Client
}

// NewModelLoader returns a loader whose orders time out after the order limit of the
// settings.
func NewModelLoader(c *common.Common) *ModelLoader {
	timeout := clock.Millis(c.Settings.Control.OrderLimitMs).Duration()
	return &ModelLoader{common: c, client: &http.Client{Timeout: timeout, Transport: backend.NewSingleUseTransport()}}
}

// Sync compares the load reports of the engines with the pools table and sends at most
// ordersPerSync orders, one per engine. An order is sent only if check allows it, which
// ensures that it ends while the lease is held.
func (m *ModelLoader) Sync(ctx context.Context, s *controlstate.Snapshot, check orderCheck) {
	sent := 0
	for pool, p := range s.Document.Pools {
		if p.Kind != tables.KindModel {
			continue
		}
		for name, server := range p.Servers {
			state := s.Servers[placement.ServerKey{Pool: pool, Server: name}]
			if !state.Reported || state.Load.Holds == nil || state.Leaving {
				continue
			}
			verb, modelVersion, ok := nextOrder(server.Holds, state.Load.Holds)
			if !ok {
				continue
			}
			if sent == ordersPerSync {
				return
			}
			if m.send(ctx, server, verb, modelVersion, check) {
				sent++
			}
		}
	}
}

// nextOrder returns an order that brings the engine closer to holding the wanted model
// versions; ok is false if none is needed. Loads come before unloads.
func nextOrder(want, have []string) (verb, name string, ok bool) {
	for _, name := range want {
		if !slices.Contains(have, name) {
			return "load", name, true
		}
	}
	for _, name := range have {
		if !slices.Contains(want, name) {
			return "unload", name, true
		}
	}
	return "", "", false
}

// send reports whether an order was sent, even if it failed.
func (m *ModelLoader) send(ctx context.Context, server tables.BackendServer, verb, name string, check orderCheck) bool {
	timeout := clock.Millis(m.common.Settings.Control.OrderLimitMs)
	fencing, ok := check(timeout, server.ChecksFencing)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/orders/%s/%s", server.Address, verb, name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return false
	}
	request.Header.Set(backend.HeaderFencing, strconv.FormatInt(fencing, 10))
	response, err := m.client.Do(request)
	if err != nil {
		m.common.Log.Warn("order failed", "server", server.Address, "order", verb, "name", name, "error", err)
		return true
	}
	_ = response.Body.Close()
	m.common.Log.Info("order", "server", server.Address, "order", verb, "name", name, "fencing", fencing, "status", response.StatusCode)
	return true
}
