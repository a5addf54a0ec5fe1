package catalog

// priorityRange holds the most and the least urgent priority of some routes.
type priorityRange struct{ first, last int }

// priorityRanges returns the priorities of the routes with several models, by pool.
func priorityRanges(routes []Route) map[string]priorityRange {
	ranges := make(map[string]priorityRange)
	for i := range routes {
		r := &routes[i]
		if len(r.Models) < 2 {
			continue
		}
		for _, w := range r.Pools {
			p, known := ranges[w.Pool]
			if !known {
				p = priorityRange{r.Priority, r.Priority}
			}
			ranges[w.Pool] = priorityRange{min(p.first, r.Priority), max(p.last, r.Priority)}
		}
	}
	return ranges
}

// Precedence returns how urgent the priority is among the routes to the pool that choose from
// several models: 1 for the most urgent, -1 for the least, 0 if all have the same priority.
func (c *Catalog) Precedence(pool string, priority int) float64 {
	p := c.priorities[pool]
	if p.first == p.last {
		return 0
	}
	return min(max(1-2*float64(priority-p.first)/float64(p.last-p.first), -1), 1)
}
