package relay

import (
	"bytes"

	"github.com/pkg/errors"
)

// errNoEventID means that a stream of events with IDs holds something else.
var errNoEventID = errors.New("stream holds something without an event ID")

// checkEvents returns an error unless the events, the last ID among them given, may follow what the
// caller has of the stream. In a stream with event IDs, what has none is no event, such as the error
// that a server writes into its stream.
func (ex *exchange) checkEvents(events []byte, id string) error {
	format := ex.relay.Dialect.EventFormat()
	if (format.Numbered || ex.lastEventID != "" || id != "") && !haveIDs(events) {
		return errNoEventID
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
