// Package client is the operators' command line.
package client

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/commandline"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// Exit codes for scripts.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitInvalid     = 4
	exitUnavailable = 5
	exitPending     = 6
)

// Main runs the command line and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("gypsumpitch", "Operate a gypsumpitch deployment. Exit codes: 0 done, 1 failed, 2 usage, 3 conflict, 4 invalid, 5 unavailable, 6 committed but pending.")
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	app.HelpFlag.Short('h')
	e := newEnvironment(app, stdout)
	registerTables(app, e)
	registerActs(app, e)
	registerStatus(app, e)
	registerLoad(app, e)
	registerMeasure(app, e)
	registerExplain(app, e)
	if _, _, err := commandline.Parse(app, args); err != nil {
		_, _ = fmt.Fprintln(stderr, "gypsumpitch:", err)
		return exitCode(err)
	}
	return exitOK
}

// exitCode maps numbered results to what scripts can tell apart. Kingpin's own
// errors are usage errors; those of actions are marked by failed.
func exitCode(err error) int {
	var numbered *result.Error
	var failure *failure
	switch {
	case errors.As(err, &numbered):
		return exitOfCode(numbered.Code)
	case errors.As(err, &failure):
		return exitFailure
	default:
		return exitUsage
	}
}

func exitOfCode(code result.Code) int {
	switch code {
	case result.EditConflict:
		return exitConflict
	case result.EditInvalid, result.MalformedRequest:
		return exitInvalid
	case result.StoreUnavailable, result.EditUnknown, result.NotConfirmed:
		return exitUnavailable
	case result.EditPending:
		return exitPending
	default:
		return exitFailure
	}
}

// failure marks an error of an action, so that it isn't taken for wrong usage.
type failure struct {
	cause error
}

// Error gives the cause's text.
func (f *failure) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.cause }

// action adapts a function to kingpin.
func action(run func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if err := run(); err != nil {
			return &failure{err}
		}
		return nil
	}
}
