package pools

import (
	"slices"
	"time"

	"github.com/anvilfront/anvilfront/internal/balance"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// Limits on how often the load of a held pool is gossiped. With 196 pools at
// target size and about 60 bytes each, one update per 5 s is 2.4 KB/s in each
// entry host; a change between full and not full goes out sooner.
const (
	gossipAtMost  = 200 * time.Millisecond
	gossipAtLeast = 5 * time.Second
)

// refresh takes the servers of the manifest in force. Servers that leave, and
// all servers of a data centre that is out, are dropped; servers that are new
// or return start cold.
func (h *holder) refresh() {
	m := h.c.store.Load().Manifest
	if m == nil {
		return
	}
	cur := m.Pools[h.id]
	if cur == h.view.Load().pool {
		return
	}
	pub := &published{pool: cur}
	var members []balance.Member
	if cur != nil && !cur.Out {
		for _, b := range cur.Servers {
			if b.Leaving {
				continue
			}
			s := h.c.backend(b)
			members = append(members, balance.Member{Name: s.key, Slots: b.Slots, Counter: &s.counter})
			pub.servers, pub.backends = append(pub.servers, b), append(pub.backends, s)
		}
	}
	cfg := balance.Config{}
	if cur != nil {
		cfg.ReportAge = time.Duration(cur.Service.ReportAge)
		cfg.MaxEjected = ejectionQuota(m, cur)
		h.queue.SetLimit(cur.Service.QueueLength)
	}
	h.pool.SetMembers(cfg, members)
	pub.view = h.pool.View()
	h.view.Store(pub)
}

// ejectionQuota is this pool's part of the service's bound on ejections.
func ejectionQuota(m *manifest.Manifest, p *manifest.Pool) int {
	pools := m.ByName[p.ID.Service]
	sizes := make([]int, len(pools))
	for i, other := range pools {
		sizes[i] = len(other.Servers)
	}
	return balance.EjectionQuota(sizes, slices.Index(pools, p), p.Service.MaxEjectedPercent)
}

// housekeep frees expired grants, looks for requests that are overdue, and
// publishes counters and load.
func (h *holder) housekeep(now clock.Time) {
	pub := h.view.Load()
	h.pool.SetPeerMedians(h.peerMedians())
	changed := false
	for _, b := range pub.backends {
		h.ages = h.ages[:0]
		b.each(func(rec *record) {
			if rec.remote && !now.Before(rec.expires) {
				h.expire(rec)
				return
			}
			if rec.holder == h {
				h.ages = append(h.ages, h.c.age(rec, now))
			}
		})
		if h.pool.Ages(b.key, h.ages, now) {
			changed = true
		}
	}
	if changed || far(h.view.Load().median, h.pool.Median()) {
		h.publish()
	}
	stats := h.pool.Stats()
	h.c.count.add(stats, h.stats)
	h.stats = stats
	h.publishLoad(now)
}

// far reports whether a published median is off by more than an eighth.
func far(published, now time.Duration) bool {
	return (published - now).Abs() > published/8
}

// expire frees the slot of a grant whose end was never reported.
func (h *holder) expire(rec *record) {
	if h.c.backends.Load().end(rec.grant.ID) != nil {
		rec.backend.counter.Release()
		h.c.count.expired.Add(1)
	}
}

func (h *holder) peerMedians() []time.Duration {
	var out []time.Duration
	for id, n := range *h.c.news.Load() {
		if id.Service != h.id.Service || id == h.id {
			continue
		}
		if l := n.last.Load(); l != nil {
			out = append(out, time.Duration(l.MedianMicros)*time.Microsecond)
		}
	}
	return out
}

// load returns the load of the pool as of now. It is safe for concurrent use.
func (h *holder) load() wire.PoolLoad {
	pub := h.view.Load()
	l := wire.PoolLoad{
		Pool: h.id, Free: pub.view.Free(), Queued: int(h.waiting.Load()), Slots: pub.view.Slots,
		MedianMicros: pub.median.Microseconds(),
	}
	if m := h.c.store.Load().Manifest; m != nil && m.Pools[h.id] == pub.pool {
		l.Revision = m.File.Revision
	}
	for i, s := range pub.view.Servers {
		if !s.Warm {
			l.Cold = append(l.Cold, pub.servers[i].Name)
		}
	}
	return l
}

func (h *holder) publishLoad(now clock.Time) {
	l := h.load()
	h.c.note(l)
	if h.c.gossip == nil {
		return
	}
	since := now.Sub(h.gossiped)
	full := (l.Free == 0) != (h.gossipFree == 0)
	if h.gossiped == 0 || since >= gossipAtLeast || (full && since >= gossipAtMost) {
		h.gossiped, h.gossipFree = now, l.Free
		h.c.gossip.Publish(wire.Update{Load: &l})
	}
}
