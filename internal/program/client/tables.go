package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/operator"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// registerTables adds the commands that read and edit the tables as JSON text.
func registerTables(app *kingpin.Application, e *environment) {
	show := app.Command("show", "Print all tables, or a single one.")
	section := show.Arg("table", "routes, pools, models, client_accounts, operators, data_centres or hosts.").String()
	show.Action(asAction(func() error { return e.showTables(*section) }))

	validate := app.Command("validate", "Validate a file of tables; errors name the field and the line.")
	validateFile := validate.Arg("file", "Tables in JSON with comments.").Required().String()
	validate.Action(asAction(func() error { return e.validate(*validateFile) }))

	diff := app.Command("diff", "Show the changes that applying a file would make.")
	diffFile := diff.Arg("file", "Tables in JSON with comments.").Required().String()
	diff.Action(asAction(func() error { return e.diff(*diffFile) }))

	apply := app.Command("apply", "Replace the tables with those of a file, unless they have been edited since.")
	applyFile := apply.Arg("file", "Tables in JSON with comments.").Required().String()
	base := apply.Flag("base", "Version that the file is based on; the version in the file by default.").Default("-1").Int64()
	editID := apply.Flag("edit-id", "ID of the edit; an ID is applied at most once.").String()
	apply.Action(asAction(func() error { return e.apply(*applyFile, *base, *editID) }))

	history := app.Command("history", "Print an earlier version of the tables.")
	historyVersion := history.Arg("version", "Version of the document.").Required().Int64()
	history.Action(asAction(func() error { return e.history(*historyVersion) }))

	rollback := app.Command("rollback", "Restore an earlier version of the tables, as a new version.")
	rollbackVersion := rollback.Arg("version", "Version of the document.").Required().Int64()
	rollback.Action(asAction(func() error { return e.rollback(*rollbackVersion) }))

	hash := app.Command("hash-key", "Print the hash of a key, as stored in the tables.")
	hashKey := hash.Arg("key", "Key to hash.").Required().String()
	hash.Action(asAction(func() error {
		_, err := fmt.Fprintln(e.stdout, tables.HashKey(*hashKey))
		return errors.Wrap(err, "print")
	}))

	explain := app.Command("code", "Explain a result code.")
	number := explain.Arg("number", "Number of the result code.").Required().Int()
	explain.Action(asAction(func() error { return e.explainCode(*number) }))
}

func (e *environment) showTables(section string) error {
	doc, err := e.currentTables()
	if err != nil {
		return err
	}
	return e.printSection(doc, section)
}

func (e *environment) printSection(doc *tables.Document, section string) error {
	text, err := json.Marshal(doc)
	if err != nil {
		return errors.Wrap(err, "encode tables")
	}
	var value any = doc
	if section != "" {
		var members map[string]json.RawMessage
		if err := json.Unmarshal(text, &members); err != nil {
			return errors.Wrap(err, "decode tables")
		}
		member, ok := members[section]
		if !ok {
			return result.New(result.MalformedRequest, "table: no table named %q", section)
		}
		value = member
	}
	// Tables are printed as JSON whatever the output format, so that they can be edited and
	// applied again.
	pretty, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode tables")
	}
	_, err = fmt.Fprintln(e.stdout, string(pretty))
	return errors.Wrap(err, "print")
}

func (e *environment) currentTables() (*tables.Document, error) {
	c, err := e.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := e.context()
	defer cancel()
	return c.Tables(ctx)
}

func readTables(file string) ([]byte, *tables.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, errors.Wrap(err, "tables")
	}
	doc, err := tables.Parse(text)
	if err != nil {
		return nil, nil, result.Wrap(err, result.EditInvalid)
	}
	return text, doc, nil
}

func (e *environment) validate(file string) error {
	_, doc, err := readTables(file)
	if err != nil {
		return err
	}
	summary := map[string]int{"routes": len(doc.Routes), "pools": len(doc.Pools), "models": len(doc.Models), "client_accounts": len(doc.ClientAccounts), "hosts": len(doc.Hosts)}
	return e.print(summary, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "valid: %d routes, %d pools, %d models, %d client accounts, %d hosts\n",
			len(doc.Routes), len(doc.Pools), len(doc.Models), len(doc.ClientAccounts), len(doc.Hosts))
	})
}

func (e *environment) diff(file string) error {
	_, doc, err := readTables(file)
	if err != nil {
		return err
	}
	current, err := e.currentTables()
	if err != nil {
		return err
	}
	lines := tables.Diff(current, doc)
	return e.print(lines, func(w io.Writer) { printLines(w, lines) })
}

// maxLineBytes is the length at which lines of text output are truncated. JSON output is
// complete.
const maxLineBytes = 160

func printLines(w io.Writer, lines []string) {
	for _, line := range lines {
		if len(line) > maxLineBytes {
			line = line[:maxLineBytes] + "…"
		}
		_, _ = fmt.Fprintln(w, line)
	}
}

func (e *environment) apply(file string, base int64, editID string) error {
	text, doc, err := readTables(file)
	if err != nil {
		return err
	}
	if base < 0 {
		base = doc.Version // the version that was printed by show, so that no later edit is overwritten
	}
	return e.putTables(text, base, editID)
}

// putTables replaces the tables. A negative base stands for the current version, and an
// empty edit ID for a new one.
func (e *environment) putTables(text []byte, base int64, editID string) error {
	if base < 0 {
		current, err := e.currentTables()
		if err != nil {
			return err
		}
		base = current.Version
	}
	if editID == "" {
		editID = newEditID()
	}
	return e.edit(func(ctx context.Context, c *operator.Client) (operator.EditResponse, error) {
		return c.PutTables(ctx, text, base, editID)
	})
}

// edit sends an edit and prints the resulting version and changes.
func (e *environment) edit(send func(context.Context, *operator.Client) (operator.EditResponse, error)) error {
	c, err := e.client()
	if err != nil {
		return err
	}
	ctx, cancel := e.context()
	defer cancel()
	response, err := send(ctx, c)
	if err != nil {
		return err
	}
	return e.print(response, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "version %d is in force at a majority of the daemons (edit %s)\n", response.Version, response.EditID)
		printLines(w, response.Changes)
	})
}

func (e *environment) tablesAt(version int64) (*tables.Document, error) {
	c, err := e.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := e.context()
	defer cancel()
	return c.History(ctx, version)
}

func (e *environment) history(version int64) error {
	doc, err := e.tablesAt(version)
	if err != nil {
		return err
	}
	return e.printSection(doc, "")
}

func (e *environment) rollback(version int64) error {
	doc, err := e.tablesAt(version)
	if err != nil {
		return err
	}
	text, err := json.Marshal(doc)
	if err != nil {
		return errors.Wrap(err, "encode tables")
	}
	return e.putTables(text, -1, "")
}

func (e *environment) explainCode(number int) error {
	code, ok := result.Find(number)
	if !ok {
		return result.New(result.MalformedRequest, "number: no result code %d", number)
	}
	return e.print(code, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%d %s: HTTP %d, run %s\n%s\n", code.Number, code.Name, code.HTTPStatus, code.Run, code.Meaning)
		if code.RetryAfterMs > 0 {
			_, _ = fmt.Fprintf(w, "Retry after %d ms.\n", code.RetryAfterMs)
		}
	})
}
