package client

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"gypsumpitch.example/gypsumpitch/internal/control/operator"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
)

// registerActs adds the commands that change one thing.
func registerActs(app *kingpin.Application, e *environment) {
	dataCentre := app.Command("data-centre", "Take a data centre out of service or back in.")
	e.addAct(dataCentre, "out", "New work stops within seconds; work under way goes on.", tables.ActionDataCentreOut, "data centre", "")
	e.addAct(dataCentre, "in", "Cold servers are filled to what they bear.", tables.ActionDataCentreIn, "data centre", "")
	host := app.Command("host", "Take an entry host out of service or back in.")
	e.addAct(host, "out", "Its daemon takes no new work and fails its health check.", tables.ActionHostOut, "host", "")
	e.addAct(host, "in", "Its daemon takes new work again.", tables.ActionHostIn, "host", "")
	server := app.Command("server", "Take a backend server out of service or back in.")
	e.addAct(server, "out", "It gets no new work.", tables.ActionServerOut, "pool", "server")
	e.addAct(server, "in", "It gets new work again.", tables.ActionServerIn, "pool", "server")
	version := app.Command("version", "Roll out, pause, promote or withdraw a version of a model.")
	e.addAct(version, "start", "Start a canary with a share of the new sessions.", tables.ActionVersionStart, "model", "version")
	e.addAct(version, "share", "Change the version's share.", tables.ActionVersionShare, "model", "version")
	e.addAct(version, "pause", "Keep its sessions, give it no new ones.", tables.ActionVersionPause, "model", "version")
	e.addAct(version, "promote", "Make it the version for new sessions.", tables.ActionVersionPromote, "model", "version")
	e.addAct(version, "withdraw", "Give it no work at all; its sessions end.", tables.ActionVersionWithdraw, "model", "version")
}

func (e *environment) addAct(parent *kingpin.CmdClause, name, help string, kind tables.ActionKind, first, second string) {
	command := parent.Command(name, help)
	act := tables.Action{Kind: kind}
	command.Arg(first, "Name of the "+first+".").Required().StringVar(&act.Name)
	if second != "" {
		command.Arg(second, "Name of the "+second+".").Required().StringVar(&act.Part)
	}
	if kind == tables.ActionVersionStart || kind == tables.ActionVersionShare {
		command.Flag("share", "Weight for new sessions beside the other versions.").Required().IntVar(&act.Share)
	}
	if kind == tables.ActionVersionStart {
		command.Flag("cost", "Millionths of the billing unit a token.").Int64Var(&act.CostMicrosPerToken)
	}
	editID := command.Flag("edit-id", "Id of the edit; the same id is never applied twice.").String()
	command.Action(action(func() error {
		id := *editID
		if id == "" {
			id = newEditID()
		}
		return e.edit(func(ctx context.Context, c *operator.Client) (operator.EditResponse, error) {
			return c.ApplyAction(ctx, act, id)
		})
	}))
}
