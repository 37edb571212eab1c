// Package roster decides which entry hosts are alive and which of them does a
// duty that one host of a data centre, or of the fleet, should do. It is pure
// and not safe for concurrent use. Views of hosts may differ: a duty can be done
// twice for a while, and nothing depends on how many hosts there are.
package roster

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/rendezvous"
)

const (
	// AliveLocal is how long a host of the own data centre counts as alive
	// without a word of it: several beats, of which single ones get lost.
	LocalAliveTimeout = 700 * time.Millisecond
	// AliveRemote is the same for hosts of other data centres, of which this
	// host hears through others.
	RemoteAliveTimeout = 3 * time.Second
	// forget is how long a silent host is still told of the own state, so that
	// both sides of a healed partition find each other.
	forget = 2 * time.Minute
	// maxHosts bounds the hosts known.
	maxHosts = 1024
	// MaxDoers is the number of hosts that may take a duty for theirs at the same
	// time, when views differ: both sides of a partition and one host that has just
	// started.
	MaxConcurrentOwners = 3
	// maxCrew bounds the hosts of a data centre that share the duties of which
	// there are many, since each of them tells all others what came of it. With
	// 28 hosts, 8 of them measure 8 servers each and send 28 beats a second, some
	// 3% of a core; the others receive 224 beats a second in place of 756.
	maxCrew = 8
)

// Host is one entry host.
type Host struct {
	Address     string // IP:port for datagrams
	DataCentre  string
	Incarnation uint32 // random per process start; 0 while it was not heard
	Leaving     bool   // announced a planned stop
	Received    clock.Time
}

// Roster is the set of entry hosts known to one of them.
type Roster struct {
	self  Host
	hosts map[string]*Host // by address, without self
}

// New returns a roster that knows self only.
func New(self Host) *Roster { return &Roster{self: self, hosts: map[string]*Host{}} }

// Leave marks this host as leaving.
func (r *Roster) Leave() { r.self.Leaving = true }

// Self returns this host.
func (r *Roster) Self() Host { return r.self }

// Heard takes a word that came from the host itself. It reports whether the
// process is new to this host.
func (r *Roster) Received(now clock.Time, h Host) (fresh bool) {
	if h.Address == r.self.Address || h.Address == "" {
		return false
	}
	old := r.hosts[h.Address]
	if old == nil {
		if len(r.hosts) >= maxHosts {
			return false
		}
		old = &Host{Address: h.Address}
		r.hosts[h.Address] = old
	}
	fresh = old.Incarnation != h.Incarnation
	*old = h
	old.Received = now
	return fresh
}

// Told takes what another host says of h: that it was heard at the given time.
func (r *Roster) ReceivedIndirect(h Host) {
	if h.Address == r.self.Address || h.Address == "" {
		return
	}
	old := r.hosts[h.Address]
	switch {
	case old == nil && len(r.hosts) < maxHosts:
		r.hosts[h.Address] = &h
	case old != nil && old.Received.Before(h.Received):
		*old = h
	}
}

// alive reports whether h counts as alive at now.
func (r *Roster) alive(now clock.Time, h *Host) bool {
	limit := RemoteAliveTimeout
	if h.DataCentre == r.self.DataCentre {
		limit = LocalAliveTimeout
	}
	return h.Incarnation != 0 && now.Sub(h.Received) <= limit
}

// Expire removes hosts that were silent for long.
func (r *Roster) Expire(now clock.Time) {
	for address, h := range r.hosts {
		if now.Sub(h.Received) > forget {
			delete(r.hosts, address)
		}
	}
}

// View is the roster at one moment. It is immutable.
type View struct {
	Self     Host
	Local    []Host            // alive hosts of the own data centre, without self, by address
	Remote   map[string][]Host // alive hosts of other data centres, by address
	NotAlive []Host            // known hosts that do not count as alive
	workers  []string          // addresses of local hosts that may take duties, self included
	crew     []string          // those of them that share the duties of which there are many
}

// View returns the roster at now.
func (r *Roster) View(now clock.Time) *View {
	v := &View{Self: r.self, Remote: map[string][]Host{}}
	if !r.self.Leaving {
		v.workers = append(v.workers, r.self.Address)
	}
	addresses := make([]string, 0, len(r.hosts))
	for a := range r.hosts {
		addresses = append(addresses, a)
	}
	slices.Sort(addresses)
	for _, a := range addresses {
		h := r.hosts[a]
		switch {
		case !r.alive(now, h):
			v.NotAlive = append(v.NotAlive, *h)
		case h.DataCentre == r.self.DataCentre:
			v.Local = append(v.Local, *h)
			if !h.Leaving {
				v.workers = append(v.workers, a)
			}
		default:
			v.Remote[h.DataCentre] = append(v.Remote[h.DataCentre], *h)
		}
	}
	v.choose()
	return v
}

// NewView returns the view of a host that learns elsewhere which others are
// alive. hosts are those alive, without self, in any order.
func NewView(self Host, hosts []Host) *View {
	v := &View{Self: self, Remote: map[string][]Host{}}
	if !self.Leaving {
		v.workers = append(v.workers, self.Address)
	}
	for _, h := range hosts {
		if h.DataCentre != self.DataCentre {
			v.Remote[h.DataCentre] = append(v.Remote[h.DataCentre], h)
			continue
		}
		v.Local = append(v.Local, h)
		if !h.Leaving {
			v.workers = append(v.workers, h.Address)
		}
	}
	v.choose()
	return v
}

// Mine reports whether this host does the duty named key in its data centre.
func (v *View) IsOwner(key string) bool { return v.Rank(key) == 0 }

// Shared reports whether this host does the duty named key, which is one of many
// that few hosts of the data centre share. Views that differ name a few hosts
// more; a host that sees no other does all.
func (v *View) IsShardOwner(key string) bool {
	if len(v.crew) == 0 {
		return v.IsOwner(key)
	}
	return rendezvous.NewKey(key).First(v.crew) == v.Self.Address
}

// choose names the hosts that share duties: the first in rendezvous order, so
// that one that comes or goes changes one of them.
func (v *View) choose() {
	if v.Self.Leaving && len(v.workers) == 0 {
		return
	}
	order := rendezvous.NewKey("crew").Order(v.workers)
	v.crew = order[:min(len(order), maxCrew)]
}

// Rank returns the place of this host among those of its data centre that may
// do the duty named key: 0 does it, 1 follows when 0 fails. A host that leaves
// has no place and gets -1, unless it is the only one.
func (v *View) Rank(key string) int {
	if v.Self.Leaving {
		if len(v.workers) == 0 {
			return 0
		}
		return -1
	}
	k := rendezvous.NewKey(key)
	own, rank := k.Score(v.Self.Address), 0
	for _, w := range v.workers {
		if s := k.Score(w); s > own || s == own && w < v.Self.Address {
			rank++
		}
	}
	return rank
}

// Pick returns a random alive host of a data centre, preferring those that stay.
func (v *View) Pick(dataCentre string, r *rand.Rand) (Host, bool) {
	hosts := v.Remote[dataCentre]
	if len(hosts) == 0 {
		return Host{}, false
	}
	first := r.IntN(len(hosts))
	for i := range hosts {
		if h := hosts[(first+i)%len(hosts)]; !h.Leaving {
			return h, true
		}
	}
	return hosts[first], true
}

// Size returns how many hosts are known, alive or not, self included.
func (v *View) Size() int {
	n := 1 + len(v.Local) + len(v.NotAlive)
	for _, hosts := range v.Remote {
		n += len(hosts)
	}
	return n
}
