package backend

import (
	"sync/atomic"
	"time"
)

// idleSlots is the largest number of idle connections kept per backend server.
const idleSlots = 64

// pool contains the connections to one backend server. Its mutable fields are atomics,
// so that requests share it without a lock.
type pool struct {
	address    string
	limit      atomic.Int64 // connections that this process may have open
	dialRate   atomic.Int64 // connections opened in advance per 1000 s
	warmTarget atomic.Int64 // idle connections requested by Warm
	open       atomic.Int64 // connections open or being opened
	idleCount  atomic.Int64 // idle connections
	removed    atomic.Bool  // no longer in Transport.pools
	listed     atomic.Bool  // SetServers listed the server
	idle       [idleSlots]atomic.Pointer[conn]

	unusedSince time.Time // without connections since then; zero if it has any. Used by Run's goroutine only
}

// take returns an idle connection or nil. It tries low slots first, so that
// connections beyond the usual need stay idle until the idle timeout closes them.
func (p *pool) take() *conn {
	if p.idleCount.Load() <= 0 {
		return nil
	}
	for i := range p.idle {
		if p.idle[i].Load() == nil {
			continue
		}
		if c := p.idle[i].Swap(nil); c != nil {
			p.idleCount.Add(-1)
			return c
		}
	}
	return nil
}

// put stores c. It returns false when the server was removed, the connection limit is
// exceeded or no slot is free.
func (p *pool) put(c *conn) bool {
	if p.removed.Load() || p.open.Load() > p.limit.Load() {
		return false
	}
	for i := range p.idle {
		if p.idle[i].Load() == nil && p.idle[i].CompareAndSwap(nil, c) {
			p.idleCount.Add(1)
			if p.removed.Load() {
				p.closeIdle() // removed while c was being stored
			}
			return true
		}
	}
	return false
}

func (p *pool) close(c *conn) {
	_ = c.Close()
	p.open.Add(-1)
}

func (p *pool) closeIdle() (closed int64) {
	for c := p.take(); c != nil; c = p.take() {
		p.close(c)
		closed++
	}
	return closed
}
