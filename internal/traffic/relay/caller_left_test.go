package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// TestHalfClosedCallerIsAnswered has a caller close its sending side after its request. Guards
// against its connection being closed without an answer though it still reads.
func TestHalfClosedCallerIsAnswered(t *testing.T) {
	f := newFixture(t, routes(), hang)
	conn, reader := f.dial("/read/1", "HTTP/1.1")
	waitFor(t, 5*time.Second, func() bool { return f.callCount() > 0 })
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
}

// TestCanceledErrorIsAnswered ends a request with the error of a context that the daemon ended, while
// the caller waits. Guards against taking it for the caller's leaving.
func TestCanceledErrorIsAnswered(t *testing.T) {
	f := newFixture(t, routes(), respond("ledger"))
	ex, _ := f.planAhead()
	recorder := httptest.NewRecorder()
	ex.w = &callerWriter{ResponseWriter: recorder, ex: ex}
	ex.finishWithError(errors.Wrap(context.Canceled, "call"))
	assert.Equal(t, recorder.Code, http.StatusInternalServerError)
}
