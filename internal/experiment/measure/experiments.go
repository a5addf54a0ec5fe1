package measure

// Experiments returns all experiments in the order of the report.
func Experiments() []Experiment {
	list := []Experiment{
		{
			Name:     "model choice",
			Question: "Cost at a quality target of 0.90, with late and sparse ratings. Cost is in units of the cheapest model's answer.",
			Measures: []string{"quality", "cost", "mean_ms"},
			Policies: []string{"learned", "learned_no_ratings", "always_best", "fixed_cascade"},
			Run:      modelChoice,
			Conclusion: "The learned cascade meets the target at well under the cost of both baselines. Without ratings it uses the safe choice, " +
				"the costliest model alone. It is faster than always using the costliest model, since most requests end at a cheap one.",
		},
		{
			Name:     "bad versions",
			Question: "Requests that a bad canary gets until the last daemon stops sending it any; false alarms on as many good canaries.",
			Measures: []string{"exposed", "closed_after_s", "false_alarms"},
			Policies: []string{"sequential", "alone", "operators_hand"},
			Run:      badVersion,
			Conclusion: "One test over the merged answers of all daemons stops a bad canary with a fraction of the exposure of an operator who " +
				"acts after two minutes, and of daemons that each test alone. An operator's edit would undo a false alarm.",
		},
		{
			Name:     "server choice",
			Question: "7 daemons in front of 10 engines that report their load 400 ms late; all daemons read the same reports.",
			Measures: []string{"first_p50_ms", "first_p95_ms", "first_p99_ms", "whole_p95_ms", "cached_share"},
			Policies: []string{"scored", "scored_uncorrected", "random", "round_robin", "least_reported"},
			Run:      serverChoice,
			Conclusion: "Prefix affinity with two servers drawn at random beats the baselines by far on the median and slightly on p95. " +
				"Round robin has the better p99 here, where all engines are alike; that is the weakest point. With least reported load, all daemons choose the same engine at the same time.",
		},
		{
			Name:     "servers slower than the tables say",
			Question: "3 of 10 engines serve 4 requests at once where the tables say 8; reports are 400 ms late.",
			Measures: []string{"first_p50_ms", "first_p95_ms", "first_p99_ms"},
			Policies: []string{"adaptive", "declared"},
			Run:      slowServers,
			Conclusion: "Limits that follow the waiting requests in the reports lower p95 and p99 of the time to the first token. " +
				"The median does not improve.",
		},
		{
			Name:       "data centre out and back",
			Question:   "One of three data centres leaves at 20 s and returns cold at 40 s.",
			Measures:   []string{"failed", "fell_over", "work_while_out", "first_p95_ms", "first_p99_ms"},
			Policies:   []string{"slots", "timer", "all_at_once"},
			Run:        dataCentreMove,
			Conclusion: "Slot shares never overload a cold engine; if each daemon estimates its own limit, engines crash by the dozen. Latency is about the same.",
		},
	}
	for _, load := range []struct {
		name     string
		multiple float64
	}{{"overload at 1x", 1}, {"overload at 1.5x", 1.5}, {"overload at 3x", 3}} {
		list = append(list, Experiment{
			Name:     load.name,
			Question: "A pool of 40 slots (80 requests/s); one account sends four fifths of the load. Goodput counts answers within 4 s.",
			Measures: []string{"goodput_rps", "p99_ms", "small_served", "refused"},
			Policies: []string{"admission", "one_queue"},
			Run:      overloadAt(load.multiple),
			Conclusion: "Rejecting requests at once keeps goodput at its peak and p99 bounded; with one queue for all, goodput collapses above 1x. The small account " +
				"is served up to its share, half of the pool.",
		})
	}
	return list
}
