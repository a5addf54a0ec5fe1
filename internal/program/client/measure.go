package client

import (
	"io"

	"github.com/alecthomas/kingpin/v2"

	"gypsumpitch.example/gypsumpitch/internal/experiment/measure"
)

// registerMeasure adds the experiments.
func registerMeasure(app *kingpin.Application, e *environment) {
	command := app.Command("measure", "Run each decision beside its baselines, on small models.")
	seeds := command.Flag("seeds", "Number of seeds.").Default("20").Int()
	command.Action(action(func() error {
		report := measure.RunAll(*seeds)
		return e.print(report, func(w io.Writer) { report.WriteText(w) })
	}))
}
