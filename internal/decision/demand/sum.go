package demand

import "slices"

// Sum is the demand of several daemons by pool, account and urgency. A report can be taken
// out again, which saves adding up all others for each daemon's reply. The zero value is
// empty. It isn't safe for concurrent use.
type Sum struct {
	daemons int
	pools   map[string]map[accountKey]*AccountUsage
}

// accountKey identifies the sum of an account, or that of the accounts without a name.
type accountKey struct {
	name   string
	isRest bool
}

// Total adds up the usages of several daemons by pool, account and urgency.
func Total(usages ...[]PoolUsage) []PoolUsage {
	var s Sum
	for _, u := range usages {
		s.Add(u, 1)
	}
	return s.Usage()
}

// Add adds the usage of so many daemons.
func (s *Sum) Add(usage []PoolUsage, daemons int) {
	s.daemons += daemons
	s.accumulate(usage, 1)
}

// Remove takes out a usage that was added.
func (s *Sum) Remove(usage []PoolUsage, daemons int) {
	s.daemons -= daemons
	s.accumulate(usage, -1)
}

// Daemons returns how many daemons the sum is of.
func (s *Sum) Daemons() int { return s.daemons }

// Clone returns a copy.
func (s *Sum) Clone() Sum {
	clone := Sum{daemons: s.daemons, pools: make(map[string]map[accountKey]*AccountUsage, len(s.pools))}
	for pool, accounts := range s.pools {
		copied := make(map[accountKey]*AccountUsage, len(accounts))
		for key, a := range accounts {
			u := *a
			u.Classes = slices.Clone(a.Classes)
			copied[key] = &u
		}
		clone.pools[pool] = copied
	}
	return clone
}

func (s *Sum) accumulate(usage []PoolUsage, sign int) {
	if s.pools == nil {
		s.pools = make(map[string]map[accountKey]*AccountUsage)
	}
	for _, p := range usage {
		accounts, ok := s.pools[p.Pool]
		if !ok {
			accounts = make(map[accountKey]*AccountUsage, len(p.Accounts))
			s.pools[p.Pool] = accounts
		}
		for _, a := range p.Accounts {
			accumulate(accounts, accountKey{name: a.Name}, a, sign)
		}
		if p.Rest != nil {
			accumulate(accounts, accountKey{isRest: true}, *p.Rest, sign)
		}
		if len(accounts) == 0 {
			delete(s.pools, p.Pool)
		}
	}
}

func accumulate(accounts map[accountKey]*AccountUsage, key accountKey, o AccountUsage, sign int) {
	sum, ok := accounts[key]
	if !ok {
		sum = &AccountUsage{Name: key.name}
		accounts[key] = sum
	}
	if sum.accumulate(o, sign); sum.isEmpty() {
		delete(accounts, key)
	}
}

// Usage returns the sum with the largest accounts of each pool by name. Later changes of
// the sum don't change it.
func (s *Sum) Usage() []PoolUsage {
	total := make([]PoolUsage, 0, len(s.pools))
	for name, accounts := range s.pools {
		u := PoolUsage{Pool: name, Accounts: make([]AccountUsage, 0, len(accounts))}
		for key, a := range accounts {
			clone := *a
			clone.Classes = slices.Clone(a.Classes)
			if key.isRest {
				u.Rest = &clone
				continue
			}
			u.Accounts = append(u.Accounts, clone)
		}
		total = append(total, u.bounded())
	}
	return sortPools(total)
}
