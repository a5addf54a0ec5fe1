package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
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
	reader  *bufio.Reader
	line    []byte // the last one, if it exceeds the buffer of the reader
	holding *admission.Holding
}

func newStream(body io.ReadCloser, holding *admission.Holding) *Stream {
	return &Stream{body: body, reader: bufio.NewReader(body), holding: holding}
}

// Close closes the response body. If the stream is unfinished, this closes the connection,
// which makes the engine stop generating.
func (s *Stream) Close() { _ = s.body.Close() }

// Next returns the next chunk. It returns io.EOF at the done marker, or a *backend.Failure
// if the stream ends without one.
func (s *Stream) Next() (*Chunk, error) {
	for {
		line, err := s.nextLine()
		if err != nil {
			return nil, err
		}
		if !bytes.HasPrefix(line, eventPrefix) {
			continue
		}
		data := bytes.TrimPrefix(line, eventPrefix)
		if bytes.Equal(data, doneMarker) {
			return nil, io.EOF
		}
		return parseChunk(data)
	}
}

// nextLine returns the next line without its end. The bytes are valid until the next call. A line
// beyond the buffer of the reader is counted. Errors are *backend.Failure.
func (s *Stream) nextLine() ([]byte, error) {
	s.line = s.line[:0]
	for {
		part, err := s.reader.ReadSlice('\n')
		if err == nil && len(s.line) == 0 {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		if len(s.line)+len(part) > maxEventBytes {
			return nil, &backend.Failure{Kind: backend.Truncated, Detail: "a line of the stream is too long"}
		}
		if !s.makeRoom(len(part)) {
			return nil, &backend.Failure{Kind: backend.Truncated, Detail: "the memory for responses is used up"}
		}
		s.line = append(s.line, part...)
		switch {
		case err == nil, errors.Is(err, io.EOF) && len(s.line) > 0:
			return bytes.TrimRight(s.line, "\r\n"), nil
		case errors.Is(err, io.EOF):
			return nil, &backend.Failure{Kind: backend.Truncated, Detail: "stream ended without the [DONE] event"}
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, &backend.Failure{Kind: backend.Truncated, Detail: err.Error()}
		}
	}
}

// makeRoom makes room for more bytes of a line. It reports false if there is no memory for them.
func (s *Stream) makeRoom(more int) bool {
	size := cap(s.line)
	if len(s.line)+more <= size {
		return true
	}
	larger := max(2*size, len(s.line)+more)
	if !s.holding.Grow(int64(larger)) {
		return false
	}
	s.line = append(make([]byte, 0, larger), s.line...)
	s.holding.Shrink(int64(size))
	return true
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
