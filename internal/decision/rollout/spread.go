package rollout

import (
	"math"
	"math/bits"
)

// minBadServers is how many servers must have given bad answers, if the version has so
// many.
const minBadServers = 3

// isSpread reports whether bad answers are spread over the version's servers, as those of a
// bad version are, rather than confined to a few faulty servers.
func isSpread(badServers, servers uint64) bool {
	bad, all := bits.OnesCount64(badServers), bits.OnesCount64(servers|badServers)
	return bad >= 2 && bad >= min(minBadServers, all)
}

// spreadAnswers returns how many bad answers count against the version: at most as many as
// reach that number of servers on average if all servers give them at the same rate. The
// others count against the servers that gave them. Servers whose hashes collide count once.
func spreadAnswers(answers int, badServers, servers uint64) float64 {
	bad, all := bits.OnesCount64(badServers), bits.OnesCount64(servers|badServers)
	if bad >= all {
		return float64(answers)
	}
	n := float64(all)
	return math.Min(float64(answers), math.Log(1-float64(bad)/n)/math.Log(1-1/n))
}
