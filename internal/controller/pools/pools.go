// Package pools owns the limits, counts and queues of the pools whose lease
// this entry host holds, and grants slots on their backend servers.
package pools

import (
	"context"
	"sync/atomic"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Controller grants slots.
type Controller struct {
	clock clock.Clock
	store *state.Store
	table atomic.Pointer[map[string]*server]
	ids   atomic.Uint64
}

type server struct{ inflight atomic.Int64 }

// New returns a controller.
func New(c clock.Clock, store *state.Store) *Controller {
	ctl := &Controller{clock: c, store: store}
	ctl.table.Store(&map[string]*server{})
	return ctl
}

// Apply sets up counters for the backend servers of a new manifest.
func (c *Controller) Apply(m *manifest.Manifest) {
	old := *c.table.Load()
	next := map[string]*server{}
	for _, p := range m.Pools {
		for _, b := range p.Servers {
			if next[b.Name] = old[b.Name]; next[b.Name] == nil {
				next[b.Name] = &server{}
			}
		}
	}
	c.table.Store(&next)
}

// Acquire implements filter.Admitter.
func (c *Controller) Acquire(_ context.Context, pool *manifest.Pool, _ filter.Ask) (*filter.Grant, error) {
	table := *c.table.Load()
	for _, b := range pool.Servers {
		s := table[b.Name]
		if s == nil || b.Leaving {
			continue
		}
		if s.inflight.Add(1) <= int64(b.Slots) {
			return &filter.Grant{ID: c.ids.Add(1), Pool: pool, Server: b, StartBy: c.clock.Now().Add(filter.GrantStart)}, nil
		}
		s.inflight.Add(-1)
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonOverload, nil)
}

// Release implements filter.Admitter.
func (c *Controller) Release(g *filter.Grant, _ filter.Report) {
	if s := (*c.table.Load())[g.Server.Name]; s != nil {
		s.inflight.Add(-1)
	}
}
