// Package lease decides who holds a lease in the table service. Clocks of
// different hosts are never compared: a contender takes over only after it has
// itself watched the lease stand unrenewed for its whole life.
package lease

// Row is a lease as the table service keeps it.
type Row struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Fencing     int64  `json:"fencing"`  // grows with each new holder
	Renewals    int64  `json:"renewals"` // grows with each renewal
	Released    bool   `json:"released"`
}
