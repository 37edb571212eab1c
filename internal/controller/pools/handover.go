package pools

import (
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// sealWait bounds how long Seal waits for requests in flight. What is left is
// blocked at the successor until its run limit, 10 s by default, and costs more
// than a short time without a holder. Most requests end within 250 ms.
const sealWait = 250 * time.Millisecond

// Seal implements lease.Handover. It stops granting at once, refuses requests
// that wait, and waits for requests in flight for up to sealWait.
func (c *Controller) Seal(ids []manifest.PoolID) []wire.PoolRelease {
	holders := *c.holders.Load()
	for _, id := range ids {
		if h := holders[id]; h != nil {
			h.sealed.Store(true)
			h.poke()
		}
	}
	timer := time.NewTimer(sealWait)
	defer timer.Stop()
	for _, id := range ids {
		if h := holders[id]; h != nil && !h.drain(timer.C) {
			break
		}
	}
	now := c.clock.Now()
	out := make([]wire.PoolRelease, 0, len(ids))
	for _, id := range ids {
		release := wire.PoolRelease{Pool: id}
		if h := holders[id]; h != nil {
			pub := h.view.Load()
			for i, s := range pub.view.Servers {
				instance := ""
				if r := c.reduced.Load().byKey[keyOf(pub.servers[i])]; r != nil && r.state.instance.Load() != nil {
					instance = *r.state.instance.Load()
				}
				release.Inflight = append(release.Inflight, wire.ServerInflight{
					Server: pub.servers[i].Name, Count: s.Counter.Inflight(),
					LeftMillis: pub.backends[i].left(now).Milliseconds() + 1,
					Limit:      s.Limit, Instance: instance, Established: s.Warm,
				})
			}
		}
		out = append(out, release)
	}
	return out
}

// drain waits until nothing is in flight, or returns false at timeout.
func (h *holder) drain(timeout <-chan time.Time) bool {
	for {
		inflight := 0
		for _, s := range h.view.Load().view.Servers {
			inflight += s.Counter.Inflight()
		}
		if inflight == 0 {
			return true
		}
		select {
		case <-h.drained:
		case <-timeout:
			return false
		}
	}
}

// adoption is what a stopping holder handed over.
type adoption struct {
	release wire.PoolRelease
	at      clock.Time
}

// adoptFor is how long limits that were handed over are taken as they are.
const adoptFor = 5 * time.Second

// Adopt implements lease.Handover. The state is used when the lease arrives.
func (c *Controller) Adopt(releases []wire.PoolRelease) {
	at := c.clock.Now()
	c.editAdopted(func(t map[manifest.PoolID]adoption) {
		for _, r := range releases {
			t[r.Pool] = adoption{r, at}
		}
	})
}

func (c *Controller) editAdopted(edit func(map[manifest.PoolID]adoption)) {
	for {
		old := c.adopted.Load()
		next := make(map[manifest.PoolID]adoption, len(*old)+1)
		for id, a := range *old {
			next[id] = a
		}
		edit(next)
		if c.adopted.CompareAndSwap(old, &next) {
			return
		}
	}
}

// adopt takes over what the holder before had in flight, and reports whether
// there was a hand-over. Its slots stay taken until their run limit, because
// their ends are reported to the old holder.
func (h *holder) adopt() bool {
	a, ok := (*h.c.adopted.Load())[h.id]
	pub, now := h.view.Load(), h.c.clock.Now()
	if !ok || pub.pool == nil {
		return false
	}
	h.c.editAdopted(func(t map[manifest.PoolID]adoption) { delete(t, h.id) })
	for _, in := range a.release.Inflight {
		expires := a.at.Add(time.Duration(in.LeftMillis) * time.Millisecond)
		for i, s := range pub.servers {
			if s.Name != in.Server {
				continue
			}
			if now.Sub(a.at) < adoptFor {
				h.pool.Adopt(pub.backends[i].key, in.Limit, in.Instance, in.Established)
			}
			for range in.Count {
				h.occupy(pub, i, now, expires)
			}
		}
	}
	h.publish()
	return true
}

// occupy takes one slot of server i until expires.
func (h *holder) occupy(pub *published, i int, now, expires clock.Time) {
	if !now.Before(expires) {
		return
	}
	b := pub.backends[i]
	b.counter.Occupy(1)
	rec := &record{backend: b, holder: h, at: now, expires: expires, remote: true,
		grant: filter.Grant{Pool: pub.pool, Server: pub.servers[i]}}
	if !b.put(rec, h.c.sequence.Add(1)) {
		b.counter.Release()
	}
}
