// Package billing stores bill records until they are written to the table service.
package billing

// Record is the bill of one request. The table service accepts each ID once.
type Record struct {
	ID         string `json:"id"`
	Account    string `json:"account"`
	Route      string `json:"route"`
	Version    string `json:"version,omitempty"` // model@version that answered
	Tokens     int64  `json:"tokens"`
	CostMicros int64  `json:"cost_micros"` // millionths of the billing unit
	Steps      int    `json:"steps"`       // models that ran, including cascade steps
}
