// Package bodies reads the bodies of HTTP messages into memory within bounds in bytes. The
// front end for callers reads requests with it, and the transport to backend servers reads
// responses. It knows nothing of connections.
package bodies

import "sync/atomic"

// Account bounds the memory that bodies take up together. It is safe for concurrent use.
type Account struct {
	limit int64
	used  atomic.Int64
}

// NewAccount returns an account of limit bytes.
func NewAccount(limit int64) *Account { return &Account{limit: limit} }

// Used returns the bytes that are reserved.
func (a *Account) Used() int64 { return a.used.Load() }

// Reservation is the memory of one body in an Account. It is not safe for concurrent use.
type Reservation struct {
	Account *Account
	Free    int64 // bytes of the body that are not counted
	bytes   int64 // counted in Account
}

// Grow reserves memory for a buffer of the given size in place of the last one. It returns
// false, and reserves nothing more, if the account would exceed its limit.
func (r *Reservation) Grow(size int) bool {
	more := int64(size) - r.Free - r.bytes
	if more <= 0 {
		return true
	}
	if r.Account.used.Add(more) > r.Account.limit {
		r.Account.used.Add(-more)
		return false
	}
	r.bytes += more
	return true
}

// Release gives back the reserved memory. The zero value holds none.
func (r *Reservation) Release() {
	if r.bytes == 0 {
		return
	}
	r.Account.used.Add(-r.bytes)
	r.bytes = 0
}
