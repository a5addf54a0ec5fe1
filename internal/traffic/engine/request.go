// Package engine speaks the chat-completions shape to model engines.
package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Request is a caller's chat-completions request.
type Request struct {
	fields       map[string]json.RawMessage
	Model        string
	Stream       bool
	wantsLogprob bool
	wantsUsage   bool
	digest       string
}

// prefixChars is how much of a prompt tells whether two share a prefix.
const prefixChars = 256

// digestBytes is how much of a hash tells requests apart.
const digestBytes = 16

// ParseRequest reads the body. Errors name the field.
func ParseRequest(body []byte) (*Request, error) {
	sum := sha256.Sum256(body)
	r := &Request{digest: hex.EncodeToString(sum[:digestBytes])}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, errors.Wrap(err, "body")
	}
	if err := r.read("model", &r.Model); err != nil {
		return nil, err
	}
	if r.Model == "" {
		return nil, errors.New("model: must not be empty")
	}
	if err := r.read("stream", &r.Stream); err != nil {
		return nil, err
	}
	if err := r.read("logprobs", &r.wantsLogprob); err != nil {
		return nil, err
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := r.read("stream_options", &options); err != nil {
		return nil, err
	}
	r.wantsUsage = options.IncludeUsage
	var messages []json.RawMessage
	if err := r.read("messages", &messages); err != nil {
		return nil, err
	}
	if len(messages) == 0 {
		return nil, errors.New("messages: must not be empty")
	}
	return r, nil
}

func (r *Request) read(field string, out any) error {
	text, ok := r.fields[field]
	if !ok {
		return nil
	}
	return errors.Wrap(json.Unmarshal(text, out), field)
}

// Prefix returns the start of the prompt, by which prompts that share cached
// prefixes are sent to the same servers.
func (r *Request) Prefix() string {
	text := string(r.fields["messages"])
	return text[:min(len(text), prefixChars)]
}

// Digest tells whether two requests are the same.
func (r *Request) Digest() string { return r.digest }

// Prompt returns the text of the messages, for the rating service.
func (r *Request) Prompt() string {
	var messages []struct {
		Content any `json:"content"`
	}
	if err := r.read("messages", &messages); err != nil {
		return ""
	}
	texts := make([]string, len(messages))
	for i, m := range messages {
		texts[i] = fmt.Sprint(m.Content)
	}
	return strings.Join(texts, "\n")
}

// bodyFor returns the body for an engine: the version in place of the route's
// name, and asking for what routing and billing need.
func (r *Request) bodyFor(version string) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(r.fields)+2)
	for k, v := range r.fields {
		fields[k] = v
	}
	model, err := json.Marshal(version)
	if err != nil {
		return nil, errors.Wrap(err, "encode model")
	}
	fields["model"] = model
	if r.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	} else {
		fields["logprobs"] = json.RawMessage("true")
	}
	return json.Marshal(fields)
}
