package placement

// Candidate is a backend server that may take a request now.
type Candidate struct {
	Key            ServerKey
	Address        string
	MaxInFlight    int     // requests that this daemon may have under way there
	Load           float64 // estimated requests a slot
	SameDataCentre bool    // in this daemon's data centre
	Affinity       float64 // 0 to 1: share of the prompt's prefix likely cached there
}

// Policy orders candidates; the best comes first. Policies are pure, so the
// daemon and the measurements use the same ones.
type Policy interface {
	Name() string
	Order(candidates []Candidate, seed uint64) []Candidate
}
