package caller

import (
	"net/http"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/traffic/callerconn"
)

// readBody reads the request body within the limits of the settings. See callerconn.ReadBody for
// its errors.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limits := s.Common.Settings.Limits
	body, err := callerconn.ReadBody(w, r, limits.MaxBodyBytes, clock.Millis(limits.BodyReadMs).Duration())
	if err != nil {
		return nil, err
	}
	return body, nil
}
