package measures

import (
	"context"
	"time"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/state"
)

const (
	// queryTimeout bounds a query before a request is placed. Servers respond within
	// milliseconds, also from another data centre of the region, unless a new connection
	// waits there for a slot.
	queryTimeout = 10 * time.Millisecond
	// queriesPerServer bounds the queries of all hosts together, per second and server:
	// half of the probes that servers allow.
	queriesPerServer = 30
)

// QueryLoad implements filters.LoadQuerier.
func (c *Controller) QueryLoad(ctx context.Context, s *state.Server) filters.QueryResult {
	snapshot := c.cfg.Store.Load()
	if snapshot.Manifest == nil {
		return filters.NotQueried
	}
	service := snapshot.Manifest.Services[s.Service]
	if service == nil || service.HealthPath == "" {
		return filters.NotQueried
	}
	share := float64(queriesPerServer*len(snapshot.Servers.ByName)) / float64(c.cfg.Mesh.View().Size())
	if !c.budget.Take(c.cfg.Clock.Now(), share) {
		return filters.NotQueried
	}
	c.queries.Add(1)
	res := c.cfg.Transport.Do(ctx, &filter.Attempt{
		Address: s.Address, Instance: s.Name, Probe: true, Remaining: queryTimeout, Timeout: queryTimeout,
		Request: &filter.Request{Method: "GET", Host: s.Address, Path: service.HealthPath},
	})
	if res.Response == nil || res.Load == nil || res.Load.Slots == 0 || res.Load.Instance != "" && res.Load.Instance != s.Name {
		return filters.NoLoad
	}
	r := filters.ReadingOf(res.Load, c.cfg.Clock.Now())
	r.Unhealthy = res.Response.Status != 200
	s.Load.Observe(r)
	return filters.Updated
}
