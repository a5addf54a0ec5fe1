package rollout

import (
	"math"
	"math/bits"
)

const (
	// minBadServers is how many servers must have given bad answers, if the version has
	// so many.
	minBadServers = 3
	// minSpreadChance is the least chance of so few servers with bad answers if every
	// server gives them at the same rate.
	minSpreadChance = 0.1
)

// isSpread reports whether that many bad answers are spread over the version's servers, as
// those of a bad version are, rather than confined to a few faulty servers. Servers whose
// hashes collide count once.
func isSpread(answers int, badServers, servers uint64) bool {
	bad, all := bits.OnesCount64(badServers), bits.OnesCount64(servers|badServers)
	return bad >= min(minBadServers, all) && isSpreadOver(answers, bad, all)
}

// isSpreadOver is isSpread for that many bad answers from some of all servers. One server of
// three may have given none.
func isSpreadOver(answers, bad, all int) bool {
	return bad >= 2 && bad >= min(minBadServers, all-1) && chanceOfServers(answers, bad, all) >= minSpreadChance
}

// spreadAnswers returns how many bad answers count against the version: at most as many as
// reach that number of servers on average if all servers give them at the same rate. The
// others count against the servers that gave them.
func spreadAnswers(answers int, badServers, servers uint64) float64 {
	bad, all := bits.OnesCount64(badServers), bits.OnesCount64(servers|badServers)
	if bad >= all {
		return float64(answers)
	}
	n := float64(all)
	return math.Min(float64(answers), math.Log(1-float64(bad)/n)/math.Log(1-1/n))
}

// chanceOfServers returns the probability that the answers come from at most that many of
// all servers if each server is as likely to give one.
func chanceOfServers(answers, servers, all int) float64 {
	if servers >= all {
		return 1
	}
	chances := make([]float64, servers+1) // by number of servers, after some answers
	chances[0] = 1
	for range answers {
		for n := servers; n > 0; n-- {
			chances[n] = chances[n]*float64(n)/float64(all) + chances[n-1]*float64(all-n+1)/float64(all)
		}
		chances[0] = 0
	}
	sum := 0.0
	for _, chance := range chances {
		sum += chance
	}
	return sum
}
