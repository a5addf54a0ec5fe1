// Package common holds the dependencies that most constructors of the daemon need.
package common

import (
	"os"

	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
)

// Common holds the shared logger, clock and settings.
type Common struct {
	Log      hclog.Logger
	Clock    clock.Clock
	Settings settings.Settings
}

// New returns a Common with the system clock and a logger that writes to standard error.
func New(s settings.Settings) *Common {
	log := hclog.New(&hclog.LoggerOptions{
		Name:       s.Host,
		Level:      hclog.LevelFromString(s.Log.Level),
		JSONFormat: s.Log.JSON,
		Output:     os.Stderr,
	})
	return &Common{Log: log, Clock: clock.NewSystem(), Settings: s}
}
