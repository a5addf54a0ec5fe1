package result

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is a failure with its numbered code.
type Error struct {
	Code   Code
	Detail string
	// RetryAfterOverrideMs is when the caller should come back, where more is known than the
	// code's own time; 0 where not.
	RetryAfterOverrideMs int64
	cause                error
}

// New returns an error with the code and a formatted detail.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with the code whose detail is the cause's text.
func Wrap(cause error, code Code) *Error {
	return &Error{Code: code, Detail: cause.Error(), cause: cause}
}

// WithRetryAfter returns a copy that says when the caller should come back, in ms.
func (e *Error) WithRetryAfter(ms int64) *Error {
	c := *e
	c.RetryAfterOverrideMs = ms
	return &c
}

// RetryAfterMs returns when the caller should come back; 0 where that won't help.
func (e *Error) RetryAfterMs() int64 {
	if e.RetryAfterOverrideMs > 0 {
		return e.RetryAfterOverrideMs
	}
	return e.Code.RetryAfterMs
}

// Error gives number, name and detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code.Number, e.Code.Name, e.Detail)
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.cause }

// From returns err as a numbered error; one without a number becomes Internal.
func From(err error) *Error {
	var numbered *Error
	if errors.As(err, &numbered) {
		return numbered
	}
	return Wrap(err, Internal)
}
