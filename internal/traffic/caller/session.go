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

const maxSessionName = 200

// resolvePins returns the versions that the request must keep to, and whether
// it belongs to a session. It sets the answer's session token.
func (s *Server) resolvePins(w http.ResponseWriter, r *http.Request, route tables.Route) (session.Pins, bool, error) {
	i := infoOf(r)
	snapshot := s.Snapshots()
	if text := r.Header.Get(HeaderSessionToken); text != "" {
		pins, err := s.pinsOfToken(i, snapshot, text)
		w.Header().Set(HeaderSessionToken, text)
		return pins, true, err
	}
	name := r.Header.Get(HeaderSessionID)
	if len(name) > maxSessionName {
		return nil, false, result.New(result.MalformedRequest, "header %s is over %d bytes", HeaderSessionID, maxSessionName)
	}
	if name == "" {
		pins := proposePins(snapshot, i, route, i.id)
		if r.Header.Get(HeaderSessionStart) == "" {
			return pins, false, nil
		}
		return pins, true, s.giveToken(w, i, snapshot, i.id, pins)
	}
	key := i.account + "/" + i.route + "/" + name
	pins, err := s.Pins.Resolve(r.Context(), key, proposePins(snapshot, i, route, name))
	if err != nil {
		return nil, true, err
	}
	return pins, true, s.giveToken(w, i, snapshot, name, pins)
}

func (s *Server) pinsOfToken(i *info, snapshot *controlstate.Snapshot, text string) (session.Pins, error) {
	token, err := session.Verify(text, snapshot.Document.SessionKeys)
	if err != nil {
		return nil, result.Wrap(err, result.BadSessionToken)
	}
	if token.Account != i.account || token.Route != i.route {
		return nil, result.New(result.BadSessionToken, "the token is for another account or route")
	}
	return token.Pins, nil
}

func (s *Server) giveToken(w http.ResponseWriter, i *info, snapshot *controlstate.Snapshot, name string, pins session.Pins) error {
	token := session.Token{Account: i.account, Route: i.route, Session: name, Pins: pins}
	text, err := session.Sign(token, snapshot.Document.SessionKeys[0])
	if err != nil {
		return err
	}
	w.Header().Set(HeaderSessionToken, text)
	return nil
}

// proposePins chooses a version of each model by the roll-out shares; the same
// name gives the same versions on every daemon with the same document.
func proposePins(snapshot *controlstate.Snapshot, i *info, route tables.Route, name string) session.Pins {
	var pins session.Pins
	for _, model := range route.Tiers {
		hash := container.Hash(i.account, i.route, name, model)
		version, ok := rollout.PickVersion(snapshot.Document.Models[model], hash, func(v string) bool {
			return snapshot.MayRun(i.account, model, v)
		})
		if ok {
			pins = pins.With(model, version)
		}
	}
	return pins
}

// usableTiers returns the route's tiers whose pinned versions may run now.
func usableTiers(snapshot *controlstate.Snapshot, account string, route tables.Route, pins session.Pins) []quality.Tier {
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
		return result.New(result.SessionEnded, "every version that this session is pinned to was withdrawn; start a new session")
	}
	return result.New(result.NoServer, "no version that the account may use is in service")
}
