package demand

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against shares that hold back an account below its share or leave capacity unused.
func TestFairLevel(t *testing.T) {
	tests := map[string]struct {
		claims   []claim
		capacity float64
		want     float64
	}{
		"enough for all":                    {[]claim{{3, 1}, {4, 1}}, 8, math.Inf(1)},
		"nobody":                            {nil, 8, math.Inf(1)},
		"equal":                             {[]claim{{9, 1}, {9, 1}}, 8, 4},
		"the unused share goes to the rest": {[]claim{{1, 1}, {9, 1}, {9, 1}}, 9, 4},
		"weights":                           {[]claim{{9, 2}, {9, 1}}, 9, 3},
		"nine quiet and a flood":            {append(repeated(claim{1.2, 1}, 9), claim{24, 1}), 15, 4.2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := fairLevel(test.claims, test.capacity)
			assert.Assert(t, got == test.want || math.Abs(got-test.want) < 1e-9, "%v", got)
		})
	}
}

func repeated(c claim, n int) (claims []claim) {
	for range n {
		claims = append(claims, c)
	}
	return claims
}

// Guards against a level that isn't max-min fair for some mixture of demands and weights.
func TestFairLevelProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) claim {
			return claim{demand: rapid.Float64Range(0, 50).Draw(t, "demand"), weight: rapid.Float64Range(0.1, 10).Draw(t, "weight")}
		}), 0, 40).Draw(t, "claims")
		capacity := rapid.Float64Range(0.1, 500).Draw(t, "capacity")
		level := fairLevel(claims, capacity)
		demand, given, weight := 0.0, 0.0, 0.0
		for _, c := range claims {
			demand += c.demand
			weight += c.weight
			given += min(c.demand, c.weight*level)
		}
		const tolerance = 1e-6
		if math.IsInf(level, 1) {
			assert.Assert(t, demand <= capacity+tolerance, "no level although %v of %v is wanted", demand, capacity)
			return
		}
		assert.Assert(t, math.Abs(given-capacity) < tolerance, "%v of %v is given", given, capacity)
		assert.Assert(t, level*weight >= capacity-tolerance, "an account gets less than its equal share")
	})
}

// Guards against a total that depends on the order of its reports, or from which a report
// can't be taken out again.
func TestSumProperties(t *testing.T) {
	count := rapid.IntRange(0, 5)
	usage := rapid.Custom(func(t *rapid.T) []PoolUsage {
		var pools []PoolUsage
		for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"p", "q"}), rapid.ID[string]).Draw(t, "pools") {
			p := PoolUsage{Pool: name}
			for _, account := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"", "a", "b", "c"}), 1, 4, rapid.ID[string]).Draw(t, "accounts") {
				u := AccountUsage{Name: account, Used: count.Draw(t, "used"), Arrived: 1 + count.Draw(t, "arrived")}
				for urgency := range count.Draw(t, "urgencies") {
					u.Classes = append(u.Classes, ClassUsage{Urgency: urgency, Running: 1 + count.Draw(t, "running"), WaitingWork: count.Draw(t, "work")})
				}
				p.Accounts = append(p.Accounts, u)
			}
			pools = append(pools, p)
		}
		return sortPools(pools)
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := usage.Draw(t, "a"), usage.Draw(t, "b"), usage.Draw(t, "c")
		assert.DeepEqual(t, Total(a, b, c), Total(c, Total(b, a)), ignoreCodec)
		var sum Sum
		sum.Add(a, 1)
		sum.Add(b, 2)
		clone := sum.Clone()
		clone.Add(c, 1)
		clone.Remove(b, 2)
		assert.Equal(t, clone.Daemons(), 2)
		assert.DeepEqual(t, clone.Usage(), Total(a, c), ignoreCodec)
		assert.DeepEqual(t, sum.Usage(), Total(a, b), ignoreCodec)
	})
}
