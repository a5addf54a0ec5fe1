package engine

import (
	"encoding/json"
	"math"

	"github.com/pkg/errors"
)

// Response is a whole answer of an engine.
type Response struct {
	fields     map[string]json.RawMessage
	Text       string
	Tokens     int64
	Confidence float64 // 0 to 1; 1 where the engine gives no log probabilities
}

type answerShape struct {
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

func parseAnswer(body []byte) (*Response, error) {
	a := &Response{Confidence: 1}
	if err := json.Unmarshal(body, &a.fields); err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	var shape answerShape
	if err := json.Unmarshal(body, &shape); err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	if len(shape.Choices) == 0 || shape.Choices[0].FinishReason == nil {
		return nil, errors.New("answer has no finished choice")
	}
	a.Text = shape.Choices[0].Message.Content
	a.Tokens = shape.Usage.CompletionTokens
	if l := shape.Choices[0].Logprobs; l != nil && len(l.Content) > 0 {
		sum := 0.0
		for _, token := range l.Content {
			sum += token.Logprob
		}
		a.Confidence = math.Exp(sum / float64(len(l.Content)))
	}
	return a, nil
}

// Body returns the answer for the caller: with the request's id and the
// route's model name, and without what only routing asked for.
func (a *Response) Body(id string, r *Request) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(a.fields))
	for k, v := range a.fields {
		fields[k] = v
	}
	if err := relabel(fields, id, r.Model); err != nil {
		return nil, err
	}
	if !r.wantsLogprob {
		if err := dropLogprobs(fields); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

func relabel(fields map[string]json.RawMessage, id, model string) error {
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

func dropLogprobs(fields map[string]json.RawMessage) error {
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
