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

// ordersARound keeps loads within what the weight store gives out.
const ordersARound = 2

// ModelLoader makes engines hold what the pools table says.
type ModelLoader struct {
	common *common.Common
	client *http.Client
}

// NewModelLoader returns an order sender.
func NewModelLoader(c *common.Common) *ModelLoader {
	limit := clock.Millis(c.Settings.Control.OrderLimitMs).Duration()
	return &ModelLoader{common: c, client: &http.Client{Timeout: limit, Transport: backend.NewFreshTransport()}}
}

// Sync compares each engine's report with the pools table and sends a few
// orders. An order goes out only while it is sure to end within the lease.
func (o *ModelLoader) Sync(ctx context.Context, s *controlstate.Snapshot, may mayOrderFunc) {
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
			verb, what, ok := difference(server.Holds, state.Load.Holds)
			if !ok {
				continue
			}
			if sent == ordersARound {
				return
			}
			if o.send(ctx, server, verb, what, may) {
				sent++
			}
		}
	}
}

// difference returns one order that brings the engine nearer to what it should
// hold. Loads go before unloads.
func difference(want, have []string) (verb, name string, ok bool) {
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

func (o *ModelLoader) send(ctx context.Context, server tables.BackendServer, verb, name string, may mayOrderFunc) bool {
	life := clock.Millis(o.common.Settings.Control.OrderLimitMs)
	fencing, ok := may(life, server.ChecksFencing)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, life.Duration())
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/orders/%s/%s", server.Address, verb, name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return false
	}
	request.Header.Set(backend.HeaderFencing, strconv.FormatInt(fencing, 10))
	response, err := o.client.Do(request)
	if err != nil {
		o.common.Log.Warn("order failed", "server", server.Address, "order", verb, "name", name, "error", err)
		return true
	}
	_ = response.Body.Close()
	o.common.Log.Info("order", "server", server.Address, "order", verb, "name", name, "fencing", fencing, "status", response.StatusCode)
	return true
}
