package caller

import (
	"net/http"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/decision/session"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

const maxSessionIDBytes = 200

// resolvePins returns the pinned version of each model for the request, and whether it
// belongs to a session. If so, it sets the response's session token.
func (s *Server) resolvePins(w http.ResponseWriter, r *http.Request, route tables.Route) (session.Pins, bool, error) {
	i := requestInfoOf(r)
	snapshot := s.Snapshot()
	if text := r.Header.Get(HeaderSessionToken); text != "" {
		pins, err := s.pinsFromToken(i, snapshot, text)
		w.Header().Set(HeaderSessionToken, text)
		return pins, true, err
	}
	sessionID := r.Header.Get(HeaderSessionID)
	if len(sessionID) > maxSessionIDBytes {
		return nil, false, result.New(result.MalformedRequest, "header %s is longer than %d bytes", HeaderSessionID, maxSessionIDBytes)
	}
	if sessionID == "" {
		pins := proposePins(snapshot, i, route, i.id)
		if r.Header.Get(HeaderSessionStart) == "" {
			return pins, false, nil
		}
		return pins, true, s.setSessionToken(w, i, snapshot, i.id, pins)
	}
	key := i.account + "/" + i.route + "/" + sessionID
	pins, err := s.Pins.Resolve(r.Context(), key, proposePins(snapshot, i, route, sessionID))
	if err != nil {
		return nil, true, err
	}
	return pins, true, s.setSessionToken(w, i, snapshot, sessionID, pins)
}

func (s *Server) pinsFromToken(i *requestInfo, snapshot *controlstate.Snapshot, text string) (session.Pins, error) {
	token, err := session.Verify(text, snapshot.Document.SessionKeys)
	if err != nil {
		return nil, result.Wrap(err, result.BadSessionToken)
	}
	if token.Account != i.account || token.Route != i.route {
		return nil, result.New(result.BadSessionToken, "the token was issued for another client account or route")
	}
	return token.Pins, nil
}

func (s *Server) setSessionToken(w http.ResponseWriter, i *requestInfo, snapshot *controlstate.Snapshot, sessionID string, pins session.Pins) error {
	token := session.Token{Account: i.account, Route: i.route, Session: sessionID, Pins: pins}
	text, err := session.Sign(token, snapshot.Document.SessionKeys[0])
	if err != nil {
		return err
	}
	w.Header().Set(HeaderSessionToken, text)
	return nil
}

// proposePins picks a version of each model by the roll-out shares. All daemons with the
// same document pick the same versions for a session ID.
func proposePins(snapshot *controlstate.Snapshot, i *requestInfo, route tables.Route, sessionID string) session.Pins {
	var pins session.Pins
	for _, model := range route.Tiers {
		hash := container.Hash(i.account, i.route, sessionID, model)
		version, ok := rollout.PickVersion(snapshot.Document.Models[model], hash, func(v string) bool {
			return snapshot.MayRun(i.account, model, v)
		})
		if ok {
			pins = pins.With(model, version)
		}
	}
	return pins
}

// availableTiers returns the route's tiers whose pinned versions the client account may
// run now.
func availableTiers(snapshot *controlstate.Snapshot, account string, route tables.Route, pins session.Pins) []quality.Tier {
	var tiers []quality.Tier
	for _, model := range route.Tiers {
		version, ok := pins[model]
		if !ok || !snapshot.MayRun(account, model, version) {
			continue
		}
		row := snapshot.Document.Models[model].Versions[version]
		tiers = append(tiers, quality.Tier{Model: model, Version: version, CostMicrosPerToken: row.CostMicrosPerToken})
	}
	return tiers
}

func noTierError(inSession bool) error {
	if inSession {
		return result.New(result.SessionEnded, "all versions that the session is pinned to were withdrawn; start a new session")
	}
	return result.New(result.NoServer, "no model version that the client account may use is in service")
}
