package caller

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/traffic/engine"
)

// serveChat serves a model request, whole or streamed.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	run, err := s.prepareChat(w, r)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	s.budget.RecordFirstAttempt()
	if run.request.Stream {
		run.serveStream(w)
		return
	}
	run.serveWhole(w)
}

func (s *Server) prepareChat(w http.ResponseWriter, r *http.Request) (*chatRun, error) {
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	request, err := engine.ParseRequest(body)
	if err != nil {
		return nil, result.Wrap(err, result.MalformedRequest)
	}
	route, err := s.chatRoute(w, r, request.Model)
	if err != nil {
		return nil, err
	}
	pins, inSession, err := s.resolvePins(w, r, route)
	if err != nil {
		return nil, err
	}
	i := infoOf(r)
	tiers := usableTiers(s.Snapshots(), i.account, route, pins)
	if len(tiers) == 0 {
		return nil, noTierError(inSession)
	}
	return &chatRun{server: s, http: r, info: i, request: request, route: route, tiers: tiers}, nil
}

func (s *Server) chatRoute(w http.ResponseWriter, r *http.Request, model string) (tables.Route, error) {
	i := infoOf(r)
	name, route, ok := s.Snapshots().Document.RouteForModel(model)
	if !ok {
		return tables.Route{}, result.New(result.NoRoute, "model: no route matches %q", model)
	}
	if !i.row.AllowsRoute(name) {
		return tables.Route{}, result.New(result.NotAllowed, "account %s may not use route %s", i.account, name)
	}
	i.route, i.class = name, route.Class
	return route, s.setDeadline(w, r, route.RequestLimitMs)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelLine `json:"data"`
}

type modelLine struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the model names that the account may send.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	i := infoOf(r)
	doc := s.Snapshots().Document
	list := modelList{Object: "list", Data: []modelLine{}}
	for _, name := range slices.Sorted(maps.Keys(doc.Routes)) {
		route := doc.Routes[name]
		if route.Kind == tables.KindModel && i.row.AllowsRoute(name) {
			list.Data = append(list.Data, modelLine{ID: route.MatchModel, Object: "model", OwnedBy: "gypsumpitch"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(list)
}
