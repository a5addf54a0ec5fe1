package backend

import (
	"io"
	"net/http"
)

// ReadBody reads the answer's body and closes it. An answer over the limit of
// bytes, or one that ends early, is a *Failure.
func ReadBody(response *http.Response, limit int64) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, &Failure{Kind: Truncated, Detail: err.Error()}
	}
	if int64(len(body)) > limit {
		return nil, &Failure{Kind: TooLarge, Detail: "answer is over limits.max_answer_bytes"}
	}
	return body, nil
}
