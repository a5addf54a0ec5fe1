//go:build wireinject

package entry

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/google/wire"
	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/control/peerstats"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
	"gypsumpitch.example/gypsumpitch/internal/traffic/relay"
)

// Assemble creates a daemon from its settings. It opens no listeners.
func Assemble(log hclog.Logger, s settings.Settings) (*Daemon, error) {
	wire.Build(
		clock.NewSystem,
		wire.Bind(new(clock.Clock), new(*clock.System)),
		newViewState,
		peerstats.New,
		loadbalance.NewBalancer,
		quarantine.NewTracker,
		newDemandLedger,
		newDemandFeed,
		newViewFunc,
		newStore,
		newConnGroups,
		newServerClient,
		newVersionRouter,
		newRetryBudget,
		newPeerServer,
		newPeerClient,
		newPeerFeed,
		newExchange,
		newRolloutController,
		newQuarantineFeed,
		newQuarantineRecorder,
		newLimitBroker,
		newRelay,
		newCallerHandler,
		metrics.NewSet,
		relay.NewMetrics,
		wire.Struct(new(Daemon), "*"),
	)
	return nil, nil
}
