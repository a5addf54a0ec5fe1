// Package hujsonfile reads JSON with comments, as people write it.
package hujsonfile

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Decode reads the text into out and refuses unknown fields. Errors name the line.
func Decode(text []byte, out any) error {
	// A comment on the last line needs a line end, which editors may leave out.
	standard, err := hujson.Standardize(append(bytes.Clone(text), '\n'))
	if err != nil {
		return errors.WithStack(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		read := standard[:min(int(decoder.InputOffset()), len(standard))]
		return errors.Wrapf(err, "line %d", 1+bytes.Count(read, []byte("\n")))
	}
	return nil
}
