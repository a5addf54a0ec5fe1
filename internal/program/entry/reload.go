package entry

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
)

// settingsPollPeriod is how often the settings file is read, since it may change without
// a signal.
const settingsPollPeriod = 3 * time.Second

// watchSettings applies the settings file when its content changes. SIGHUP triggers a
// check at once.
func (d *Daemon) watchSettings(ctx context.Context, path string) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	ticker := time.NewTicker(settingsPollPeriod)
	defer ticker.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		d.Log.Warn("failed to read settings; the next successful read applies them", "error", err.Error())
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
			d.Log.Error("failed to read settings; keeping the current ones", "error", err.Error())
			continue
		}
		if string(text) == string(last) {
			if signalled {
				d.Log.Info("settings unchanged")
			}
			continue
		}
		last = text
		s, err := settings.Parse(text)
		if err != nil {
			d.Log.Error("invalid settings; keeping the current ones", "error", err.Error())
			continue
		}
		d.applySettings(s)
		d.Log.Info("settings reloaded", "signalled", signalled)
	}
}
