package backend

import (
	"io"
	"net/http"
)

// ReadBody reads the complete body and closes it. It returns a *Failure if the body exceeds
// limit bytes or is truncated.
func ReadBody(response *http.Response, limit int64) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, &Failure{Kind: Truncated, Detail: err.Error()}
	}
	if int64(len(body)) > limit {
		return nil, &Failure{Kind: TooLarge, Detail: "response exceeds limits.max_answer_bytes"}
	}
	return body, nil
}
