package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"gypsumpitch.example/gypsumpitch/internal/foundation/commandline"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
	"gypsumpitch.example/gypsumpitch/internal/program/entry"
	"gypsumpitch.example/gypsumpitch/platform"
)

// Exit codes of the daemon.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Main runs the command line and returns the exit code of the process.
func Main(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("gypsumpitchd", "Model-aware request router with version roll-outs and model cascades.")
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	run := app.Command("run", "Serve until SIGTERM, then shut down gracefully.")
	runFile := run.Arg("file", "Settings file.").Required().String()
	runEntry := app.Command("run-entry", "Serve on an entry host of the platform, with the settings file named by the platform.")
	check := app.Command("check-settings", "Check a settings file.")
	checkFile := check.Arg("file", "Settings file.").Required().String()
	settingsPage := app.Command("print-settings-page", "Print docs/SETTINGS.md.")
	codesPage := app.Command("print-codes-page", "Print docs/RESULT_CODES.md.")

	command, exited, err := commandline.Parse(app, args)
	if exited {
		return exitOK
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "gypsumpitchd:", err)
		return exitUsage
	}
	switch command {
	case run.FullCommand():
		err = serve(*runFile)
	case runEntry.FullCommand():
		err = serveEntry()
	case check.FullCommand():
		_, err = settings.Load(*checkFile)
	case settingsPage.FullCommand():
		_, _ = fmt.Fprint(stdout, settings.Markdown())
	case codesPage.FullCommand():
		_, _ = fmt.Fprint(stdout, result.Markdown())
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "gypsumpitchd:", err)
		return exitFailure
	}
	return exitOK
}

func serve(file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	d, err := Assemble(s)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return d.Run(ctx)
}

func serveEntry() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return entry.Main(ctx, os.Getenv(platform.SettingsPathVariable))
}
