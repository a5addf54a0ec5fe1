package client

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/experiment/requesttrace"
)

// registerExplain adds the reading of logs for one request.
func registerExplain(app *kingpin.Application, e *environment) {
	command := app.Command("explain", "Tell from daemons' logs what became of a request.")
	id := command.Arg("id", "Id of the request.").Required().String()
	files := command.Arg("files", "Logs of any number of daemons; standard input where none is given.").ExistingFiles()
	command.Action(action(func() error {
		s := &requesttrace.Trace{ID: *id}
		if len(*files) == 0 {
			if err := s.ReadLog(os.Stdin); err != nil {
				return err
			}
		}
		for _, name := range *files {
			if err := readLog(s, name); err != nil {
				return err
			}
		}
		s.WriteText(e.stdout)
		if len(s.Lines) == 0 {
			return errors.Errorf("no line about request %s", *id)
		}
		return nil
	}))
}

func readLog(s *requesttrace.Trace, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer func() { _ = file.Close() }()
	return s.ReadLog(file)
}
