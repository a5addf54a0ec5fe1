package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/traffic/backend"
	"gypsumpitch.example/gypsumpitch/internal/traffic/engine"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

// errCallerGone says that the caller's connection failed.
var errCallerGone = errors.New("caller is gone")

// streamState is what the caller has of a streamed answer.
type streamState struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	begun   bool
	tokens  int
	total   int64
	text    strings.Builder
}

// serveStream passes one tier's answer on as it comes. A stream that an engine
// cuts is resumed at another that holds the same version.
func (c *chatRun) serveStream(w http.ResponseWriter) {
	ctx, cancel := c.context()
	defer cancel()
	tier := c.tiers[c.server.Quality.StreamingTier(c.info.route, c.info.class, c.tiers, c.route.QualityTarget)]
	state := &streamState{writer: w, control: http.NewResponseController(w)}
	err := c.try(ctx, tier, func(call engine.Call) error {
		call.ResumeOffset = state.tokens
		return c.passStream(ctx, call, state)
	})
	switch {
	case err == nil:
		c.finishStream(tier, state)
	case !state.begun:
		c.server.refuse(w, c.http, err)
	default:
		c.cutStream(state, err)
	}
}

// passStream passes one engine's events on. It returns a *backend.Failure where
// the engine failed.
func (c *chatRun) passStream(ctx context.Context, call engine.Call, state *streamState) error {
	stream, err := c.server.Engines.OpenStream(ctx, call, c.request)
	if err != nil {
		return err
	}
	defer stream.Close()
	finished := false
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) && finished {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return &backend.Failure{Kind: backend.Truncated, Detail: "stream ended without a finish reason"}
		}
		if err != nil {
			return err
		}
		finished = finished || chunk.Finished
		if err := c.passChunk(chunk, state); err != nil {
			return err
		}
	}
}

func (c *chatRun) passChunk(chunk *engine.Chunk, state *streamState) error {
	event, err := chunk.Event(c.info.id, c.request)
	if err != nil {
		return &backend.Failure{Kind: backend.Truncated, Detail: err.Error()}
	}
	if !state.begun {
		c.beginStream(state)
	}
	if chunk.HasToken {
		state.tokens++
		state.text.WriteString(chunk.Text)
	}
	state.total = max(state.total, chunk.Tokens)
	if event == nil {
		return nil
	}
	if _, err := state.writer.Write(event); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	if err := state.control.Flush(); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

func (c *chatRun) beginStream(state *streamState) {
	state.begun = true
	c.info.firstAt = c.now()
	h := state.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderModelVersion, c.info.version)
	state.writer.WriteHeader(http.StatusOK)
}

// finishStream keeps the bill and then sends the end mark, so that a caller
// which has the whole answer is billed whatever fails.
func (c *chatRun) finishStream(tier quality.Tier, state *streamState) {
	c.addCost(tier, max(state.total, int64(state.tokens)))
	c.keepBill()
	// The caller may be gone; the answer is billed all the same.
	_, _ = state.writer.Write(engine.DoneEvent())
	_ = state.control.Flush()
	c.submitRating(tier, state.text.String(), quality.ConfidenceUnknown)
}

// cutStream tells a caller that has a part of the answer, and ends the
// connection without the end mark.
func (c *chatRun) cutStream(state *streamState, err error) {
	e := result.From(err)
	if e.Code.Run == result.RunNo || e.Code == result.Internal {
		e = result.New(result.StreamCut, "%s", e.Error())
	}
	c.info.code = e.Code
	body, encodeErr := json.Marshal(result.NewBody(e, c.info.id))
	if encodeErr == nil {
		_, _ = fmt.Fprintf(state.writer, "data: %s\n\n", body)
		_ = state.control.Flush()
	}
	panic(http.ErrAbortHandler)
}
