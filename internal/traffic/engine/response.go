package engine

import (
	"encoding/json"
	"math"

	"github.com/pkg/errors"
)

// Response is a complete, non-streamed response of an engine.
type Response struct {
	fields     map[string]json.RawMessage
	Text       string
	Tokens     int64
	Confidence float64 // 0 to 1; 1 if the engine returned no log probabilities
}

type responseBody struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		FinishReason *string `json:"finish_reason"`
		Logprobs     *struct {
			Content []struct {
				Logprob float64 `json:"logprob"`
			} `json:"content"`
		} `json:"logprobs"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

func parseResponse(body []byte) (*Response, error) {
	r := &Response{Confidence: 1}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	var parsed responseBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	if len(parsed.Choices) == 0 || parsed.Choices[0].FinishReason == nil {
		return nil, errors.New("response has no choice with a finish reason")
	}
	r.Text = parsed.Choices[0].Message.Content
	r.Tokens = parsed.Usage.CompletionTokens
	if l := parsed.Choices[0].Logprobs; l != nil && len(l.Content) > 0 {
		sum := 0.0
		for _, token := range l.Content {
			sum += token.Logprob
		}
		// The geometric mean of the token probabilities.
		r.Confidence = math.Exp(sum / float64(len(l.Content)))
	}
	return r, nil
}

// Body returns the JSON body for the caller. It has the given request ID and the model name
// of the request, and log probabilities only if the caller requested them.
func (r *Response) Body(id string, req *Request) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(r.fields))
	for k, v := range r.fields {
		fields[k] = v
	}
	if err := setIDAndModel(fields, id, req.Model); err != nil {
		return nil, err
	}
	if !req.wantsLogprobs {
		if err := removeLogprobs(fields); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

func setIDAndModel(fields map[string]json.RawMessage, id, model string) error {
	encodedID, err := json.Marshal("chatcmpl-" + id)
	if err != nil {
		return errors.Wrap(err, "encode id")
	}
	encodedModel, err := json.Marshal(model)
	if err != nil {
		return errors.Wrap(err, "encode model")
	}
	fields["id"], fields["model"] = encodedID, encodedModel
	return nil
}

func removeLogprobs(fields map[string]json.RawMessage) error {
	var choices []map[string]json.RawMessage
	if err := json.Unmarshal(fields["choices"], &choices); err != nil {
		return errors.Wrap(err, "choices")
	}
	for _, choice := range choices {
		delete(choice, "logprobs")
	}
	encoded, err := json.Marshal(choices)
	fields["choices"] = encoded
	return errors.Wrap(err, "choices")
}
