package caller

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// readBody reads the whole body within the limits of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limits := s.Common.Settings.Limits
	control := http.NewResponseController(w)
	// Only test recorders lack deadlines; the size limit holds there too.
	_ = control.SetReadDeadline(time.Now().Add(clock.Millis(limits.BodyReadMs).Duration()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.New(result.BodyTooLarge, "body is over %d bytes", limits.MaxBodyBytes)
	}
	var slow interface{ Timeout() bool }
	if errors.As(err, &slow) && slow.Timeout() {
		return nil, result.New(result.SlowRequest, "body did not arrive within %d ms", limits.BodyReadMs)
	}
	return nil, result.New(result.MalformedRequest, "body: %v", err)
}
