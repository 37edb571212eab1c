// Package servers owns the backend servers of the snapshot on hosts whose
// manifest lists them.
package servers

import (
	"context"

	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
)

// Controller follows the manifest in force.
type Controller struct {
	Clock clock.Clock
	Store *state.Store
	Log   *zap.Logger
}

// Run follows the manifest until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for {
		changed := c.Store.Changed()
		c.apply()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Ready reports whether the servers of the manifest in force are known.
func (c *Controller) Ready() bool {
	s := c.Store.Load()
	return s.Manifest != nil && s.Servers.Manifest == s.Manifest
}

func (c *Controller) apply() {
	snap := c.Store.Load()
	if snap.Manifest == nil || snap.Servers.Manifest == snap.Manifest {
		return
	}
	next := build(snap.Manifest, snap.Servers, snap.Members.Self.DataCentre, c.Clock.Now())
	c.Store.Update(func(s *state.Snapshot) { s.Servers = next })
	c.Log.Info("Backend servers taken over.", zap.Uint64("revision", snap.Manifest.File.Revision), zap.Int("servers", len(next.ByName)))
}

// build returns the servers that m lists. What is known of the load of those
// that stay is kept. A server that is new, or that comes back into service, is
// taken to have just started; a new entry host takes all for warm, since it
// cannot know better than the others, which tell it.
func build(m *manifest.Manifest, old *state.Servers, dataCentre string, now clock.Time) *state.Servers {
	out := &state.Servers{
		ByService: map[string][]*state.Server{}, ByName: map[string]*state.Server{}, Out: map[string]bool{}, Manifest: m,
	}
	for name, dc := range m.DataCentresByName {
		if dc.Out {
			out.Out[name] = true
		}
	}
	for i := range m.File.Services {
		service := &m.File.Services[i]
		for j := range service.BackendServers {
			s := server(&service.BackendServers[j], service.Name, old)
			s.Local = s.DataCentre == dataCentre
			before := old.ByName[s.Name]
			known := before != nil && before.Load == s.Load
			if old.Manifest != nil && (!known || returned(before, s, old, out)) {
				s.Load.SlowStart.Begin(now)
			}
			out.ByName[s.Name] = s
			if receives(s, out) {
				out.ByService[service.Name] = append(out.ByService[service.Name], s)
			}
		}
	}
	return out
}

func server(b *manifest.BackendServer, service string, old *state.Servers) *state.Server {
	s := &state.Server{BackendServer: *b, Service: service, ReportsRunningOnly: true, Load: &load.State{}}
	if before := old.ByName[b.Name]; before != nil && before.Address == b.Address && before.Service == service {
		s.Load = before.Load
	}
	return s
}

// receives reports whether a server may receive new work.
func receives(s *state.Server, servers *state.Servers) bool {
	return !s.Leaving && !servers.Out[s.DataCentre]
}

func returned(before, s *state.Server, old, next *state.Servers) bool {
	return !receives(before, old) && receives(s, next)
}
