package settings

import (
	"os"
	"strings"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/hujsonfile"
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
	if err := hujsonfile.Decode(text, &s); err != nil {
		return s, errors.Wrap(err, "settings")
	}
	if lines := s.Check(); len(lines) > 0 {
		return s, errors.Errorf("settings:\n%s", strings.Join(lines, "\n"))
	}
	return s, nil
}
