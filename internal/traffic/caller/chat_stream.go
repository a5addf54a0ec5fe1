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

// errCallerDisconnected is returned when a write to the caller fails.
var errCallerDisconnected = errors.New("caller disconnected")

// streamState is the part of a streamed answer that was sent to the caller, over all
// attempts.
type streamState struct {
	writer         http.ResponseWriter
	controller     *http.ResponseController
	started        bool
	sentTokens     int             // where another engine resumes
	reportedTokens int64           // by the engine, for the bill
	text           strings.Builder // for the rating; its beginning if textCut
	textCut        bool
}

// maxRatedBytes bounds the text of a stream that is kept for the rating.
const maxRatedBytes = 256 << 10

// addText adds text for the rating.
func (s *streamState) addText(text string) {
	if s.textCut = s.textCut || s.text.Len()+len(text) > maxRatedBytes; !s.textCut {
		s.text.WriteString(text)
	}
}

// serveStream forwards the answer of one tier as it arrives. A stream that an engine
// interrupts is resumed on another engine that holds the same version.
func (ex *chatExchange) serveStream(w http.ResponseWriter) {
	ctx, cancel := ex.requestContext()
	defer cancel()
	tier := ex.tiers[ex.server.Quality.StreamingTier(ex.info.route, ex.info.class, ex.tiers, ex.route.QualityTarget)]
	state := &streamState{writer: w, controller: http.NewResponseController(w)}
	err := ex.runTier(ctx, tier, func(call engine.Call) error {
		call.ResumeOffset = state.sentTokens
		return ex.forwardStream(ctx, call, state)
	})
	switch {
	case err == nil:
		ex.finishResponse(tier, state)
	case !state.started:
		ex.server.reject(w, ex.httpReq, err)
	default:
		ex.abortResponse(state, err)
	}
}

// forwardStream forwards the events of one engine. The error is a *backend.Failure if the
// engine failed, or errCallerDisconnected.
func (ex *chatExchange) forwardStream(ctx context.Context, call engine.Call, state *streamState) error {
	stream, err := ex.server.Engines.OpenStream(ctx, call, ex.request)
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
		if err := ex.forwardChunk(chunk, state); err != nil {
			return err
		}
	}
}

func (ex *chatExchange) forwardChunk(chunk *engine.Chunk, state *streamState) error {
	event, err := chunk.Event(ex.info.id, ex.request)
	if err != nil {
		return &backend.Failure{Kind: backend.Truncated, Detail: err.Error()}
	}
	if !state.started {
		ex.startResponse(state)
	}
	if chunk.HasToken {
		state.sentTokens++
		state.addText(chunk.Text)
	}
	state.reportedTokens = max(state.reportedTokens, chunk.Tokens)
	if event == nil {
		return nil
	}
	if _, err := state.writer.Write(event); err != nil {
		return errors.Wrap(errCallerDisconnected, err.Error())
	}
	if err := state.controller.Flush(); err != nil {
		return errors.Wrap(errCallerDisconnected, err.Error())
	}
	return nil
}

func (ex *chatExchange) startResponse(state *streamState) {
	state.started = true
	ex.info.firstByteAt = ex.now()
	h := state.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderModelVersion, ex.info.version)
	state.writer.WriteHeader(http.StatusOK)
}

// finishResponse records the bill before it sends the [DONE] event, so that every complete
// answer is billed, whatever fails afterwards.
func (ex *chatExchange) finishResponse(tier quality.Tier, state *streamState) {
	ex.addCost(tier, max(state.reportedTokens, int64(state.sentTokens)))
	ex.recordBill()
	// A write fails only if the caller has disconnected; the answer is billed anyway.
	_, _ = state.writer.Write(engine.DoneEvent())
	_ = state.controller.Flush()
	if !state.textCut {
		ex.submitForRating(tier, state.text.String(), quality.ConfidenceUnknown)
	}
}

// abortResponse sends the error as an event to a caller that has received part of the
// answer, and closes the connection without the [DONE] event.
func (ex *chatExchange) abortResponse(state *streamState, err error) {
	e := result.From(err)
	if e.Code.Run == result.RunNo || e.Code == result.Internal {
		e = result.New(result.StreamCut, "%s", e.Error())
	}
	ex.info.code = e.Code
	body, encodeErr := json.Marshal(result.NewBody(e, ex.info.id))
	if encodeErr == nil {
		_, _ = fmt.Fprintf(state.writer, "data: %s\n\n", body)
		_ = state.controller.Flush()
	}
	panic(http.ErrAbortHandler)
}
