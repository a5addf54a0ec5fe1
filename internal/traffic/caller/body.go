package caller

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// readBody reads the request body. It returns BodyTooLarge, SlowRequest or
// MalformedRequest if the body exceeds a limit or can't be read.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limits := s.Common.Settings.Limits
	controller := http.NewResponseController(w)
	// Fails only with test recorders, which have no deadlines; the size limit applies to
	// them too.
	_ = controller.SetReadDeadline(time.Now().Add(clock.Millis(limits.BodyReadMs).Duration()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes))
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.New(result.BodyTooLarge, "body is larger than %d bytes", limits.MaxBodyBytes)
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil, result.New(result.SlowRequest, "body did not arrive within %d ms", limits.BodyReadMs)
	}
	return nil, result.New(result.MalformedRequest, "failed to read the body: %v", err)
}
