// Package cascade selects the model on which a request starts and decides
// whether to escalate to a costlier one.
package cascade

// RatingCount holds the ratings that one daemon has counted for a model, on one
// route, class of requests and confidence bucket. Counts only grow, so a newer
// message of a daemon replaces its older one, and counts of several daemons are
// summed.
type RatingCount struct {
	Route  string  `json:"r"`
	Class  string  `json:"c"`
	Model  string  `json:"m"`
	Bucket int     `json:"b"`
	Good   float64 `json:"g"`
	Bad    float64 `json:"x"`
}
