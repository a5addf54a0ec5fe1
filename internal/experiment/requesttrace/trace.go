// Package requesttrace reads the logs of any number of daemons and tells what became of
// one request.
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

// maxLineBytes is the longest log line that is read; longer ones count as bad.
const maxLineBytes = 1 << 20

// Line is one log line about the request.
type Line struct {
	Host      string
	Timestamp time.Time // by the clock of that host
	ElapsedMs float64   // since the request's head was read there
	Message   string
	Fields    map[string]any
}

// Trace is what the logs tell of a request.
type Trace struct {
	ID           string
	Lines        []Line
	InvalidLines int // lines that couldn't be read
	ValidLines   int // lines that could
}

// Names of the fields that every line has.
const (
	fieldMessage = "@message"
	fieldModule  = "@module"
	fieldTime    = "@timestamp"
	fieldLevel   = "@level"
	fieldRequest = "request"
	fieldAfter   = "after_ms"
)

// ReadLog adds the lines of a log. Lines may have something in front of the JSON.
func (s *Trace) ReadLog(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		at := bytes.IndexByte(text, '{')
		if at < 0 {
			if len(bytes.TrimSpace(text)) > 0 {
				s.InvalidLines++
			}
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(text[at:], &fields); err != nil {
			s.InvalidLines++
			continue
		}
		s.ValidLines++
		if id, _ := fields[fieldRequest].(string); id == s.ID {
			s.Lines = append(s.Lines, newLine(fields))
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
		// A line whose time can't be read stays, in front of the others.
		l.Timestamp, _ = time.Parse(time.RFC3339Nano, text)
	}
	for _, name := range []string{fieldMessage, fieldModule, fieldTime, fieldLevel, fieldRequest, fieldAfter} {
		delete(fields, name)
	}
	return l
}

// sorted returns the lines in order. The order on one host is certain; hosts
// follow each other by when they first read the request, since their clocks may
// differ.
func (s *Trace) sorted() []Line {
	first := make(map[string]time.Time)
	for _, l := range s.Lines {
		began := l.Timestamp.Add(-time.Duration(l.ElapsedMs * float64(time.Millisecond)))
		if at, ok := first[l.Host]; !ok || began.Before(at) {
			first[l.Host] = began
		}
	}
	lines := slices.Clone(s.Lines)
	slices.SortStableFunc(lines, func(a, b Line) int {
		if a.Host != b.Host {
			if c := first[a.Host].Compare(first[b.Host]); c != 0 {
				return c
			}
			return cmp.Compare(a.Host, b.Host)
		}
		return cmp.Compare(a.ElapsedMs, b.ElapsedMs)
	})
	return lines
}

// WriteText writes the story for a person.
func (s *Trace) WriteText(w io.Writer) {
	var b strings.Builder
	lines := s.sorted()
	fmt.Fprintf(&b, "request %s: %d lines of %d, %d lines can't be read\n", s.ID, len(lines), s.ValidLines, s.InvalidLines)
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
	// The writer is standard output; a failure shows to whoever reads it.
	_, _ = io.WriteString(w, b.String())
}
