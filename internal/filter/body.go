package filter

import (
	"io"
	"sync/atomic"
)

// Body is the rest of a response body that is forwarded while it arrives. One
// goroutine uses it at a time.
type Body interface {
	// Read returns io.EOF only after the marked end of the body. Any other error means
	// that the response is incomplete.
	io.Reader
	// Close ends the transfer. It may be called more than once.
	Close()
	// Err returns why the body broke off on the side of the backend server, or nil.
	Err() error
}

// Cleanup holds functions that are called when a request has ended: when its response
// was written, or nobody waits for it any more. It is safe for concurrent use, since a
// hedged copy may still run at that time.
type Cleanup struct {
	newest atomic.Pointer[cleanupEntry]
}

type cleanupEntry struct {
	f    func()
	next *cleanupEntry
}

// cleanupDone marks a Cleanup whose request has ended.
var cleanupDone = &cleanupEntry{}

// Add registers f. It calls f at once if the request has already ended.
func (c *Cleanup) Add(f func()) {
	for {
		old := c.newest.Load()
		if old == cleanupDone {
			f()
			return
		}
		if c.newest.CompareAndSwap(old, &cleanupEntry{f, old}) {
			return
		}
	}
}

// Run calls the registered functions, the newest first.
func (c *Cleanup) Run() {
	for e := c.newest.Swap(cleanupDone); e != nil && e != cleanupDone; e = e.next {
		e.f()
	}
}
