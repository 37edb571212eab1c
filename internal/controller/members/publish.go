package members

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/membership"
	"github.com/anvilfront/anvilfront/internal/state"
)

// pollHosts reads the platform's host list periodically. The last list stays in
// use while the platform is unavailable, since a stale list is better than none.
func (c *Controller) pollHosts(ctx context.Context) {
	for {
		readCtx, cancel := context.WithTimeout(ctx, hostListTimeout)
		list, err := c.Hosts(readCtx)
		cancel()
		if err != nil {
			c.hostErrors.Add(1)
			c.Log.Debug("Could not read the platform's host list; keeping the last list.", zap.Error(err))
		} else {
			c.mu.Lock()
			c.platformHosts, c.platformHostsRead = list, true
			c.mergeListedHosts()
			c.mu.Unlock()
		}
		c.mu.Lock()
		wait := hostListInterval*3/4 + time.Duration(c.Rand.Int64N(int64(hostListInterval/2)))
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// readManifest applies the entry hosts of a new manifest.
func (c *Controller) readManifest() {
	m := c.Store.Load().Manifest
	c.mu.Lock()
	defer c.mu.Unlock()
	if m != c.manifest {
		c.manifest = m
		c.mergeListedHosts()
	}
}

// mergeListedHosts merges the entry hosts of the manifest and of the platform's
// list. The platform's entry takes precedence, since a host may be replaced
// without a new manifest.
func (c *Controller) mergeListedHosts() {
	c.detector.SetListedHosts(c.Clock.Now(), listedHosts(c.manifest, c.platformHosts))
	c.detector.MarkChanged()
	c.publish()
}

func listedHosts(m *manifest.Manifest, platform []membership.ListedHost) []membership.ListedHost {
	byName := map[string]membership.ListedHost{}
	if m != nil {
		for _, h := range m.File.EntryHosts {
			byName[h.Name] = membership.ListedHost{Name: h.Name, Address: h.Address, DataCentre: h.DataCentre}
		}
	}
	for _, h := range platform {
		byName[h.Name] = h
	}
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	slices.Sort(names)
	out := make([]membership.ListedHost, 0, len(names))
	for _, name := range names {
		out = append(out, byName[name])
	}
	return out
}

// publish stores new Members in the snapshot if the detector reports a change. The
// caller must hold mu.
func (c *Controller) publish() {
	if !c.detector.Changed() {
		return
	}
	list := listedHosts(c.manifest, c.platformHosts)
	leaving := c.detector.IsLeaving()
	next := &state.Members{
		Self:       c.Store.Load().Members.Self,
		ByName:     map[string]*state.Member{},
		Successors: map[uint64]*state.Member{},
	}
	next.Self.Alive = true
	next.Self.Leaving = leaving
	for _, h := range list {
		next.Listed = append(next.Listed, h.Name)
		if h.Name == next.Self.Name && h.Leaving {
			next.Self.Leaving = true
		}
	}
	for name, m := range c.detector.Members() {
		next.ByName[name] = &state.Member{
			Name: name, Address: m.Address, DataCentre: m.DataCentre, Incarnation: m.Incarnation,
			Alive: m.Reachable(), Leaving: m.ListedLeaving || m.LeaveAnnounced,
		}
	}
	self := next.Self
	next.ByName[self.Name] = &self
	if len(list) == 0 && c.alone() {
		next.Listed = []string{self.Name}
	}
	for _, s := range c.successors {
		if m := next.ByName[s.Name]; m != nil {
			next.Successors[s.Incarnation] = m
		}
	}
	c.Store.Update(func(s *state.Snapshot) { s.Members = next })
}

// alone reports whether no other entry host is known: no peer is configured, the
// platform's list, if there is one, was read, and there are no other members.
func (c *Controller) alone() bool {
	return len(c.Seeds) == 0 && (c.Hosts == nil || c.platformHostsRead) && len(c.detector.Members()) == 0
}
