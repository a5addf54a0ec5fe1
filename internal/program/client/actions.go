package client

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"gypsumpitch.example/gypsumpitch/internal/control/operator"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
)

// registerActions adds the commands that edit a single item of the tables.
func registerActions(app *kingpin.Application, e *environment) {
	dataCentre := app.Command("data-centre", "Take a data centre out of service or back in.")
	e.addAction(dataCentre, "out", "Stop new requests to it within seconds; in-flight requests continue.", tables.ActionDataCentreOut, "data centre", "")
	e.addAction(dataCentre, "in", "Resume requests; cold servers get no more than their cold slots allow.", tables.ActionDataCentreIn, "data centre", "")
	host := app.Command("host", "Take an entry host out of service or back in.")
	e.addAction(host, "out", "Its daemon accepts no new requests and fails its health check.", tables.ActionHostOut, "host", "")
	e.addAction(host, "in", "Its daemon accepts new requests again.", tables.ActionHostIn, "host", "")
	server := app.Command("server", "Take a backend server out of service or back in.")
	e.addAction(server, "out", "Send it no new requests.", tables.ActionServerOut, "pool", "server")
	e.addAction(server, "in", "Send it new requests again.", tables.ActionServerIn, "pool", "server")
	version := app.Command("version", "Roll out, pause, promote or withdraw a version of a model.")
	e.addAction(version, "start", "Start a canary with a share of the new sessions.", tables.ActionVersionStart, "model", "version")
	e.addAction(version, "share", "Change the version's share.", tables.ActionVersionShare, "model", "version")
	e.addAction(version, "pause", "Keep its sessions, but assign it no new ones.", tables.ActionVersionPause, "model", "version")
	e.addAction(version, "promote", "Make it the version of all new sessions.", tables.ActionVersionPromote, "model", "version")
	e.addAction(version, "withdraw", "Send it no requests at all; its sessions end.", tables.ActionVersionWithdraw, "model", "version")
}

// addAction adds a command that applies an action of the given kind. first and second are
// the arguments that name the item; second is empty if one name identifies it.
func (e *environment) addAction(parent *kingpin.CmdClause, name, help string, kind tables.ActionKind, first, second string) {
	command := parent.Command(name, help)
	action := tables.Action{Kind: kind}
	command.Arg(first, "Name of the "+first+".").Required().StringVar(&action.Name)
	if second != "" {
		command.Arg(second, "Name of the "+second+".").Required().StringVar(&action.Part)
	}
	if kind == tables.ActionVersionStart || kind == tables.ActionVersionShare {
		command.Flag("share", "Weight for new sessions, relative to the other versions.").Required().IntVar(&action.Share)
	}
	if kind == tables.ActionVersionStart {
		command.Flag("cost", "Cost per token in millionths of the billing unit.").Int64Var(&action.CostMicrosPerToken)
	}
	editID := command.Flag("edit-id", "ID of the edit; an ID is applied at most once.").String()
	command.Action(asAction(func() error {
		id := *editID
		if id == "" {
			id = newEditID()
		}
		return e.edit(func(ctx context.Context, c *operator.Client) (operator.EditResponse, error) {
			return c.ApplyAction(ctx, action, id)
		})
	}))
}
