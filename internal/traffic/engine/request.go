// Package engine is a client of model engines that serve the chat-completions API.
package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Request is a caller's chat-completions request. It is not modified after ParseRequest.
type Request struct {
	fields        map[string]json.RawMessage
	Model         string
	Stream        bool
	wantsLogprobs bool
	wantsUsage    bool
	digest        string
}

// prefixBytes is the length of the start of the messages by which prompts are grouped.
const prefixBytes = 256

// digestBytes is the length of the truncated SHA-256 digest.
const digestBytes = 16

// ParseRequest decodes the JSON body. Errors name the invalid field.
func ParseRequest(body []byte) (*Request, error) {
	sum := sha256.Sum256(body)
	r := &Request{digest: hex.EncodeToString(sum[:digestBytes])}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, errors.Wrap(err, "body")
	}
	if err := r.decodeField("model", &r.Model); err != nil {
		return nil, err
	}
	if r.Model == "" {
		return nil, errors.New("model: must not be empty")
	}
	if err := r.decodeField("stream", &r.Stream); err != nil {
		return nil, err
	}
	if err := r.decodeField("logprobs", &r.wantsLogprobs); err != nil {
		return nil, err
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := r.decodeField("stream_options", &options); err != nil {
		return nil, err
	}
	r.wantsUsage = options.IncludeUsage
	var messages []json.RawMessage
	if err := r.decodeField("messages", &messages); err != nil {
		return nil, err
	}
	if len(messages) == 0 {
		return nil, errors.New("messages: must not be empty")
	}
	return r, nil
}

// decodeField leaves out unchanged if the request does not have the field.
func (r *Request) decodeField(field string, out any) error {
	raw, ok := r.fields[field]
	if !ok {
		return nil
	}
	return errors.Wrap(json.Unmarshal(raw, out), field)
}

// Prefix returns the start of the JSON-encoded messages. Requests with the same prefix are
// preferably sent to the same servers, which may have it cached.
func (r *Request) Prefix() string {
	messages := string(r.fields["messages"])
	return messages[:min(len(messages), prefixBytes)]
}

// Digest identifies the body of the request, in hexadecimal.
func (r *Request) Digest() string { return r.digest }

// Prompt returns the text of the messages, one per line, for the rating service.
func (r *Request) Prompt() string {
	var messages []struct {
		Content any `json:"content"`
	}
	if err := r.decodeField("messages", &messages); err != nil {
		return ""
	}
	texts := make([]string, len(messages))
	for i, m := range messages {
		texts[i] = fmt.Sprint(m.Content)
	}
	return strings.Join(texts, "\n")
}

// bodyFor returns the body for an engine. It names the version as the model and requests
// the usage of a stream, or the log probabilities of a complete response, which billing and
// routing need.
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
