package leases

import (
	"maps"

	"github.com/anvilfront/anvilfront/internal/lease"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
)

// publish puts a new value into the snapshot when holders or held leases
// changed. Callers hold mu.
func (c *Controller) publish() {
	snap := c.Store.Load()
	next := &state.Leases{Held: maps.Clone(c.held), Holders: c.holders(snap)}
	if maps.Equal(next.Held, snap.Leases.Held) && maps.Equal(next.Holders, snap.Leases.Holders) {
		return
	}
	c.Store.Update(func(s *state.Snapshot) { s.Leases = next })
}

// holders returns the believed holder of each pool: this host, else the one
// heard of while it is alive, else the first candidate. A wrong belief costs a
// redirect.
func (c *Controller) holders(snap *state.Snapshot) map[manifest.PoolID]string {
	out := map[manifest.PoolID]string{}
	if snap.Manifest == nil {
		return out
	}
	electorates := map[string][]string{}
	for id := range snap.Manifest.Pools {
		if c.held[id] != nil {
			out[id] = snap.Members.Self.Name
			continue
		}
		name := c.learned[id]
		if m := snap.Members.ByName[name]; m != nil && m.Alive && name != snap.Members.Self.Name {
			out[id] = name
			continue
		}
		electorate, ok := electorates[id.DataCentre]
		if !ok {
			electorate = lease.Electorate(snap.Members, id.DataCentre)
			electorates[id.DataCentre] = electorate
		}
		if candidates := lease.Candidates(snap.Members, id, electorate); len(candidates) > 0 {
			out[id] = candidates[0]
		}
	}
	return out
}
