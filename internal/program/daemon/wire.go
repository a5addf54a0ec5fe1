//go:build wireinject

package daemon

import (
	"github.com/google/wire"

	"gypsumpitch.example/gypsumpitch/internal/control/eventloop"
	"gypsumpitch.example/gypsumpitch/internal/control/operator"
	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/control/reconciler"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
	"gypsumpitch.example/gypsumpitch/internal/traffic/bills"
	"gypsumpitch.example/gypsumpitch/internal/traffic/caller"
	"gypsumpitch.example/gypsumpitch/internal/traffic/claims"
	"gypsumpitch.example/gypsumpitch/internal/traffic/pins"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

// Assemble creates a daemon from its settings without opening any listener.
func Assemble(s settings.Settings) (*Daemon, error) {
	wire.Build(
		common.New,
		NewIncarnation,
		newTLSConfigs,
		newTableService,
		newObjectStore,
		newHostListClient,
		newRatingService,
		newPeerClient,
		wire.Bind(new(bills.Peers), new(*peer.Client)),
		wire.Bind(new(pins.Peers), new(*peer.Client)),
		newPeerServer,
		newConnGroups,
		newMachine,
		placement.NewInFlightCounters,
		quality.NewTracker,
		eventloop.NewNetworkExecutor,
		newExecutor,
		eventloop.New,
		newSnapshots,
		bills.NewRecorder,
		pins.NewResolver,
		claims.NewBacklog,
		claims.NewCoordinator,
		newDispatcher,
		newEngineClient,
		newAppClient,
		newAnswerMemory,
		caller.NewMetrics,
		newCallerServer,
		operator.NewEditor,
		reconciler.NewModelLoader,
		newReconciler,
		wire.Struct(new(eventloop.PeerHandlers), "*"),
		wire.Struct(new(Daemon), "*"),
	)
	return nil, nil
}
