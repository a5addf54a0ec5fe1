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

// registerMeasure adds the command that runs the experiments.
func registerMeasure(app *kingpin.Application, e *environment) {
	command := app.Command("measure", "Compare each decision policy with its baselines in simulation.")
	seeds := command.Flag("seeds", "Number of seeds.").Default("20").Int()
	out := command.Flag("out", "Directory for the tables, the JSON report and the plot; prints to standard output by default.").String()
	command.Action(asAction(func() error {
		report := measure.RunAll(*seeds)
		if *out == "" {
			return e.print(report, func(w io.Writer) { writeTables(w, report) })
		}
		return saveReport(*out, report)
	}))
}

func writeTables(w io.Writer, report measure.Report) {
	report.WriteText(w)
	report.WriteUserScores(w)
}

// saveReport writes the report as Markdown, JSON and SVG to an existing directory.
func saveReport(directory string, report measure.Report) error {
	var text, plot bytes.Buffer
	text.WriteString("# Measurements\n\nMade by `make measure`; means and standard deviations over the seeds. Small models, virtual time.\n\n")
	writeTables(&text, report)
	report.WritePlot(&plot)
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode measurements")
	}
	files := map[string][]byte{"README.md": text.Bytes(), "measurements.json": append(encoded, '\n'), "measurements.svg": plot.Bytes()}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(directory, name), content, 0o644); err != nil {
			return errors.Wrap(err, "write measurements")
		}
	}
	return nil
}
