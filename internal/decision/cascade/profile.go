package cascade

// Profile holds the ratings of one model by confidence bucket.
type Profile [NumBuckets]Ratings

// Total returns the number of rated answers.
func (p Profile) Total() float64 {
	total := 0.0
	for _, r := range p {
		total += r.Total()
	}
	return total
}

// Quality returns the share of good answers over all buckets, drawn towards
// unknownQuality while there are few ratings.
func (p Profile) Quality() float64 {
	var all Ratings
	for _, r := range p {
		all.Good += r.Good
		all.Bad += r.Bad
	}
	return all.GoodRate(unknownQuality)
}

// unknownQuality is the assumed quality of a model without ratings.
const unknownQuality = 0.5
