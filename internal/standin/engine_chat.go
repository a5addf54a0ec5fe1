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
	Model    string `json:"model"` // model@version
	Stream   bool   `json:"stream"`
	Messages []struct {
		Content any `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

type chatReply struct {
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
	if e.refuses(w, request.Model) {
		return
	}
	incarnation, ok := e.enter(r.Context().Done())
	if !ok {
		cut()
	}
	defer e.leave()
	e.mu.Lock()
	e.served[request.Model]++
	e.mu.Unlock()
	id := r.Header.Get(backend.HeaderRequestID)
	if e.faults.use(func(f *Faults) *int { return &f.CrossAnswers }) {
		id = "another-request"
	}
	w.Header().Set(backend.HeaderRequestID, id)
	words := e.answer(request, r.Header.Get(backend.HeaderRequestID))
	time.Sleep(e.settings.PrefillDuration)
	if request.Stream {
		e.stream(w, r, request, id, words, incarnation)
		return
	}
	time.Sleep(e.settings.TokenInterval * time.Duration(len(words)))
	if !e.alive(incarnation) {
		cut()
	}
	stop := "stop"
	reply := e.reply(request, id)
	reply.Choices[0].Message = &chatMessage{"assistant", strings.Join(words, " ")}
	reply.Choices[0].FinishReason = &stop
	reply.Choices[0].Logprobs = logprobs(words)
	reply.Usage = usage(request, len(words))
	writeJSON(w, reply)
}

func (e *Engine) refuses(w http.ResponseWriter, model string) bool {
	e.mu.Lock()
	holds := slices.Contains(e.holds, model)
	e.mu.Unlock()
	if e.faults.Get().Leaving {
		w.Header().Set(backend.HeaderLeaving, "true")
		w.Header().Set(backend.HeaderNotRun, "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return true
	}
	if !holds {
		w.Header().Set(backend.HeaderNotRun, "true")
		http.Error(w, "model "+model+" is not loaded", http.StatusNotFound)
		return true
	}
	return false
}

// answer makes the words by the prompt and the version alone, so that another
// engine can resume the stream.
func (e *Engine) answer(request chatRequest, id string) []string {
	n := e.settings.ResponseTokens
	if request.MaxTokens > 0 {
		n = min(n, request.MaxTokens)
	}
	h := fnv.New32a()
	base, _, _ := strings.Cut(id, ".")
	_, _ = h.Write([]byte(request.Model + base))
	bad := int(h.Sum32()%100) < e.settings.BadPercent[request.Model]+e.faults.Get().BadPercent
	words := make([]string, n)
	for i := range words {
		words[i] = fmt.Sprintf("w%d", i)
	}
	if bad && n > 0 {
		words[n-1] = badAnswerMark
	}
	return words
}

// logprobs gives bad answers a low confidence, as models tend to.
func logprobs(words []string) *chatLogprobs {
	p := 0.92
	if len(words) > 0 && words[len(words)-1] == badAnswerMark {
		p = 0.45
	}
	l := &chatLogprobs{}
	for _, word := range words {
		l.Content = append(l.Content, chatTokenLogprob{word, math.Log(p)})
	}
	return l
}

func usage(request chatRequest, tokens int) *chatUsage {
	prompt := 0
	for _, m := range request.Messages {
		prompt += len(strings.Fields(fmt.Sprint(m.Content)))
	}
	return &chatUsage{prompt, tokens, prompt + tokens}
}

func (e *Engine) reply(request chatRequest, id string) chatReply {
	return chatReply{ID: id, Object: "chat.completion", Created: time.Now().Unix(), Model: request.Model, Choices: make([]chatChoice, 1)}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, request chatRequest, id string, words []string, incarnation int) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get(backend.HeaderResumeOffset))
	cutAt := -1
	if e.faults.use(func(f *Faults) *int { return &f.CutStreams }) {
		cutAt = len(words) / 2
	}
	for i := from; i < len(words); i++ {
		if i == cutAt || !e.alive(incarnation) || r.Context().Err() != nil {
			cut()
		}
		chunk := e.reply(request, id)
		chunk.Object = "chat.completion.chunk"
		chunk.Choices[0].Delta = &chatMessage{Content: words[i] + " "}
		writeEvent(w, chunk)
		time.Sleep(e.settings.TokenInterval)
	}
	stop := "stop"
	last := e.reply(request, id)
	last.Object = "chat.completion.chunk"
	last.Choices[0].Delta = &chatMessage{}
	last.Choices[0].FinishReason = &stop
	last.Usage = usage(request, len(words))
	writeEvent(w, last)
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

func writeEvent(w http.ResponseWriter, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		cut()
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", text)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
