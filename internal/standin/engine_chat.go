package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/traffic/backend"
)

type chatRequest struct {
	Model    string `json:"model"` // as model@version
	Stream   bool   `json:"stream"`
	Messages []struct {
		Content any `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

type chatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

type chatChoice struct {
	Index        int           `json:"index"`
	Message      *chatMessage  `json:"message,omitempty"`
	Delta        *chatMessage  `json:"delta,omitempty"`
	Logprobs     *chatLogprobs `json:"logprobs,omitempty"`
	FinishReason *string       `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatLogprobs struct {
	Content []chatTokenLogprob `json:"content"`
}

type chatTokenLogprob struct {
	Token   string  `json:"token"`
	Logprob float64 `json:"logprob"`
}

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.rejectRequest(w, request.Model) {
		return
	}
	incarnation, ok := e.acquireSlot(r.Context().Done())
	if !ok {
		abortConnection()
	}
	defer e.releaseSlot()
	e.mu.Lock()
	e.served[request.Model]++
	e.mu.Unlock()
	id := r.Header.Get(backend.HeaderRequestID)
	if e.faults.consume(func(f *Faults) *int { return &f.CrossAnswers }) {
		id = "another-request"
	}
	w.Header().Set(backend.HeaderRequestID, id)
	words := e.answerWords(request, r.Header.Get(backend.HeaderRequestID))
	time.Sleep(e.settings.PrefillDuration)
	if request.Stream {
		e.streamAnswer(w, r, request, id, words, incarnation)
		return
	}
	time.Sleep(e.settings.TokenInterval * time.Duration(len(words)))
	if !e.isCurrent(incarnation) {
		abortConnection()
	}
	stop := "stop"
	response := e.newResponse(request, id)
	response.Choices[0].Message = &chatMessage{"assistant", strings.Join(words, " ")}
	response.Choices[0].FinishReason = &stop
	response.Choices[0].Logprobs = newLogprobs(words)
	response.Usage = newUsage(request, len(words))
	writeJSON(w, response)
}

// rejectRequest sends an error response if the engine is leaving or has not loaded the
// model, and reports whether it did.
func (e *Engine) rejectRequest(w http.ResponseWriter, model string) bool {
	e.mu.Lock()
	loaded := slices.Contains(e.loadedModels, model)
	e.mu.Unlock()
	if e.faults.Get().Leaving {
		w.Header().Set(backend.HeaderLeaving, "true")
		w.Header().Set(backend.HeaderNotRun, "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return true
	}
	if !loaded {
		w.Header().Set(backend.HeaderNotRun, "true")
		http.Error(w, "model "+model+" is not loaded", http.StatusNotFound)
		return true
	}
	return false
}

// answerWords derives the answer from the request ID and model@version alone, so that
// another engine can resume the stream. The attempt number, which follows the dot in
// an ID, is left out.
func (e *Engine) answerWords(request chatRequest, id string) []string {
	n := e.settings.ResponseTokens
	if request.MaxTokens > 0 {
		n = min(n, request.MaxTokens)
	}
	h := fnv.New32a()
	baseID, _, _ := strings.Cut(id, ".")
	_, _ = h.Write([]byte(request.Model + baseID))
	bad := int(h.Sum32()%100) < e.settings.BadPercent[request.Model]+e.faults.Get().BadPercent
	words := make([]string, n)
	for i := range words {
		words[i] = fmt.Sprintf("w%d", i)
	}
	if bad && n > 0 {
		words[n-1] = badAnswerMarker
	}
	return words
}

// newLogprobs gives bad answers a lower confidence, as real models tend to.
func newLogprobs(words []string) *chatLogprobs {
	probability := 0.92
	if len(words) > 0 && words[len(words)-1] == badAnswerMarker {
		probability = 0.45
	}
	logprobs := &chatLogprobs{}
	for _, word := range words {
		logprobs.Content = append(logprobs.Content, chatTokenLogprob{word, math.Log(probability)})
	}
	return logprobs
}

func newUsage(request chatRequest, tokens int) *chatUsage {
	promptTokens := 0
	for _, m := range request.Messages {
		promptTokens += len(strings.Fields(fmt.Sprint(m.Content)))
	}
	return &chatUsage{promptTokens, tokens, promptTokens + tokens}
}

func (e *Engine) newResponse(request chatRequest, id string) chatResponse {
	return chatResponse{ID: id, Object: "chat.completion", Created: time.Now().Unix(), Model: request.Model, Choices: make([]chatChoice, 1)}
}

func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, request chatRequest, id string, words []string, incarnation int) {
	w.Header().Set("Content-Type", "text/event-stream")
	offset, _ := strconv.Atoi(r.Header.Get(backend.HeaderResumeOffset))
	abortAt := -1
	if e.faults.consume(func(f *Faults) *int { return &f.CutStreams }) {
		abortAt = len(words) / 2
	}
	for i := offset; i < len(words); i++ {
		if i == abortAt || !e.isCurrent(incarnation) || r.Context().Err() != nil {
			abortConnection()
		}
		chunk := e.newResponse(request, id)
		chunk.Object = "chat.completion.chunk"
		chunk.Choices[0].Delta = &chatMessage{Content: words[i] + " "}
		writeEvent(w, chunk)
		time.Sleep(e.settings.TokenInterval)
	}
	stop := "stop"
	last := e.newResponse(request, id)
	last.Object = "chat.completion.chunk"
	last.Choices[0].Delta = &chatMessage{}
	last.Choices[0].FinishReason = &stop
	last.Usage = newUsage(request, len(words))
	writeEvent(w, last)
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

func writeEvent(w http.ResponseWriter, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		abortConnection()
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", text)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
