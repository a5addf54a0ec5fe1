// Package cascade chooses the model that a request starts on and whether to
// escalate to a costlier one.
package cascade

// RatingCount is what one daemon has learned of one model on one route and class.
// Each daemon only adds to its own counts, so counts of several daemons merge
// by adding, and a later message of one daemon replaces the earlier.
type RatingCount struct {
	Route  string  `json:"r"`
	Class  string  `json:"c"`
	Model  string  `json:"m"`
	Bucket int     `json:"b"` // of the answer's confidence
	Good   float64 `json:"g"`
	Bad    float64 `json:"x"`
}
