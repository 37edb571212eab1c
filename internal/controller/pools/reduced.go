package pools

import (
	"slices"
	"sync/atomic"

	"github.com/anvilfront/anvilfront/internal/balance"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// reducedTable says which servers this entry host may use without a lease. It
// is immutable except for the atomics of its entries.
type reducedTable struct {
	pools map[manifest.PoolID][]*reducedServer
	byKey map[serverKey]*reducedServer
}

// serverKey tells backend servers apart; another address is another server.
type serverKey struct{ name, address string }

func keyOf(b *manifest.BackendServer) serverKey { return serverKey{b.Name, b.Address} }

// reducedServer is one backend server as known without a lease.
type reducedServer struct {
	server *manifest.BackendServer
	mine   bool // this host is among the first floor(slots/2) for the server
	state  *reducedState
}

// reducedState outlives changes of the table.
type reducedState struct {
	busy     atomic.Bool  // one request at a time
	free     atomic.Int64 // clock.Time from which the next one may start
	warm     atomic.Bool  // by the last news of its holder, and no contrary sign since
	instance atomic.Pointer[string]
}

func (c *Controller) buildReduced(m *manifest.Manifest, members *state.Members) {
	old := c.reduced.Load()
	next := &reducedTable{pools: map[manifest.PoolID][]*reducedServer{}, byKey: map[serverKey]*reducedServer{}}
	for id, p := range m.Pools {
		for _, b := range p.Servers {
			r := &reducedServer{server: b, state: &reducedState{}}
			if before := old.byKey[keyOf(b)]; before != nil {
				r.state = before.state
			}
			r.mine = slices.Contains(balance.ReducedHosts(b.Name, b.Slots, members.Listed), members.Self.Name)
			if p.Out || b.Leaving {
				r.state.warm.Store(false) // cold when it returns
			}
			next.pools[id] = append(next.pools[id], r)
			next.byKey[keyOf(b)] = r
		}
	}
	c.reduced.Store(next)
}

// acquireReduced grants a slot without a lease, on a warm server only.
func (c *Controller) acquireReduced(pool *manifest.Pool, now clock.Time) (*filter.Grant, error) {
	for _, r := range c.reduced.Load().pools[pool.ID] {
		if !r.mine || r.server.Leaving || !r.state.warm.Load() || !slices.Contains(pool.Servers, r.server) {
			continue
		}
		if int64(now) >= r.state.free.Load() && r.state.busy.CompareAndSwap(false, true) {
			c.count.reduced.Add(1)
			return &filter.Grant{Pool: pool, Server: r.server, StartBy: now.Add(filter.GrantStart)}, nil
		}
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonNoLease, nil)
}

func (c *Controller) releaseReduced(g *filter.Grant, report filter.Report) {
	if r := c.reduced.Load().byKey[keyOf(g.Server)]; r != nil {
		if mayStillRun(report) {
			r.state.free.Store(int64(c.clock.Now().Add(cancelNotice)))
		}
		r.state.busy.Store(false)
	}
}

// noteWarm takes which servers are warm from the holder's news. News from a
// holder with an older manifest say nothing on servers that are new here.
func (c *Controller) noteWarm(l *wire.PoolLoad) {
	m := c.store.Load().Manifest
	if m == nil || l.Revision < m.File.Revision {
		return
	}
	for _, r := range c.reduced.Load().pools[l.Pool] {
		r.state.warm.Store(!r.server.Leaving && !slices.Contains(l.Cold, r.server.Name))
	}
}

// learn notes signs that a server is not warm any more, from the answers that
// this entry host saw itself.
func (c *Controller) learn(b *manifest.BackendServer, r filter.Report) {
	s := c.reduced.Load().byKey[keyOf(b)]
	if s == nil {
		return
	}
	if r.Crashed || r.Reason == verdict.ReasonConnectFailed {
		s.state.warm.Store(false)
	}
	if r.Instance == "" {
		return
	}
	if before := s.state.instance.Load(); before == nil || *before != r.Instance {
		instance := r.Instance
		s.state.instance.Store(&instance)
		if before != nil {
			s.state.warm.Store(false)
		}
	}
}
