package balance

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// Counter holds the atomics of one backend server.
type Counter struct {
	inflight atomic.Int64
	trickle  atomic.Int64 // clock.Time from which an ejected server may get a request
}

// Inflight returns the requests in flight by the holder's count.
func (c *Counter) Inflight() int { return int(c.inflight.Load()) }

// Release gives back one slot and returns how many were taken before.
func (c *Counter) Release() int { return int(c.inflight.Add(-1)) + 1 }

// Occupy takes n slots without regard to a limit, for work that was handed over.
func (c *Counter) Occupy(n int) { c.inflight.Add(int64(n)) }

// ServerView is one server in a View.
type ServerView struct {
	Name    string
	Limit   int
	Weight  float64 // 1/16 to 1
	Ejected bool    // gets one request per trickle interval
	Warm    bool
	Counter *Counter
}

// View is an immutable picture of a pool for the path of a request.
type View struct {
	Servers []ServerView
	Slots   int // sum of the limits of servers that are not ejected
	trickle time.Duration
}

// View returns the current view.
func (p *Pool) View() *View { return p.view }

// Refresh rebuilds the view when a limit, weight or state differs, and reports
// whether it did.
func (p *Pool) Refresh(now clock.Time) bool {
	changed := len(p.view.Servers) != len(p.servers)
	p.reserved = p.reserved && now.Before(p.reservedUntil)
	median := p.median()
	for i, s := range p.servers {
		if !now.Before(s.foreignUntil) {
			s.foreign = 0
		}
		if !changed {
			changed = p.serverView(s, median) != p.view.Servers[i]
		}
	}
	if changed {
		p.rebuild()
	}
	return changed
}

func (p *Pool) serverView(s *server, median float64) ServerView {
	v := ServerView{Name: s.name, Limit: s.limit, Ejected: s.ejected, Warm: !s.cold && !s.straggler && !s.failing, Counter: s.counter}
	if s.ejected {
		v.Limit = 1
	}
	if p.reserved {
		v.Limit = min(v.Limit, s.slots-s.slots/2)
	}
	v.Limit = max(1, min(v.Limit, s.slots-s.foreign))
	// Steps of 1/16 keep small movements from publishing a view per request.
	v.Weight = max(1, float64(int(s.weight(median)*16+0.5))) / 16
	return v
}

func (p *Pool) rebuild() {
	v := &View{Servers: make([]ServerView, len(p.servers)), trickle: p.cfg.Trickle}
	median := p.median()
	for i, s := range p.servers {
		v.Servers[i] = p.serverView(s, median)
		if !s.ejected {
			v.Slots += v.Servers[i].Limit
		}
	}
	p.view = v
}

// Free returns the slots that are not taken on servers that are not ejected.
func (v *View) Free() int {
	n := 0
	for i := range v.Servers {
		if s := &v.Servers[i]; !s.Ejected {
			n += max(0, s.Limit-s.Counter.Inflight())
		}
	}
	return n
}

// Spare reports whether the pool has slots to spare for a request of another
// data centre that has a pool of its own. Its slot is taken for two more round
// trips between data centres, so an eighth of the slots stays with the own one.
func (v *View) Spare() bool { return v.Free() > v.Slots/8 }

// Take takes a slot on the server with the lowest load relative to limit and
// weight, and returns its index, or -1 if every server is at its limit. Ties
// go by random, a random number. It uses atomics only and is safe for
// concurrent use. Servers named in avoid are taken only if no other is free.
func (v *View) Take(now clock.Time, idempotent bool, avoid []string, random uint64) int {
	if i := v.takeTrickle(now, idempotent, avoid); i >= 0 {
		return i
	}
	// A lost race means that another request took a slot. The bound ends the
	// attempts; the caller then queues.
	for range 2 * len(v.Servers) {
		i, n := v.best(avoid, random)
		if i < 0 {
			return -1
		}
		if v.Servers[i].Counter.inflight.CompareAndSwap(n, n+1) {
			return i
		}
	}
	return -1
}

// takeTrickle takes a slot on an idle ejected server whose turn has come. An
// order is used only when no idempotent request came for four intervals.
func (v *View) takeTrickle(now clock.Time, idempotent bool, avoid []string) int {
	for i := range v.Servers {
		s := &v.Servers[i]
		if !s.Ejected || slices.Contains(avoid, s.Name) {
			continue
		}
		due := s.Counter.trickle.Load()
		wait := now
		if !idempotent {
			wait = now.Add(-4 * v.trickle)
		}
		if int64(wait) < due || !s.Counter.trickle.CompareAndSwap(due, int64(now.Add(v.trickle))) {
			continue
		}
		if s.Counter.inflight.CompareAndSwap(0, 1) {
			return i
		}
	}
	return -1
}

func (v *View) best(avoid []string, random uint64) (index int, inflight int64) {
	index = -1
	best, avoided := 0.0, false
	n := len(v.Servers)
	if n == 0 {
		return -1, 0
	}
	start := int(random % uint64(n))
	for k := range n {
		i := start + k
		if i >= n {
			i -= n
		}
		s := &v.Servers[i]
		count := s.Counter.inflight.Load()
		if s.Ejected || count >= int64(s.Limit) {
			continue
		}
		skip := len(avoid) > 0 && slices.Contains(avoid, s.Name)
		score := float64(count+1) / (float64(s.Limit) * s.Weight)
		if index < 0 || (avoided && !skip) || (avoided == skip && score < best) {
			index, inflight, best, avoided = i, count, score, skip
		}
	}
	return index, inflight
}
