package placement

// Candidate is a backend server that can accept a request.
type Candidate struct {
	Key            ServerKey
	Address        string
	MaxInFlight    int     // in-flight requests that this daemon may have there
	Load           float64 // estimated requests per slot
	SameDataCentre bool    // in this daemon's data centre
	Affinity       float64 // fraction of the prompt's prefix that is likely cached there, 0 to 1
}

// Policy ranks the candidates for a request. Policies have no state, so that the
// daemon and the measurements run the same code.
type Policy interface {
	Name() string
	// Order returns the candidates with the best one first. The result depends
	// only on the arguments.
	Order(candidates []Candidate, seed uint64) []Candidate
}
