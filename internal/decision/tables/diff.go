package tables

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Diff returns one line per row that differs between the documents, prefixed with "+" for
// an added row, "-" for a removed one and "~" for a changed one. Session keys are compared
// as a whole, so that their secrets are not printed.
func Diff(before, after *Document) []string {
	var lines []string
	lines = diffTable(lines, "routes", before.Routes, after.Routes)
	lines = diffTable(lines, "pools", before.Pools, after.Pools)
	lines = diffTable(lines, "models", before.Models, after.Models)
	lines = diffTable(lines, "client_accounts", before.ClientAccounts, after.ClientAccounts)
	lines = diffTable(lines, "operators", before.Operators, after.Operators)
	lines = diffTable(lines, "data_centres", before.DataCentres, after.DataCentres)
	lines = diffTable(lines, "hosts", before.Hosts, after.Hosts)
	if !reflect.DeepEqual(before.SessionKeys, after.SessionKeys) {
		lines = append(lines, "~ session_keys")
	}
	return lines
}

func diffTable[V any](lines []string, table string, before, after map[string]V) []string {
	for _, name := range sorted(before) {
		row, ok := after[name]
		if !ok {
			lines = append(lines, fmt.Sprintf("- %s.%s", table, name))
			continue
		}
		if !reflect.DeepEqual(before[name], row) {
			lines = append(lines, fmt.Sprintf("~ %s.%s: %s -> %s", table, name, rowJSON(before[name]), rowJSON(row)))
		}
	}
	for _, name := range sorted(after) {
		if _, ok := before[name]; !ok {
			lines = append(lines, fmt.Sprintf("+ %s.%s: %s", table, name, rowJSON(after[name])))
		}
	}
	return lines
}

func rowJSON(row any) string {
	text, err := json.Marshal(row)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
