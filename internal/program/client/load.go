package client

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/experiment/load"
	"gypsumpitch.example/gypsumpitch/internal/foundation/hujsonfile"
)

// registerLoad adds the load generator.
func registerLoad(app *kingpin.Application, e *environment) {
	command := app.Command("load", "Generate an open-loop load and print a latency histogram, the cost per answer, the exposure to bad versions and the share of requests served.")
	file := command.Flag("plan", "Load plan in JSON with comments.").Required().String()
	duration := command.Flag("for", "Duration of the load.").Default("10s").Duration()
	rate := command.Flag("rate", "Requests per second.").Default("50").Float64()
	bad := command.Flag("bad", "model@version whose answers count as exposure to a bad version.").Strings()
	seed := command.Flag("seed", "Random seed for the mix of requests.").Default("1").Uint64()
	command.Action(asAction(func() error {
		plan, err := readPlan(*file)
		if err != nil {
			return err
		}
		plan.Duration, plan.Rate, plan.Seed, plan.Bad = *duration, *rate, *seed, *bad
		report := load.Run(context.Background(), plan)
		return e.print(report, func(w io.Writer) { report.WriteText(w) })
	}))
}

func readPlan(file string) (load.Plan, error) {
	var plan load.Plan
	text, err := os.ReadFile(file)
	if err != nil {
		return plan, errors.Wrap(err, "plan")
	}
	return plan, errors.Wrap(hujsonfile.Decode(text, &plan), "plan")
}
