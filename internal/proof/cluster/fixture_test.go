package cluster

import (
	"fmt"

	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
)

// Sizes of the fuzzed deployment.
const (
	memberCount  = 5
	spareMember  = "entry-6" // joins and leaves the hosts table
	coldServer   = "engine-cold"
	coldBears    = 2
	window       = 1_000 // confirm window, ms
	pullPeriod   = 200
	requestLimit = 2_000
	loadLag      = 300 // longest lag of a load report, ms
)

func memberName(i int) string { return fmt.Sprintf("entry-%d", i) }

func address(i int) string { return fmt.Sprintf("127.0.0.1:%d", 7000+i) }

// firstDocument has one model with two versions, a warm and a cold server.
func firstDocument() *tables.Document {
	doc := &tables.Document{
		Routes: map[string]tables.Route{
			"chat": {Kind: tables.KindModel, MatchModel: "chat", Pool: "text", Tiers: []string{"small"}, RequestLimitMs: requestLimit},
		},
		Pools: map[string]tables.Pool{"text": {Kind: tables.KindModel, Servers: map[string]tables.BackendServer{
			"engine-warm": {Address: "127.0.0.1:6001", DataCentre: "dc-1", Holds: []string{"small@v1", "small@v2"}, Slots: 50, ColdSlots: 2},
			"engine-far":  {Address: "127.0.0.1:6003", DataCentre: "dc-2", Holds: []string{"small@v1", "small@v2"}, Slots: 50, ColdSlots: 2},
			coldServer:    {Address: "127.0.0.1:6002", DataCentre: "dc-1", Holds: []string{"small@v1", "small@v2"}, Slots: 50, ColdSlots: coldBears},
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
