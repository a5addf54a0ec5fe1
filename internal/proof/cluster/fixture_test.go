package cluster

import (
	"fmt"

	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
)

// Parameters of the simulated deployment.
const (
	memberCount     = 5
	spareMember     = "entry-6" // added to and removed from the hosts table by edits
	coldServer      = "engine-cold"
	coldCapacity    = 2 // in-flight requests
	confirmWindowMs = 1_000
	pullIntervalMs  = 200
	requestLimitMs  = 2_000
	maxLoadLagMs    = 300 // maximum age of a load report
)

func memberName(i int) string { return fmt.Sprintf("entry-%d", i) }

func address(i int) string { return fmt.Sprintf("127.0.0.1:%d", 7000+i) }

// initialDocument has one model with two versions, two warm servers in different data
// centres and a cold server.
func initialDocument() *tables.Document {
	doc := &tables.Document{
		Routes: map[string]tables.Route{
			"chat": {Kind: tables.KindModel, MatchModel: "chat", Pool: "text", Tiers: []string{"small"}, RequestLimitMs: requestLimitMs},
		},
		Pools: map[string]tables.Pool{"text": {Kind: tables.KindModel, Servers: map[string]tables.BackendServer{
			"engine-warm": {Address: "127.0.0.1:6001", DataCentre: "dc-1", Holds: []string{"small@v1", "small@v2"}, Slots: 50, ColdSlots: 2},
			"engine-far":  {Address: "127.0.0.1:6003", DataCentre: "dc-2", Holds: []string{"small@v1", "small@v2"}, Slots: 50, ColdSlots: 2},
			coldServer:    {Address: "127.0.0.1:6002", DataCentre: "dc-1", Holds: []string{"small@v1", "small@v2"}, Slots: 50, ColdSlots: coldCapacity},
		}}},
		Models: map[string]tables.Model{"small": {Versions: map[string]tables.ModelVersion{
			"v1": {State: tables.Active, Share: 1},
			"v2": {State: tables.Active, Share: 1},
		}}},
		ClientAccounts: map[string]tables.ClientAccount{"smiths": {Routes: []string{"chat"}, Allowed: []string{"small"}, Weight: 1}},
		Operators:      map[string]tables.Operator{"on-call": {}},
		DataCentres:    map[string]tables.DataCentre{"dc-1": {State: tables.InService}, "dc-2": {State: tables.InService}},
		Hosts:          map[string]tables.Host{},
		SessionKeys:    []tables.SessionKey{{ID: "k1", Secret: "0123456789abcdef"}},
	}
	for i := 1; i <= memberCount; i++ {
		doc.Hosts[memberName(i)] = tables.Host{PeerAddress: address(i), DataCentre: "dc-1", State: tables.InService}
	}
	return doc.WithEdit(&tables.Document{}, "first")
}
