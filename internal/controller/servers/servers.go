// Package servers owns the backend servers of the snapshot on hosts whose manifest
// lists them. For each new manifest of the snapshot it decides which servers may
// receive new requests, and which of them start cold. Package entryhost runs it.
package servers

import (
	"context"

	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
)

// Controller updates Snapshot.Servers from Snapshot.Manifest.
type Controller struct {
	Clock clock.Clock
	Store *state.Store
	Log   *zap.Logger
	// AssumeCold makes a new process treat all servers as just started until
	// HandleInformedPeer is called.
	AssumeCold bool

	startup load.Startup
}

// HandleInformedPeer records that another host knows which servers are cold and reports
// these. The others are warm.
func (c *Controller) HandleInformedPeer() {
	if c.startup.Inform(c.Clock.Now()) {
		confirmWarm(c.Store.Load().Servers)
	}
}

// Settled reports whether this process has decided which servers it treats as cold.
func (c *Controller) Settled() bool { return !c.AssumeCold || c.startup.Settled(c.Clock.Now()) }

// KnowsServers reports whether this process knows which servers are cold.
func (c *Controller) KnowsServers() bool { return c.startup.Knows(c.Clock.Now()) }

func confirmWarm(servers *state.Servers) {
	for _, s := range servers.ByName {
		s.Load.SlowStart.ConfirmWarm()
	}
}

// Run applies each new manifest until ctx ends.
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

// Ready reports whether the snapshot contains the servers of its manifest.
func (c *Controller) Ready() bool {
	s := c.Store.Load()
	return s.Manifest != nil && s.Servers.Manifest == s.Manifest
}

// WaitApplied returns when the snapshot contains the servers of its manifest, or ctx ends.
func (c *Controller) WaitApplied(ctx context.Context) {
	for {
		changed := c.Store.Changed()
		if c.Ready() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (c *Controller) apply() {
	snap := c.Store.Load()
	if snap.Manifest == nil || snap.Servers.Manifest == snap.Manifest {
		return
	}
	now := c.Clock.Now()
	next := build(snap.Manifest, snap.Servers, snap.Members.Self.DataCentre, now)
	if first := snap.Servers.Manifest == nil; first && c.AssumeCold {
		for _, s := range next.ByName {
			s.Load.SlowStart.Assume(now)
		}
	}
	c.startup.Begin(now)
	c.Store.Update(func(s *state.Snapshot) { s.Servers = next })
	if c.startup.Informed() {
		confirmWarm(next) // HandleInformedPeer may have seen the previous servers only
	}
	c.Log.Info("Backend servers updated from the manifest.", zap.Uint64("revision", snap.Manifest.File.Revision), zap.Int("servers", len(next.ByName)))
}

// build returns the servers that m lists. Servers that stay keep their load state.
// A server that is new or returns to service is treated as just started.
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
			s := newServer(&service.BackendServers[j], service.Name, old)
			s.Local = s.DataCentre == dataCentre
			previous := old.ByName[s.Name]
			known := previous != nil && previous.Load == s.Load
			if old.Manifest != nil && (!known || becameEligible(previous, s, old, out)) {
				s.Load.SlowStart.Begin(now)
			}
			out.ByName[s.Name] = s
			if eligible(s, out) {
				out.ByService[service.Name] = append(out.ByService[service.Name], s)
			}
		}
	}
	return out
}

func newServer(b *manifest.BackendServer, service string, old *state.Servers) *state.Server {
	s := &state.Server{BackendServer: *b, Service: service, ReportsRunningOnly: true, Load: &load.State{}}
	if previous := old.ByName[b.Name]; previous != nil && previous.Address == b.Address && previous.Service == service {
		s.Load = previous.Load
	}
	return s
}

// eligible reports whether a server may receive new requests.
func eligible(s *state.Server, servers *state.Servers) bool {
	return !s.Leaving && !servers.Out[s.DataCentre]
}

func becameEligible(previous, s *state.Server, old, next *state.Servers) bool {
	return !eligible(previous, old) && eligible(s, next)
}
