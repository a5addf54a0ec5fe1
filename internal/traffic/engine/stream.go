package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/traffic/backend"
)

const maxEventBytes = 1 << 20

var (
	eventPrefix = []byte("data: ")
	doneMarker  = []byte("[DONE]")
)

// Chunk is one event of a streamed response.
type Chunk struct {
	fields    map[string]json.RawMessage
	Text      string
	HasToken  bool
	Finished  bool  // has a finish reason
	Tokens    int64 // of the complete response; 0 if the chunk does not report usage
	usageOnly bool
}

// Stream reads the server-sent events of a response. Not safe for concurrent use.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
}

func newStream(body io.ReadCloser) *Stream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	return &Stream{body: body, scanner: scanner}
}

// Close closes the response body. If the stream is unfinished, this closes the connection,
// which makes the engine stop generating.
func (s *Stream) Close() { _ = s.body.Close() }

// Next returns the next chunk. It returns io.EOF at the done marker, or a *backend.Failure
// if the stream ends without one.
func (s *Stream) Next() (*Chunk, error) {
	for s.scanner.Scan() {
		line := s.scanner.Bytes()
		if !bytes.HasPrefix(line, eventPrefix) {
			continue
		}
		data := bytes.TrimPrefix(line, eventPrefix)
		if bytes.Equal(data, doneMarker) {
			return nil, io.EOF
		}
		return parseChunk(data)
	}
	detail := "stream ended without the [DONE] event"
	if err := s.scanner.Err(); err != nil {
		detail = err.Error()
	}
	return nil, &backend.Failure{Kind: backend.Truncated, Detail: detail}
}

func parseChunk(data []byte) (*Chunk, error) {
	c := &Chunk{}
	var parsed struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
		Usage *struct {
			CompletionTokens int64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(data, &c.fields); err != nil {
		return nil, &backend.Failure{Kind: backend.Truncated, Detail: err.Error()}
	}
	if err := json.Unmarshal(data, &parsed); err != nil {
		return nil, &backend.Failure{Kind: backend.Truncated, Detail: err.Error()}
	}
	c.usageOnly = len(parsed.Choices) == 0
	if !c.usageOnly {
		c.Text = parsed.Choices[0].Delta.Content
		c.HasToken = c.Text != ""
		c.Finished = parsed.Choices[0].FinishReason != nil
	}
	if parsed.Usage != nil {
		c.Tokens = parsed.Usage.CompletionTokens
	}
	return c, nil
}

// Event returns the server-sent event for the caller, with the given request ID and the
// model name of the request. It returns nil for a chunk that only reports usage that the
// caller did not request. Event modifies the chunk.
func (c *Chunk) Event(id string, r *Request) ([]byte, error) {
	if c.usageOnly && !r.wantsUsage {
		return nil, nil
	}
	if !r.wantsUsage {
		delete(c.fields, "usage")
	}
	if err := setIDAndModel(c.fields, id, r.Model); err != nil {
		return nil, err
	}
	data, err := json.Marshal(c.fields)
	if err != nil {
		return nil, errors.Wrap(err, "encode chunk")
	}
	return append(append([]byte("data: "), data...), '\n', '\n'), nil
}

// DoneEvent returns the event that ends a complete stream.
func DoneEvent() []byte { return []byte("data: [DONE]\n\n") }
