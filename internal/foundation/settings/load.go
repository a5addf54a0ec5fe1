package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Load reads a settings file over the defaults and checks every field.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(text)
}

// Parse lays the text, JSON with comments, over the defaults and checks every field.
func Parse(text []byte) (Settings, error) {
	s := Default()
	standard, err := hujson.Standardize(text)
	if err != nil {
		return s, errors.Wrap(err, "settings")
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, errors.Wrap(err, "settings")
	}
	if lines := s.Check(); len(lines) > 0 {
		return s, errors.Errorf("settings:\n%s", strings.Join(lines, "\n"))
	}
	return s, nil
}
