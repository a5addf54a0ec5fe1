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
	endMark     = []byte("[DONE]")
)

// Chunk is one event of a stream.
type Chunk struct {
	fields   map[string]json.RawMessage
	Text     string
	HasToken bool
	Finished bool
	Tokens   int64 // of the whole answer, where the chunk tells
	bare     bool  // carries usage alone
}

// Stream reads the events of an answer.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
}

func newStream(body io.ReadCloser) *Stream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	return &Stream{body: body, scanner: scanner}
}

// Close ends the stream, which also tells the engine to stop.
func (s *Stream) Close() { _ = s.body.Close() }

// Next returns the next chunk, io.EOF after the end mark, or a *backend.Failure
// where the stream ends without one.
func (s *Stream) Next() (*Chunk, error) {
	for s.scanner.Scan() {
		line := s.scanner.Bytes()
		if !bytes.HasPrefix(line, eventPrefix) {
			continue
		}
		data := bytes.TrimPrefix(line, eventPrefix)
		if bytes.Equal(data, endMark) {
			return nil, io.EOF
		}
		return parseChunk(data)
	}
	detail := "stream ended before its end mark"
	if err := s.scanner.Err(); err != nil {
		detail = err.Error()
	}
	return nil, &backend.Failure{Kind: backend.Truncated, Detail: detail}
}

func parseChunk(data []byte) (*Chunk, error) {
	c := &Chunk{}
	var shape struct {
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
	if err := json.Unmarshal(data, &shape); err != nil {
		return nil, &backend.Failure{Kind: backend.Truncated, Detail: err.Error()}
	}
	c.bare = len(shape.Choices) == 0
	if !c.bare {
		c.Text = shape.Choices[0].Delta.Content
		c.HasToken = c.Text != ""
		c.Finished = shape.Choices[0].FinishReason != nil
	}
	if shape.Usage != nil {
		c.Tokens = shape.Usage.CompletionTokens
	}
	return c, nil
}

// Event returns the chunk for the caller, or nothing where the caller didn't
// ask for what it carries.
func (c *Chunk) Event(id string, r *Request) ([]byte, error) {
	if c.bare && !r.wantsUsage {
		return nil, nil
	}
	if !r.wantsUsage {
		delete(c.fields, "usage")
	}
	if err := relabel(c.fields, id, r.Model); err != nil {
		return nil, err
	}
	data, err := json.Marshal(c.fields)
	if err != nil {
		return nil, errors.Wrap(err, "encode chunk")
	}
	return append(append([]byte("data: "), data...), '\n', '\n'), nil
}

// DoneEvent is the end mark for the caller.
func DoneEvent() []byte { return []byte("data: [DONE]\n\n") }
