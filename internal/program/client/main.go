// Package client implements the gypsumpitch command, the operators' command line.
package client

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/commandline"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// Exit codes. Scripts rely on them; the help text lists them.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitInvalid     = 4
	exitUnavailable = 5
	exitPending     = 6
)

// Main runs the command line and returns the exit code of the process.
func Main(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("gypsumpitch", "Operate a gypsumpitch deployment. Exit codes: 0 done, 1 failed, 2 usage, 3 conflict, 4 invalid, 5 unavailable, 6 committed but pending.")
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	app.HelpFlag.Short('h')
	e := newEnvironment(app, stdout)
	registerTables(app, e)
	registerActions(app, e)
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

// exitCode maps an error to an exit code, by its result code if it has one. Other errors of
// commands are wrapped in commandError and are failures; those of kingpin itself are usage
// errors.
func exitCode(err error) int {
	var resultErr *result.Error
	var commandErr *commandError
	switch {
	case errors.As(err, &resultErr):
		return exitCodeOfResult(resultErr.Code)
	case errors.As(err, &commandErr):
		return exitFailure
	default:
		return exitUsage
	}
}

func exitCodeOfResult(code result.Code) int {
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

// commandError wraps an error returned by a command, to distinguish it from a usage error.
type commandError struct {
	cause error
}

func (e *commandError) Error() string { return e.cause.Error() }

func (e *commandError) Unwrap() error { return e.cause }

// asAction adapts a command to kingpin and wraps its error in commandError.
func asAction(run func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if err := run(); err != nil {
			return &commandError{err}
		}
		return nil
	}
}
