package tables

import (
	"github.com/pkg/errors"
)

// ActionKind is the kind of an Action.
type ActionKind string

// The changes that operators can request without editing the tables as text.
const (
	ActionDataCentreOut   ActionKind = "data_centre_out"
	ActionDataCentreIn    ActionKind = "data_centre_in"
	ActionHostOut         ActionKind = "host_out"
	ActionHostIn          ActionKind = "host_in"
	ActionServerOut       ActionKind = "server_out"
	ActionServerIn        ActionKind = "server_in"
	ActionVersionStart    ActionKind = "version_start"
	ActionVersionShare    ActionKind = "version_share"
	ActionVersionPause    ActionKind = "version_pause"
	ActionVersionPromote  ActionKind = "version_promote"
	ActionVersionWithdraw ActionKind = "version_withdraw"
)

// Action is a single change to a document that an operator requests.
type Action struct {
	Kind               ActionKind `json:"kind"`
	Name               string     `json:"name"`               // of the data centre, host, pool or model
	Part               string     `json:"part,omitempty"`     // name of the backend server or version
	Share              int        `json:"share,omitempty"`    // for ActionVersionStart and ActionVersionShare
	CostMicrosPerToken int64      `json:"cost_per,omitempty"` // for ActionVersionStart; 0 keeps the present cost
}

// Apply returns a copy of the document with the change made. The version of the document
// is unchanged and the result is not validated. Errors start with the name of the field of
// the action that is wrong.
func (a Action) Apply(d *Document) (*Document, error) {
	switch a.Kind {
	case ActionDataCentreOut, ActionDataCentreIn:
		return a.applyDataCentre(d)
	case ActionHostOut, ActionHostIn:
		return a.applyHost(d)
	case ActionServerOut, ActionServerIn:
		return a.applyServer(d)
	default:
		return a.applyVersion(d)
	}
}

func (a Action) applyDataCentre(d *Document) (*Document, error) {
	if _, ok := d.DataCentres[a.Name]; !ok {
		return nil, errors.Errorf("name: data centre %q is not in data_centres", a.Name)
	}
	return d.WithDataCentreState(a.Name, serviceState(a.Kind == ActionDataCentreIn)), nil
}

func (a Action) applyHost(d *Document) (*Document, error) {
	if _, ok := d.Hosts[a.Name]; !ok {
		return nil, errors.Errorf("name: host %q is not in hosts", a.Name)
	}
	return d.WithHostState(a.Name, serviceState(a.Kind == ActionHostIn)), nil
}

func (a Action) applyServer(d *Document) (*Document, error) {
	if _, ok := d.Pools[a.Name].Servers[a.Part]; !ok {
		return nil, errors.Errorf("part: backend server %q is not in pools.%s", a.Part, a.Name)
	}
	return d.WithServerState(a.Name, a.Part, serviceState(a.Kind == ActionServerIn)), nil
}

func serviceState(inService bool) ServiceState {
	if inService {
		return InService
	}
	return OutOfService
}

func (a Action) applyVersion(d *Document) (*Document, error) {
	m, ok := d.Models[a.Name]
	if !ok {
		return nil, errors.Errorf("name: model %q is not in models", a.Name)
	}
	row, ok := m.Versions[a.Part]
	if !ok && a.Kind != ActionVersionStart {
		return nil, errors.Errorf("part: version %q is not in models.%s.versions", a.Part, a.Name)
	}
	switch a.Kind {
	case ActionVersionStart:
		row.State, row.Share = Canary, a.Share
		if a.CostMicrosPerToken > 0 {
			row.CostMicrosPerToken = a.CostMicrosPerToken
		}
	case ActionVersionShare:
		row.Share = a.Share
	case ActionVersionPause:
		row.State = Paused
	case ActionVersionPromote:
		return promote(d, a.Name, a.Part, row), nil
	case ActionVersionWithdraw:
		row.State, row.Share = Withdrawn, 0
	default:
		return nil, errors.Errorf("kind: unknown action %q", a.Kind)
	}
	return d.WithVersion(a.Name, a.Part, row), nil
}

// promote makes the version active, so that it receives new sessions. The versions that
// were active are paused: they keep their sessions until they are withdrawn.
func promote(d *Document, model, version string, row ModelVersion) *Document {
	for other, otherRow := range d.Models[model].Versions {
		if other != version && otherRow.State == Active {
			otherRow.State = Paused
			d = d.WithVersion(model, other, otherRow)
		}
	}
	row.State = Active
	row.Share = max(row.Share, 1)
	return d.WithVersion(model, version, row)
}
