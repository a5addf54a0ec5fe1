package cascade

// Profile is what is known of one model: a tally for each confidence bucket.
type Profile [NumBuckets]Ratings

// Total returns the number of rated answers.
func (p Profile) Total() float64 {
	n := 0.0
	for _, t := range p {
		n += t.Total()
	}
	return n
}

// Quality returns the share of good answers over all buckets.
func (p Profile) Quality() float64 {
	var all Ratings
	for _, t := range p {
		all.Good += t.Good
		all.Bad += t.Bad
	}
	return all.GoodRate(unknownQuality)
}

// unknownQuality stands for models that nothing is known of.
const unknownQuality = 0.5
