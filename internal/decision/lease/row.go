// Package lease implements a lease on a row of the table service. Clocks of different
// hosts are never compared: a contender takes over only after it has observed the row
// unchanged for the whole duration of the lease.
package lease

// Row is the lease as stored in the table service.
type Row struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Fencing     int64  `json:"fencing"`  // increases with each new holder
	Renewals    int64  `json:"renewals"` // increases with each renewal
	Released    bool   `json:"released"`
}
