package backend

import (
	"context"
	"maps"
	"time"

	"github.com/sourcegraph/conc"
)

// Server is a backend server that this process may send to.
type Server struct {
	Address        string  // IP:port
	MaxConnections int     // connections this process may have open; at least 1
	DialsPerSecond float64 // connections opened ahead per second
}

// SetServers replaces the set of backend servers. Idle connections of servers
// that are no longer named, or beyond a lowered limit, are closed.
func (t *Transport) SetServers(servers []Server) {
	wanted := make(map[string]Server, len(servers))
	for _, s := range servers {
		wanted[s.Address] = s
	}
	t.edit(func(hosts map[string]*host) {
		for address := range hosts {
			if _, ok := wanted[address]; !ok {
				delete(hosts, address)
			}
		}
		for address := range wanted {
			if hosts[address] == nil {
				hosts[address] = t.newHost(address)
			}
		}
	})
	for address, h := range *t.hosts.Load() {
		if s, ok := wanted[address]; ok {
			h.limit.Store(int64(max(1, s.MaxConnections)))
			h.perSec.Store(int64(s.DialsPerSecond * 1000))
		}
	}
	t.notify()
}

// Warm asks for n idle connections to a backend server, opened ahead at the
// server's rate and within its limit. It does not block. Unknown addresses are
// ignored.
func (t *Transport) Warm(address string, n int) {
	if h := (*t.hosts.Load())[address]; h != nil {
		h.wanted.Store(int64(min(n, idleSlots)))
		t.notify()
	}
}

func (t *Transport) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Transport) newHost(address string) *host {
	h := &host{address: address}
	h.limit.Store(int64(t.options.MaxConnections))
	return h
}

// host returns the entry of an address. The table is copied for an address
// that is not known yet, which happens once per address.
func (t *Transport) host(address string) *host {
	if h := (*t.hosts.Load())[address]; h != nil {
		return h
	}
	t.edit(func(hosts map[string]*host) {
		if hosts[address] == nil {
			hosts[address] = t.newHost(address)
		}
	})
	if h := (*t.hosts.Load())[address]; h != nil {
		return h
	}
	h := t.newHost(address) // removed at the same moment: use it once
	h.gone.Store(true)
	return h
}

// edit publishes a changed copy of the table and retires removed entries.
func (t *Transport) edit(change func(map[string]*host)) {
	for {
		old := t.hosts.Load()
		next := maps.Clone(*old)
		change(next)
		if !t.hosts.CompareAndSwap(old, &next) {
			continue
		}
		for address, h := range *old {
			if next[address] != h {
				h.gone.Store(true)
				t.pruned.Add(h.closeIdle())
			}
		}
		return
	}
}

// Run opens connections that Warm asked for and closes idle ones past the idle
// limit, until ctx ends. Then it closes every idle connection.
func (t *Transport) Run(ctx context.Context) {
	var dials conc.WaitGroup
	defer func() {
		dials.Wait()
		for _, h := range *t.hosts.Load() {
			t.pruned.Add(h.closeIdle())
		}
	}()
	due := map[*host]time.Time{} // earliest next connection opened ahead
	prune := time.NewTicker(max(t.options.IdleTimeout/4, time.Millisecond))
	defer prune.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(t.warm(ctx, &dials, due))
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-timer.C:
		case <-prune.C:
			t.prune(due)
		}
	}
}

// warm starts the dials that are due and returns the time until the next one.
func (t *Transport) warm(ctx context.Context, dials *conc.WaitGroup, due map[*host]time.Time) time.Duration {
	now, next := time.Now(), time.Hour
	for _, h := range *t.hosts.Load() {
		rate := h.perSec.Load()
		if rate <= 0 || h.count.Load() >= h.wanted.Load() || h.open.Load() >= h.limit.Load() {
			continue
		}
		if wait := due[h].Sub(now); wait > 0 {
			next = min(next, wait)
			continue
		}
		gap := time.Duration(1000 * float64(time.Second) / float64(rate))
		due[h] = now.Add(gap)
		next = min(next, gap)
		dials.Go(func() {
			if c, err := t.open(ctx, h, time.Now().Add(t.options.DialTimeout)); err == nil && !t.keep(h, c) {
				h.close(c)
			}
		})
	}
	return next
}

// prune closes idle connections that the server closed, that reached the idle
// limit, or that exceed the share.
func (t *Transport) prune(due map[*host]time.Time) {
	hosts := *t.hosts.Load()
	for _, h := range hosts {
		for i := range h.idle {
			c := h.idle[i].Swap(nil)
			if c == nil {
				continue
			}
			h.count.Add(-1)
			old := time.Since(c.idleSince) >= t.options.IdleTimeout || c.expired(time.Now())
			if old || c.look() != peekedQuiet || !h.put(c) {
				t.pruned.Add(1)
				h.close(c)
			}
		}
	}
	maps.DeleteFunc(due, func(h *host, _ time.Time) bool { return hosts[h.address] != h })
}
