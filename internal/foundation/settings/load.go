package settings

import (
	"os"
	"strings"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/hujsonfile"
)

// Load reads a settings file; see Parse.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(text)
}

// Parse decodes JSON with comments into the default settings and checks every field.
// The error has one line for each invalid field.
func Parse(text []byte) (Settings, error) {
	s := Default()
	if err := hujsonfile.Decode(text, &s); err != nil {
		return s, errors.Wrap(err, "settings")
	}
	if problems := s.Check(); len(problems) > 0 {
		return s, errors.Errorf("settings:\n%s", strings.Join(problems, "\n"))
	}
	return s, nil
}
