package client

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/experiment/requesttrace"
)

// registerExplain adds the command that traces one request through the daemons' logs.
func registerExplain(app *kingpin.Application, e *environment) {
	command := app.Command("explain", "Reconstruct the course of a request from the daemons' logs.")
	id := command.Arg("id", "ID of the request.").Required().String()
	files := command.Arg("files", "Log files of any number of daemons; standard input by default.").ExistingFiles()
	command.Action(asAction(func() error {
		trace := &requesttrace.Trace{ID: *id}
		if len(*files) == 0 {
			if err := trace.ReadLog(os.Stdin); err != nil {
				return err
			}
		}
		for _, name := range *files {
			if err := readLogFile(trace, name); err != nil {
				return err
			}
		}
		trace.WriteText(e.stdout)
		if len(trace.Lines) == 0 {
			return errors.Errorf("no log line found for request %s", *id)
		}
		return nil
	}))
}

func readLogFile(trace *requesttrace.Trace, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer func() { _ = file.Close() }()
	return trace.ReadLog(file)
}
