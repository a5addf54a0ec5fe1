package engine

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/proof/rawhttp"
	"gypsumpitch.example/gypsumpitch/internal/traffic/backend"
)

// TestErrorInStream has an engine write an error into its stream in the same write as a chunk.
// Guards against the stream being taken for complete, or the error for a part of it.
func TestErrorInStream(t *testing.T) {
	request, err := ParseRequest([]byte(chatRequest))
	assert.NilError(t, err)
	const head = "HTTP/1.1 500 Internal Server Error\r\n" + ownHeaders + "Content-Length: 0\r\n\r\n"
	chunk := strings.ReplaceAll(wholeStream, `"stop"`, "null")
	texts := map[string]string{
		"alone":                      head,
		"behind a chunk":             chunk + head,
		"behind the last chunk":      wholeStream + head,
		"before a chunk":             head + chunk,
		"between chunks":             chunk + head + chunk,
		"behind a part of a chunk":   chunk + chunk[:len(chunk)-9] + head,
		"part, and the end mark":     chunk + chunk[:len(chunk)-9] + head + endOfStream,
		"as data, and the end mark":  chunk + "data: " + head + endOfStream,
		"behind a part of the mark":  wholeStream + strings.TrimSuffix(endOfStream, "]\n\n") + head,
		"as text, and no end":        chunk + "overloaded\n\n",
		"behind a comment, no chunk": ": busy\n\n" + head,
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			framed := map[string]string{
				"connection": rawhttp.StatusOK + ownHeaders + "\r\n" + text,
				"length":     rawhttp.WithLength(ownHeaders, text),
				"chunks":     rawhttp.WithTrailer(ownHeaders, text, ""),
			}
			for framing, answer := range framed {
				stream, err := NewClient(answerLimit).OpenStream(t.Context(), serveText(t, answer), request)
				assert.NilError(t, err)
				defer stream.Close()
				var got strings.Builder
				for err == nil {
					var c *Chunk
					if c, err = stream.Next(); err == nil {
						got.WriteString(c.Text)
					}
				}
				var failure *backend.Failure
				assert.Assert(t, errors.As(err, &failure), "framed by %s: %v", framing, err)
				assert.Assert(t, strings.Trim(got.String(), "yes") == "", "framed by %s: %s", framing, got.String())
			}
		})
	}
}
