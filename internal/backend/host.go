package backend

import "sync/atomic"

// idleSlots is the largest number of idle connections kept per backend server.
const idleSlots = 64

// host holds the connections to one backend server. All fields are atomics, so
// that requests share it without a lock.
type host struct {
	address string
	limit   atomic.Int64 // connections this process may have open
	perSec  atomic.Int64 // connections opened ahead per 1,000 seconds
	wanted  atomic.Int64 // idle connections that Warm asked for
	open    atomic.Int64 // connections open or being opened
	count   atomic.Int64 // idle connections
	gone    atomic.Bool  // removed from the manifest
	idle    [idleSlots]atomic.Pointer[conn]
}

// take returns an idle connection or nil. Low slots come first, so that
// connections beyond the usual need stay idle and reach the idle limit.
func (h *host) take() *conn {
	if h.count.Load() <= 0 {
		return nil
	}
	for i := range h.idle {
		if h.idle[i].Load() == nil {
			continue
		}
		if c := h.idle[i].Swap(nil); c != nil {
			h.count.Add(-1)
			return c
		}
	}
	return nil
}

// put stores c and returns false when there is no place for it.
func (h *host) put(c *conn) bool {
	if h.gone.Load() || h.open.Load() > h.limit.Load() {
		return false
	}
	for i := range h.idle {
		if h.idle[i].Load() == nil && h.idle[i].CompareAndSwap(nil, c) {
			h.count.Add(1)
			if h.gone.Load() {
				h.closeIdle() // removed while c was being stored
			}
			return true
		}
	}
	return false
}

func (h *host) close(c *conn) {
	_ = c.Close()
	h.open.Add(-1)
}

func (h *host) closeIdle() (closed int64) {
	for c := h.take(); c != nil; c = h.take() {
		h.close(c)
		closed++
	}
	return closed
}
