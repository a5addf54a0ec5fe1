package caller

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/traffic/engine"
)

// serveChat serves a chat completion, streamed or not.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	ex, err := s.prepareChat(w, r)
	if err != nil {
		s.reject(w, r, err)
		return
	}
	s.retryBudget.RecordFirstAttempt()
	defer ex.holding.Release()
	if ex.request.Stream {
		ex.serveStream(w)
		return
	}
	ex.serveComplete(w)
}

func (s *Server) prepareChat(w http.ResponseWriter, r *http.Request) (*chatExchange, error) {
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	request, err := engine.ParseRequest(body)
	if err != nil {
		return nil, result.Wrap(err, result.MalformedRequest)
	}
	route, err := s.matchChatRoute(w, r, request.Model)
	if err != nil {
		return nil, err
	}
	pins, inSession, err := s.resolvePins(w, r, route)
	if err != nil {
		return nil, err
	}
	i := requestInfoOf(r)
	tiers := availableTiers(s.Snapshot(), i.account, route, pins)
	if len(tiers) == 0 {
		return nil, noTierError(inSession)
	}
	return &chatExchange{server: s, httpReq: r, info: i, request: request, route: route, tiers: tiers, holding: admission.NewHolding(s.AnswerMemory)}, nil
}

func (s *Server) matchChatRoute(w http.ResponseWriter, r *http.Request, model string) (tables.Route, error) {
	i := requestInfoOf(r)
	name, route, ok := s.Snapshot().Document.RouteForModel(model)
	if !ok {
		return tables.Route{}, result.New(result.NoRoute, "no route matches model %q", model)
	}
	if !i.clientAccount.AllowsRoute(name) {
		return tables.Route{}, result.New(result.NotAllowed, "client account %s may not use route %s", i.account, name)
	}
	i.route, i.class = name, route.Class
	return route, s.setDeadline(w, r, route.RequestLimitMs)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the model names of the routes that the client account may use.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	i := requestInfoOf(r)
	doc := s.Snapshot().Document
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range slices.Sorted(maps.Keys(doc.Routes)) {
		route := doc.Routes[name]
		if route.Kind == tables.KindModel && i.clientAccount.AllowsRoute(name) {
			list.Data = append(list.Data, modelEntry{ID: route.MatchModel, Object: "model", OwnedBy: "gypsumpitch"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(list)
}
