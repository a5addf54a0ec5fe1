package tables

import (
	"bytes"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"gypsumpitch.example/gypsumpitch/internal/foundation/hujsonfile"
)

// Parse decodes a document from JSON with comments and validates it. Errors name the field
// and the line. A document that breaks validation rules is returned together with the
// Problems.
func Parse(text []byte) (*Document, error) {
	doc := &Document{}
	if err := hujsonfile.Decode(text, doc); err != nil {
		return nil, errors.Wrap(err, "tables")
	}
	problems := doc.Validate()
	for i := range problems {
		problems[i].Line = FindLine(text, problems[i].Path)
	}
	if len(problems) > 0 {
		return doc, problems
	}
	return doc, nil
}

// FindLine returns the line, counted from 1, of the longest prefix of the dotted path that
// is present in the text, or 0 if there is none or the text can't be parsed.
func FindLine(text []byte, path string) int {
	value, err := hujson.Parse(text)
	if err != nil {
		return 0
	}
	parts := strings.Split(path, ".")
	for n := len(parts); n > 0; n-- {
		found := value.Find("/" + strings.Join(parts[:n], "/"))
		if found != nil {
			return 1 + bytes.Count(text[:found.StartOffset], []byte("\n"))
		}
	}
	return 0
}
