package client

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/experiment/measure"
)

// registerMeasure adds the experiments.
func registerMeasure(app *kingpin.Application, e *environment) {
	command := app.Command("measure", "Run each decision beside its baselines, on small models.")
	seeds := command.Flag("seeds", "Number of seeds.").Default("20").Int()
	out := command.Flag("out", "Folder for the table, the JSON and the plot.").String()
	command.Action(action(func() error {
		report := measure.RunAll(*seeds)
		if *out == "" {
			return e.print(report, func(w io.Writer) { writeMeasurements(w, report) })
		}
		return saveMeasurements(*out, report)
	}))
}

func writeMeasurements(w io.Writer, report measure.Report) {
	report.WriteText(w)
	report.WriteUserScores(w)
}

func saveMeasurements(folder string, report measure.Report) error {
	var text, plot bytes.Buffer
	text.WriteString("# Measurements\n\nMade by `make measure`; means and standard deviations over the seeds. Small models, virtual time.\n\n")
	writeMeasurements(&text, report)
	report.WritePlot(&plot)
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode measurements")
	}
	files := map[string][]byte{"README.md": text.Bytes(), "measurements.json": append(encoded, '\n'), "measurements.svg": plot.Bytes()}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(folder, name), content, 0o644); err != nil {
			return errors.Wrap(err, "write measurements")
		}
	}
	return nil
}
