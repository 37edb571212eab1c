package backend

import (
	"context"
	"maps"
	"time"

	"github.com/sourcegraph/conc"
)

// Server is a backend server to which this process may send requests.
type Server struct {
	Address        string  // IP:port
	MaxConnections int     // connections that this process may have open; at least 1
	DialsPerSecond float64 // connections opened in advance per second
}

// SetServers replaces the set of backend servers. Idle connections to servers that are
// no longer listed, or beyond a lowered limit, are closed.
func (t *Transport) SetServers(servers []Server) {
	wanted := make(map[string]Server, len(servers))
	for _, s := range servers {
		wanted[s.Address] = s
	}
	t.updatePools(func(pools map[string]*pool) {
		for address := range pools {
			if _, ok := wanted[address]; !ok {
				delete(pools, address)
			}
		}
		for address := range wanted {
			if pools[address] == nil {
				pools[address] = t.newPool(address)
			}
		}
	})
	for address, p := range *t.pools.Load() {
		s, ok := wanted[address]
		p.listed.Store(ok)
		if ok {
			p.limit.Store(int64(max(1, s.MaxConnections)))
			p.dialRate.Store(int64(s.DialsPerSecond * 1000))
		}
	}
	t.notify()
}

// Warm requests n idle connections to a backend server. Run opens them in advance at
// the server's rate and within its limit. Warm does not block, and ignores unknown
// addresses.
func (t *Transport) Warm(address string, n int) {
	if p := (*t.pools.Load())[address]; p != nil {
		p.warmTarget.Store(int64(min(n, idleSlots)))
		t.notify()
	}
}

func (t *Transport) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Transport) newPool(address string) *pool {
	p := &pool{address: address}
	p.limit.Store(int64(t.options.MaxConnections))
	return p
}

// pool returns the pool of an address. For an unknown address it copies the map to add
// a pool, which happens once per address.
func (t *Transport) pool(address string) *pool {
	if p := (*t.pools.Load())[address]; p != nil {
		return p
	}
	t.updatePools(func(pools map[string]*pool) {
		if pools[address] == nil {
			pools[address] = t.newPool(address)
		}
	})
	if p := (*t.pools.Load())[address]; p != nil {
		return p
	}
	p := t.newPool(address) // removed concurrently by SetServers: the connection is used once and not kept
	p.removed.Store(true)
	return p
}

// HasIdle reports whether an idle connection to the address is kept.
func (t *Transport) HasIdle(address string) bool {
	p := (*t.pools.Load())[address]
	return p != nil && p.idleCount.Load() > 0
}

// updatePools publishes a changed copy of the map and closes the idle connections of
// removed pools.
func (t *Transport) updatePools(change func(map[string]*pool)) {
	for {
		old := t.pools.Load()
		next := maps.Clone(*old)
		change(next)
		if !t.pools.CompareAndSwap(old, &next) {
			continue
		}
		for address, p := range *old {
			if next[address] != p {
				p.removed.Store(true)
				t.pruned.Add(p.closeIdle())
			}
		}
		return
	}
}

// Run opens the connections requested by Warm and closes idle ones past the idle
// timeout, until ctx ends. Then it closes every idle connection.
func (t *Transport) Run(ctx context.Context) {
	var dials conc.WaitGroup
	defer func() {
		dials.Wait()
		for _, p := range *t.pools.Load() {
			t.pruned.Add(p.closeIdle())
		}
	}()
	nextDial := map[*pool]time.Time{} // earliest time of the next dial
	prune := time.NewTicker(max(t.options.IdleTimeout/4, time.Millisecond))
	defer prune.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(t.warm(ctx, &dials, nextDial))
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-timer.C:
		case <-prune.C:
			t.prune(nextDial)
		}
	}
}

// warm starts the dials that are due and returns the time until the next dial.
func (t *Transport) warm(ctx context.Context, dials *conc.WaitGroup, nextDial map[*pool]time.Time) time.Duration {
	now, next := time.Now(), time.Hour
	for _, p := range *t.pools.Load() {
		rate := p.dialRate.Load()
		if rate <= 0 || p.idleCount.Load() >= p.warmTarget.Load() || p.open.Load() >= p.limit.Load() {
			continue
		}
		if wait := nextDial[p].Sub(now); wait > 0 {
			next = min(next, wait)
			continue
		}
		interval := time.Duration(1000 * float64(time.Second) / float64(rate))
		nextDial[p] = now.Add(interval)
		next = min(next, interval)
		dials.Go(func() {
			if c, err := t.open(ctx, p, time.Now().Add(t.options.DialTimeout)); err == nil && !t.putIdle(p, c) {
				p.close(c)
			}
		})
	}
	return next
}

// prune closes idle connections that the server closed, that reached the idle timeout,
// or that exceed the connection limit, and drops unused pools.
func (t *Transport) prune(nextDial map[*pool]time.Time) {
	t.dropUnusedPools(time.Now())
	pools := *t.pools.Load()
	for _, p := range pools {
		for i := range p.idle {
			c := p.idle[i].Swap(nil)
			if c == nil {
				continue
			}
			p.idleCount.Add(-1)
			stale := time.Since(c.idleSince) >= t.options.IdleTimeout || c.expired(time.Now())
			if stale || c.checkIdle() != idleStateQuiet || !p.put(c) {
				t.pruned.Add(1)
				p.close(c)
			}
		}
	}
	maps.DeleteFunc(nextDial, func(p *pool, _ time.Time) bool { return pools[p.address] != p })
}

// dropUnusedPools drops the pools that have been without connections for the idle
// timeout, unless SetServers listed their servers: servers come and go, and their
// addresses are not used again.
func (t *Transport) dropUnusedPools(now time.Time) {
	var unused []*pool
	for _, p := range *t.pools.Load() {
		switch {
		case p.listed.Load() || p.open.Load() > 0:
			p.unusedSince = time.Time{}
		case p.unusedSince.IsZero():
			p.unusedSince = now
		case now.Sub(p.unusedSince) >= t.options.IdleTimeout:
			unused = append(unused, p)
		}
	}
	if len(unused) == 0 {
		return
	}
	t.updatePools(func(pools map[string]*pool) {
		for _, p := range unused {
			if pools[p.address] == p {
				delete(pools, p.address)
			}
		}
	})
}
