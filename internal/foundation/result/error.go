package result

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is an error with a result code.
type Error struct {
	Code   Code
	Detail string
	// RetryAfterOverrideMs replaces the code's retry time if it is above 0.
	RetryAfterOverrideMs int64
	cause                error
}

// New returns an error with the code and a formatted detail.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with the code and the cause's text as detail.
func Wrap(cause error, code Code) *Error {
	return &Error{Code: code, Detail: cause.Error(), cause: cause}
}

// WithRetryAfter returns a copy of e with the given retry time instead of the code's.
func (e *Error) WithRetryAfter(ms int64) *Error {
	c := *e
	c.RetryAfterOverrideMs = ms
	return &c
}

// RetryAfterMs returns the time after which the caller should retry; 0 if a retry
// doesn't help.
func (e *Error) RetryAfterMs() int64 {
	if e.RetryAfterOverrideMs > 0 {
		return e.RetryAfterOverrideMs
	}
	return e.Code.RetryAfterMs
}

// Error returns the code's number and name and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code.Number, e.Code.Name, e.Detail)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// From returns the Error in the chain of err, or err wrapped with the code Internal.
func From(err error) *Error {
	var coded *Error
	if errors.As(err, &coded) {
		return coded
	}
	return Wrap(err, Internal)
}
