package cascade

// Profile is what is known of one model: a tally for each confidence bucket.
type Profile [Buckets]Tally

// N returns the number of rated answers.
func (p Profile) N() float64 {
	n := 0.0
	for _, t := range p {
		n += t.N()
	}
	return n
}

// Quality returns the share of good answers over all buckets.
func (p Profile) Quality() float64 {
	var all Tally
	for _, t := range p {
		all.Good += t.Good
		all.Bad += t.Bad
	}
	return all.Rate(unknownQuality)
}

// unknownQuality stands for models that nothing is known of.
const unknownQuality = 0.5
