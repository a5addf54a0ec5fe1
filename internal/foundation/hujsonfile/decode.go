// Package hujsonfile decodes JSON with comments and trailing commas.
package hujsonfile

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Decode decodes text into out and rejects unknown fields. Decoding errors name the line.
func Decode(text []byte, out any) error {
	// hujson requires a newline after a line comment, but files may end without one.
	standard, err := hujson.Standardize(append(bytes.Clone(text), '\n'))
	if err != nil {
		return errors.WithStack(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		consumed := standard[:min(int(decoder.InputOffset()), len(standard))]
		return errors.Wrapf(err, "line %d", 1+bytes.Count(consumed, []byte("\n")))
	}
	return nil
}
