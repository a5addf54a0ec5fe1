package entry

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
)

// settingsPollPeriod is how often the settings file is read, since it may change without
// a signal.
const settingsPollPeriod = 3 * time.Second

// settingsFile is the settings file of a daemon, with the signal that announces a change.
type settingsFile struct {
	path   string
	last   []byte // content that was last read
	hangUp chan os.Signal
}

// openSettings reads the settings file at the path. SIGHUP no longer ends the process from
// then on, even before the daemon watches the file.
func openSettings(path string) (*settingsFile, settings.Settings, error) {
	f := &settingsFile{path: path, hangUp: make(chan os.Signal, 1)}
	signal.Notify(f.hangUp, syscall.SIGHUP)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, settings.Settings{}, errors.Wrap(err, "settings")
	}
	f.last = text
	s, err := settings.Parse(text)
	return f, s, err
}

// watchSettings applies the settings file when its content changes. SIGHUP triggers a
// check at once.
func (d *Daemon) watchSettings(ctx context.Context, file *settingsFile) {
	defer signal.Stop(file.hangUp)
	ticker := time.NewTicker(settingsPollPeriod)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-file.hangUp:
			signalled = true
		case <-ticker.C:
		}
		text, err := os.ReadFile(file.path)
		if err != nil {
			d.Log.Error("failed to read settings; keeping the current ones", "error", err.Error())
			continue
		}
		if string(text) == string(file.last) {
			if signalled {
				d.Log.Info("settings unchanged")
			}
			continue
		}
		file.last = text
		s, err := settings.Parse(text)
		if err != nil {
			d.Log.Error("invalid settings; keeping the current ones", "error", err.Error())
			continue
		}
		d.applySettings(s)
		d.Log.Info("settings reloaded", "signalled", signalled)
	}
}
