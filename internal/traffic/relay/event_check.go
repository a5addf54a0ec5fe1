package relay

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// errNoEventID means that a stream of events with IDs holds something else.
var errNoEventID = errors.New("stream holds something without an event ID")

// errEventOrder means that an event comes twice or too late, or that its ID is no number.
var errEventOrder = errors.New("event IDs of the stream don't increase")

// errNoEventField means that an event holds a line of something else, such as the head of an error
// that a server writes behind a part of the event.
var errNoEventField = errors.New("event holds a line that is no field")

// checkEvents returns an error unless the events, the last ID among them given, may follow what the
// caller has of the stream: errNoEventID, errEventOrder or errNoEventField. The caller gets none of
// the events then, since the server may have failed before any of them.
func (ex *exchange) checkEvents(events []byte, id string) error {
	format := ex.relay.Dialect.EventFormat()
	if (format.Numbered || ex.lastEventID != "" || id != "") && !haveIDs(events) {
		return errNoEventID
	}
	if format.Numbered && !idsIncrease(events, ex.lastEventID) {
		return errEventOrder
	}
	if format.LowercaseFields && !haveLowercaseFields(events) {
		return errNoEventField
	}
	return nil
}

// haveIDs reports whether each of the events has an ID. Comments need none.
func haveIDs(events []byte) bool {
	hasID, needsID := false, false
	for line := range bytes.Lines(events) {
		switch line = bytes.TrimRight(line, "\r\n"); {
		case len(line) == 0:
			if needsID && !hasID {
				return false
			}
			hasID, needsID = false, false
		case bytes.HasPrefix(line, []byte("id:")):
			hasID = true
		case line[0] != ':':
			needsID = true
		}
	}
	return hasID || !needsID
}

// idsIncrease reports whether the IDs of the events are decimal numbers, each above the one before.
// last is the ID before the first of them; it is passed over if it is no number.
func idsIncrease(events []byte, last string) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	isKnown := err == nil
	for line := range bytes.Lines(events) {
		value, isID := bytes.CutPrefix(line, []byte("id:"))
		if !isID {
			continue
		}
		number, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil || (isKnown && number <= before) {
			return false
		}
		before, isKnown = number, true
	}
	return true
}

// haveLowercaseFields reports whether each line of the events is a comment or a field whose name is in
// lowercase.
func haveLowercaseFields(events []byte) bool {
	for line := range bytes.Lines(events) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if bytes.ContainsFunc(name, isOutsideField) {
			return false
		}
	}
	return true
}

// isOutsideField reports whether no name of a field in lowercase holds the character.
func isOutsideField(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_'
}
