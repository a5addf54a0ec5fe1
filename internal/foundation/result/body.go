package result

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Response headers that carry the result to callers.
const (
	HeaderCode = "X-Result-Code"
	HeaderRun  = "X-Run"
)

// Body is the JSON body of an error response. Its error object has the members that
// clients of the chat completions API expect.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error object of a Body.
type BodyError struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Code         string `json:"code"`
	Number       int    `json:"number"`
	Run          Run    `json:"run"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
}

// NewBody returns the JSON body for e.
func NewBody(e *Error, requestID string) Body {
	return Body{Error: BodyError{
		Message:      e.Detail,
		Type:         "gypsumpitch_error",
		Code:         e.Code.Name,
		Number:       e.Code.Number,
		Run:          e.Code.Run,
		RetryAfterMs: e.RetryAfterMs(),
		RequestID:    requestID,
	}}
}

// Write sends e as the complete response. A Retry-After header that is already set is
// kept; otherwise it is the error's retry time, rounded up to seconds.
func Write(w http.ResponseWriter, e *Error, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCode, strconv.Itoa(e.Code.Number))
	h.Set(HeaderRun, string(e.Code.Run))
	if e.RetryAfterMs() > 0 && h.Get("Retry-After") == "" {
		h.Set("Retry-After", strconv.FormatInt((e.RetryAfterMs()+999)/1000, 10))
	}
	w.WriteHeader(e.Code.HTTPStatus)
	// A write error means that the caller has disconnected, so it is ignored.
	_ = json.NewEncoder(w).Encode(NewBody(e, requestID))
}
