package backend

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/readall"
)

// ReadBody reads the complete body and closes it. What it takes is counted in the holding. It
// returns a *Failure if the body exceeds limit bytes, is truncated or finds no memory.
func ReadBody(response *http.Response, limit int64, holding *admission.Holding) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	body, err := readall.ReadAll(io.LimitReader(response.Body, limit+1), min(response.ContentLength, limit+1), holding)
	switch {
	case errors.Is(err, readall.ErrNoMemory):
		return nil, noMemory()
	case err != nil:
		return nil, &Failure{Kind: Truncated, Detail: err.Error()}
	case int64(len(body)) > limit:
		holding.Shrink(int64(cap(body)))
		return nil, &Failure{Kind: TooLarge, Detail: "response exceeds limits.max_answer_bytes"}
	}
	return body, nil
}

// noMemory returns the failure of a call whose response is unusually large while others are.
func noMemory() *Failure {
	return &Failure{Kind: TooLarge, Detail: "the memory for responses is used up"}
}
