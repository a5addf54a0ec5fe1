package client

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"gypsumpitch.example/gypsumpitch/internal/control/operator"
	"gypsumpitch.example/gypsumpitch/internal/decision/billing"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
)

// registerStatus adds the commands that show the state of the daemons and their records.
func registerStatus(app *kingpin.Application, e *environment) {
	status := app.Command("status", "Show the status of every daemon: configuration version, confirmation, state, leases and backend servers.")
	one := status.Flag("one", "Show only the queried daemon.").Bool()
	servers := status.Flag("servers", "Also list the backend servers as seen by one daemon.").Bool()
	status.Action(asAction(func() error { return e.status(!*one, *servers) }))

	bills := app.Command("bills", "Sum up the bill records per client account.")
	bills.Action(asAction(e.bills))

	for _, t := range []struct{ name, table, help string }{
		{"sessions", "pins", "List pinned sessions."},
		{"leases", "leases", "List leases with their fencing numbers."},
		{"claims", "claims", "List claims of calls that are executed at most once."},
	} {
		command := app.Command(t.name, t.help)
		command.Action(asAction(func() error { return e.rows(t.table) }))
	}
}

func (e *environment) status(all, servers bool) error {
	c, err := e.client()
	if err != nil {
		return err
	}
	ctx, cancel := e.context()
	defer cancel()
	list, err := c.Status(ctx, all)
	if err != nil {
		return err
	}
	return e.print(list, func(w io.Writer) { printStatus(w, list, servers) })
}

func printStatus(w io.Writer, list []operator.Status, servers bool) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "HOST\tDATA CENTRE\tVERSION\tCONFIRMED\tSTATE\tOPEN\tBILLS\tLEASES\tTRIPPED")
	for _, s := range list {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%d\t%d+%d\t%s\t%s\n", s.Host, s.DataCentre, s.Version, formatAge(s.ConfirmedAgeMs),
			stateName(s), s.OpenRequests, s.BillsOwn, s.BillsHeld, strings.Join(s.LeasesHeld, ", "), strings.Join(s.Tripped, ", "))
	}
	_ = t.Flush()
	for _, s := range list {
		if !servers || len(s.Servers) == 0 {
			continue
		}
		_, _ = fmt.Fprintln(t, "\nSERVER\tSTATE\tRUNNING\tOWN\tPEERS\tCOLD SLOTS\tREPORT")
		for _, server := range s.Servers {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", server.Server, server.State, server.Running, server.OwnInFlight, server.PeerInFlight, server.ColdSlots, formatAge(server.AgeMs))
		}
		_ = t.Flush()
		return
	}
}

func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", ms)
}

func stateName(s operator.Status) string {
	switch {
	case s.Unreachable != "":
		return "unreachable"
	case s.Stopping:
		return "stopping"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

// allRows reads all pages of a table.
func (e *environment) allRows(table string) ([]tableservice.Row, error) {
	c, err := e.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := e.context()
	defer cancel()
	var all []tableservice.Row
	after := ""
	for {
		rows, err := c.Rows(ctx, table, after)
		if err != nil || len(rows) == 0 {
			return all, err
		}
		all = append(all, rows...)
		after = rows[len(rows)-1].Key
	}
}

func (e *environment) rows(table string) error {
	rows, err := e.allRows(table)
	if err != nil {
		return err
	}
	return e.print(rows, func(w io.Writer) {
		for _, r := range rows {
			_, _ = fmt.Fprintf(w, "%s\t%s\n", r.Key, r.Value)
		}
	})
}

// accountTotal is the sum of a client account's bill records.
type accountTotal struct {
	Account    string `json:"account"`
	Requests   int    `json:"requests"`
	Tokens     int64  `json:"tokens"`
	CostMicros int64  `json:"cost_micros"`
}

func (e *environment) bills() error {
	rows, err := e.allRows("bills")
	if err != nil {
		return err
	}
	totals := make(map[string]*accountTotal)
	for _, row := range rows {
		var r billing.Record
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return err
		}
		t, ok := totals[r.Account]
		if !ok {
			t = &accountTotal{Account: r.Account}
			totals[r.Account] = t
		}
		t.Requests++
		t.Tokens += r.Tokens
		t.CostMicros += r.CostMicros
	}
	return e.print(totals, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(t, "ACCOUNT\tREQUESTS\tTOKENS\tCOST")
		for _, total := range totals {
			_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%.6f\n", total.Account, total.Requests, total.Tokens, float64(total.CostMicros)/1e6)
		}
		_ = t.Flush()
	})
}
