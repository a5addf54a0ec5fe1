package relay

import (
	"net/http"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// writeMargin is how long after the request's deadline the response may still be written.
const writeMargin = 1_000 * clock.Millis(1)

// callerWriter writes the response to the caller. From the first write on, it ends writes
// shortly after the request's deadline: a caller that keeps its connection but doesn't read
// would hold the exchange. The HTTP server removes the limit after the response.
type callerWriter struct {
	http.ResponseWriter
	ex      *exchange
	limited bool
	written int64 // bytes of the body
	err     error // of the first write that failed
}

// Unwrap returns the writer of the HTTP server, for http.ResponseController.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the header.
func (w *callerWriter) WriteHeader(status int) {
	w.limit()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *callerWriter) Write(p []byte) (int, error) {
	w.limit()
	n, err := w.ResponseWriter.Write(p)
	w.written += int64(n)
	w.noteError(err)
	return n, err
}

// FlushError sends what was written to the caller.
func (w *callerWriter) FlushError() error {
	err := http.NewResponseController(w.ResponseWriter).Flush()
	w.noteError(err)
	return err
}

func (w *callerWriter) noteError(err error) {
	if w.err == nil {
		w.err = err
	}
}

// limit sets the deadline of writes at the first call. A request that was rejected before it
// had a deadline gets the margin alone.
func (w *callerWriter) limit() {
	if w.limited {
		return
	}
	w.limited = true
	now := w.ex.relay.Clock.Now()
	left := max(w.ex.deadline-now, 0) + writeMargin
	if err := http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(left.Duration())); err != nil {
		w.ex.log("no write deadline", nil, "error", err.Error())
	}
}

// resetConn resets the caller's connection. An HTTP/1.0 caller would take the response for
// complete if the connection were closed in order: its length need not be stated.
func (ex *exchange) resetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		ex.log("failed to reset the connection", nil, "error", err.Error())
		return
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); !ok {
		ex.log("failed to reset the connection", nil, "error", "it has no linger time")
	} else if err := tcp.SetLinger(0); err != nil {
		ex.log("failed to reset the connection", nil, "error", err.Error())
	}
}
