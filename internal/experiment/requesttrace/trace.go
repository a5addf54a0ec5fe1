// Package requesttrace reconstructs the course of one request from the logs of any number
// of daemons.
package requesttrace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes is the length from which a log line makes ReadLog fail.
const maxLineBytes = 1 << 20

// Line is a log line about the request.
type Line struct {
	Host      string
	Timestamp time.Time // by the host's clock; zero if missing or invalid
	ElapsedMs float64   // since the host read the request header
	Message   string
	Fields    map[string]any // without those that have a field of their own
}

// Trace collects the log lines about the request with the given ID. Not safe for concurrent
// use.
type Trace struct {
	ID           string
	Lines        []Line
	InvalidLines int // non-empty lines without a valid JSON object, in all logs
	ValidLines   int // lines with one, whatever request they are about
}

// Names of the log fields that Line has fields for, and of those that it omits.
const (
	fieldMessage = "@message"
	fieldModule  = "@module"
	fieldTime    = "@timestamp"
	fieldLevel   = "@level"
	fieldRequest = "request"
	fieldAfter   = "after_ms"
)

// ReadLog adds the lines of a log. A line may have a prefix before its JSON object.
func (t *Trace) ReadLog(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			if len(bytes.TrimSpace(text)) > 0 {
				t.InvalidLines++
			}
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(text[start:], &fields); err != nil {
			t.InvalidLines++
			continue
		}
		t.ValidLines++
		if id, _ := fields[fieldRequest].(string); id == t.ID {
			t.Lines = append(t.Lines, newLine(fields))
		}
	}
	return errors.Wrap(scanner.Err(), "read log")
}

func newLine(fields map[string]any) Line {
	l := Line{Fields: fields}
	l.Host, _ = fields[fieldModule].(string)
	l.Message, _ = fields[fieldMessage].(string)
	l.ElapsedMs, _ = fields[fieldAfter].(float64)
	if text, ok := fields[fieldTime].(string); ok {
		// A line with an invalid timestamp is kept with the zero time; its host sorts first.
		l.Timestamp, _ = time.Parse(time.RFC3339Nano, text)
	}
	for _, name := range []string{fieldMessage, fieldModule, fieldTime, fieldLevel, fieldRequest, fieldAfter} {
		delete(fields, name)
	}
	return l
}

// sorted returns the lines grouped by host. Lines of a host are ordered by elapsed time,
// which is reliable; lines of different hosts are not interleaved, since their clocks may
// differ. Hosts are ordered by the time at which they first read the request.
func (t *Trace) sorted() []Line {
	firstRead := make(map[string]time.Time)
	for _, l := range t.Lines {
		readAt := l.Timestamp.Add(-time.Duration(l.ElapsedMs * float64(time.Millisecond)))
		if earliest, ok := firstRead[l.Host]; !ok || readAt.Before(earliest) {
			firstRead[l.Host] = readAt
		}
	}
	lines := slices.Clone(t.Lines)
	slices.SortStableFunc(lines, func(a, b Line) int {
		if a.Host != b.Host {
			if c := firstRead[a.Host].Compare(firstRead[b.Host]); c != 0 {
				return c
			}
			return cmp.Compare(a.Host, b.Host)
		}
		return cmp.Compare(a.ElapsedMs, b.ElapsedMs)
	})
	return lines
}

// WriteText writes the trace as text. Write errors are ignored, since w is standard output
// and its reader notices them.
func (t *Trace) WriteText(w io.Writer) {
	var b strings.Builder
	lines := t.sorted()
	fmt.Fprintf(&b, "request %s: %d of %d lines, %d invalid lines skipped\n", t.ID, len(lines), t.ValidLines, t.InvalidLines)
	host := ""
	for _, l := range lines {
		if l.Host != host {
			host = l.Host
			fmt.Fprintf(&b, "%s, first line at %s by its clock\n", host, l.Timestamp.UTC().Format("15:04:05.000"))
		}
		fmt.Fprintf(&b, "  +%6.0f ms  %s", l.ElapsedMs, l.Message)
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Fprintf(&b, "  %s=%v", name, l.Fields[name])
		}
		b.WriteByte('\n')
	}
	_, _ = io.WriteString(w, b.String())
}
