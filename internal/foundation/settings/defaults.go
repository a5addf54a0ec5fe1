package settings

// Default returns the values of the fields that a settings file leaves out.
func Default() Settings {
	return Settings{
		Listen: Listen{Caller: "127.0.0.1:8080", Operator: "127.0.0.1:8081", Peer: "127.0.0.1:8082"},
		Platform: Platform{
			TableService: "http://127.0.0.1:9001",
			ObjectStore:  "http://127.0.0.1:9002",
			HostList:     "http://127.0.0.1:9003",
			Rating:       "http://127.0.0.1:9004",
			TimeoutMs:    1000,
		},
		Limits: Limits{
			MaxBodyBytes:   4 << 20,
			MaxHeaderBytes: 64 << 10,
			MaxAnswerBytes: 64 << 20,
			HeaderReadMs:   5_000,
			BodyReadMs:     15_000,
			MaxInFlight:    2_000,
			QueueMs:        1_000,
			RetryPercent:   10,
			MemoryMB:       1024,
			PinCache:       50_000,
		},
		Control: Control{
			TickMs:          100,
			PullMs:          300,
			PullFanout:      8,
			PushFanout:      8,
			ConfirmWindowMs: 3_000,
			StoreReadMs:     500,
			StoreReadBudget: 200,
			LoadPollMs:      250,
			HostListMs:      1_000,
			SubsetSize:      48,
			LeaseMs:         3_000,
			OrderLimitMs:    2_000,
			RatingMs:        1_000,
		},
		Bills: Bills{FlushMs: 250, BatchRows: 200, MaxPending: 100_000, HolderWaitMs: 1_000},
		Stop:  Stop{BalancerWaitMs: 1_000, DrainMs: 120_000},
		Log:   Log{Level: "info"},
		Entry: Entry{RepeatRatio: 0.1, RepeatSlack: 10, RepeatWindowS: 10, BodyMs: 60_000, StopS: 8, SessionS: 5, ExposedShare: 0.1, ExposedSlack: 10, AcceptCalm: 58, AcceptBusy: 44, CalmMs: 3_000, ApplyMs: 2_000, DrainMs: 2_000, SharedCapacity: "auto", UnevenServers: "auto"},
	}
}
