package leases

import (
	"maps"

	"github.com/anvilfront/anvilfront/internal/lease"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
)

// view holds what follows from one value of the members and the manifest. It is
// computed once per value: a round looks at each pool of the fleet.
type view struct {
	members     *state.Members
	manifest    *manifest.Manifest
	electorates map[string][]string        // by data centre
	first       map[manifest.PoolID]string // first candidate, "" if there is none
	few         map[string][]string        // voters for renewals by data centre, of one round
}

// look returns the view of the snapshot. Callers hold mu.
func (c *Controller) look(snap *state.Snapshot) *view {
	if c.view != nil && c.view.members == snap.Members && c.view.manifest == snap.Manifest {
		return c.view
	}
	v := &view{
		members: snap.Members, manifest: snap.Manifest,
		electorates: map[string][]string{}, first: map[manifest.PoolID]string{}, few: map[string][]string{},
	}
	if snap.Manifest != nil {
		eligible := map[string][]string{}
		for id := range snap.Manifest.Pools {
			if _, ok := v.electorates[id.DataCentre]; !ok {
				v.electorates[id.DataCentre] = lease.Electorate(snap.Members, id.DataCentre)
				eligible[id.DataCentre] = lease.Eligible(snap.Members, v.electorates[id.DataCentre])
			}
			v.first[id] = lease.Key(id).First(eligible[id.DataCentre])
		}
	}
	c.view, c.dirty = v, true
	return v
}

// publish puts a new value into the snapshot when holders or held leases
// changed. Callers hold mu.
func (c *Controller) publish() {
	snap := c.Store.Load()
	v := c.look(snap)
	if !c.dirty {
		return
	}
	c.dirty = false
	next := &state.Leases{Held: maps.Clone(c.held), Holders: c.holders(snap, v)}
	if maps.Equal(next.Held, snap.Leases.Held) && maps.Equal(next.Holders, snap.Leases.Holders) {
		return
	}
	c.Store.Update(func(s *state.Snapshot) { s.Leases = next })
}

// learn records the believed holder of a pool; "" forgets it. Callers hold mu.
func (c *Controller) learn(id manifest.PoolID, name string) {
	if c.learned[id] == name {
		return
	}
	c.dirty = true
	if name == "" {
		delete(c.learned, id)
		return
	}
	c.learned[id] = name
}

// holders returns the believed holder of each pool: this host, else the one
// heard of while it is alive, else the first candidate. A wrong belief costs a
// redirect.
func (c *Controller) holders(snap *state.Snapshot, v *view) map[manifest.PoolID]string {
	out := make(map[manifest.PoolID]string, len(v.first))
	for id, first := range v.first {
		name := c.learned[id]
		m := snap.Members.ByName[name]
		switch {
		case c.held[id] != nil:
			out[id] = snap.Members.Self.Name
		case m != nil && m.Alive && name != snap.Members.Self.Name:
			out[id] = name
		case first != "":
			out[id] = first
		}
	}
	return out
}
