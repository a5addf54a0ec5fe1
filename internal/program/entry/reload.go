package entry

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
)

// settingsPeriod is how often the settings file is looked at, since it may change
// without a signal.
const settingsPeriod = 3 * time.Second

// watchSettings applies the settings file when it changes, or on SIGHUP.
func (e *Daemon) watchSettings(ctx context.Context, path string) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		e.Log.Warn("settings can't be read; they are taken as changed when they can", "error", err.Error())
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangUp:
			signalled = true
		case <-ticker.C:
		}
		text, err := os.ReadFile(path)
		if err != nil {
			e.Log.Error("settings can't be read; the old ones hold", "error", err.Error())
			continue
		}
		if string(text) == string(last) {
			if signalled {
				e.Log.Info("settings unchanged")
			}
			continue
		}
		last = text
		s, err := settings.Parse(text)
		if err != nil {
			e.Log.Error("settings refused; the old ones hold", "error", err.Error())
			continue
		}
		e.apply(s)
		e.Log.Info("settings reloaded", "signalled", signalled)
	}
}
