// Package roster decides from received heartbeats which entry hosts are alive, and
// which of them owns an assigned task: work that one host of a data centre, or of
// the fleet, does for the others. Controllers keep the roster and read its views.
// The package does no I/O and reads no clock.
package roster

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/rendezvous"
)

const (
	// LocalAliveTimeout is how long a host of the local data centre counts as alive
	// without a heartbeat. It spans several heartbeats, since single ones get lost.
	LocalAliveTimeout = 700 * time.Millisecond
	// RemoteAliveTimeout is the same for hosts of other data centres, whose state
	// reaches this host through others.
	RemoteAliveTimeout = 3 * time.Second
	// hostRetention is how long this host still sends its state to a host that no
	// longer responds, so that both sides of a healed partition find each other.
	hostRetention = 2 * time.Minute
	// maxHosts bounds the number of known hosts.
	maxHosts = 1024
	// MaxConcurrentOwners is the number of hosts that may own the same task at the
	// same time when their views differ: one on each side of a partition, and one
	// host that has just started.
	MaxConcurrentOwners = 3
	// maxShardOwners bounds the hosts of a data centre that share the sharded tasks
	// (see IsShardOwner), since each of them sends its results to all other hosts.
	// With 28 hosts in the data centre, each of the 8 owners probes 8 servers and
	// sends 28 heartbeats a second to every other host, about 3% of a core. The
	// hosts that own none receive 224 heartbeats a second rather than 756.
	maxShardOwners = 8
)

// Host is one entry host.
type Host struct {
	Address     string // IP:port for datagrams
	DataCentre  string
	Incarnation uint32     // random per process start; 0 until received
	Leaving     bool       // announced a planned stop
	Received    clock.Time // time of the newest heartbeat from it, to this host or another
}

// Roster is the set of entry hosts that one entry host knows. It is not safe for
// concurrent use.
type Roster struct {
	self  Host
	hosts map[string]*Host // by address, without self
	// forgotten holds when the hosts that Expire removed were last heard of. They may be
	// alive where this host cannot reach them.
	forgotten map[string]clock.Time
}

// New returns a roster that contains only self.
func New(self Host) *Roster {
	return &Roster{self: self, hosts: map[string]*Host{}, forgotten: map[string]clock.Time{}}
}

// Leave marks this host as leaving.
func (r *Roster) Leave() { r.self.Leaving = true }

// Self returns this host.
func (r *Roster) Self() Host { return r.self }

// Received records a heartbeat that came from h itself. It reports whether this
// process of the host was unknown before.
func (r *Roster) Received(now clock.Time, h Host) (isNew bool) {
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
		delete(r.forgotten, h.Address)
	}
	isNew = old.Incarnation != h.Incarnation
	*old = h
	old.Received = now
	return isNew
}

// ReceivedIndirect records the state of h as reported by another host, which
// received it from h at h.Received.
func (r *Roster) ReceivedIndirect(h Host) {
	if h.Address == r.self.Address || h.Address == "" {
		return
	}
	old := r.hosts[h.Address]
	switch {
	case old == nil && len(r.hosts) < maxHosts:
		r.hosts[h.Address] = &h
		delete(r.forgotten, h.Address)
	case old != nil && old.Received.Before(h.Received):
		*old = h
	}
}

// alive reports whether h counts as alive at now.
func (r *Roster) alive(now clock.Time, h *Host) bool {
	timeout := RemoteAliveTimeout
	if h.DataCentre == r.self.DataCentre {
		timeout = LocalAliveTimeout
	}
	return h.Incarnation != 0 && now.Sub(h.Received) <= timeout
}

// Expire removes hosts without a heartbeat for longer than hostRetention.
func (r *Roster) Expire(now clock.Time) {
	for address, h := range r.hosts {
		if now.Sub(h.Received) > hostRetention {
			delete(r.hosts, address)
			if !h.Leaving && len(r.forgotten) < maxHosts {
				r.forgotten[address] = h.Received
			}
		}
	}
	for address, received := range r.forgotten {
		if now.Sub(received) > fleetRetention {
			delete(r.forgotten, address)
		}
	}
}

// View is a snapshot of the roster. It is immutable. The views of different hosts
// may differ, so that a task can have several owners at times; no rule depends on
// the number of hosts.
type View struct {
	Self        Host
	Local       []Host            // alive hosts of the local data centre, without self, in order of address
	Remote      map[string][]Host // alive hosts of each other data centre, in order of address
	NotAlive    []Host            // known hosts that do not count as alive
	Forgotten   []string          // addresses of hosts not heard of for longer, which may be alive out of reach
	eligible    []string          // addresses of local hosts that may own tasks, including self
	shardOwners []string          // those of them that share the sharded tasks
}

// View returns a snapshot of the roster at now.
func (r *Roster) View(now clock.Time) *View {
	v := &View{Self: r.self, Remote: map[string][]Host{}, Forgotten: slices.Collect(maps.Keys(r.forgotten))}
	if !r.self.Leaving {
		v.eligible = append(v.eligible, r.self.Address)
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
				v.eligible = append(v.eligible, a)
			}
		default:
			v.Remote[h.DataCentre] = append(v.Remote[h.DataCentre], *h)
		}
	}
	v.selectShardOwners()
	return v
}

// NewView returns the view of a host whose alive peers are not determined by a
// Roster. hosts are those peers; the view lists them in the given order.
func NewView(self Host, hosts []Host) *View {
	v := &View{Self: self, Remote: map[string][]Host{}}
	if !self.Leaving {
		v.eligible = append(v.eligible, self.Address)
	}
	for _, h := range hosts {
		if h.DataCentre != self.DataCentre {
			v.Remote[h.DataCentre] = append(v.Remote[h.DataCentre], h)
			continue
		}
		v.Local = append(v.Local, h)
		if !h.Leaving {
			v.eligible = append(v.eligible, h.Address)
		}
	}
	v.selectShardOwners()
	return v
}

// IsOwner reports whether this host owns the task named key in its data centre.
func (v *View) IsOwner(key string) bool { return v.Rank(key) == 0 }

// IsShardOwner reports whether this host owns the task named key, one of the many
// tasks that are sharded among a few hosts of the data centre. Differing views make
// a few more hosts owners; a host that sees no other owns all tasks.
func (v *View) IsShardOwner(key string) bool {
	if len(v.shardOwners) == 0 {
		return v.IsOwner(key)
	}
	return rendezvous.NewKey(key).First(v.shardOwners) == v.Self.Address
}

// OwnedShare returns those of the tasks that this host owns when all hosts of the data
// centre that may own tasks share them evenly. The tasks must be in the same order on
// all hosts.
func (v *View) OwnedShare(tasks []string) (owned []string) {
	assigned := rendezvous.Balanced(tasks, v.eligible)
	for _, task := range tasks {
		if assigned[task] == v.Self.Address {
			owned = append(owned, task)
		}
	}
	return owned
}

// SameOwners reports whether the same hosts may own tasks in both views.
func (v *View) SameOwners(other *View) bool { return slices.Equal(v.eligible, other.eligible) }

// selectShardOwners selects the hosts that share the sharded tasks: the first ones
// in rendezvous order, so that a host that joins or leaves changes one of them.
func (v *View) selectShardOwners() {
	if v.Self.Leaving && len(v.eligible) == 0 {
		return
	}
	order := rendezvous.NewKey("crew").Order(v.eligible)
	v.shardOwners = order[:min(len(order), maxShardOwners)]
}

// Rank returns the rank of this host among those of its data centre that may own
// the task named key: 0 is the owner, 1 is the first standby, which takes over when
// the owner fails. A leaving host gets -1, unless no other host may own the task.
func (v *View) Rank(key string) int {
	return v.RankWithout(key, nil)
}

// RankWithout returns the rank of this host as Rank does, but leaves out other hosts whose
// addresses are excluded.
func (v *View) RankWithout(key string, excluded map[string]bool) int {
	if v.Self.Leaving {
		if len(v.eligible) == 0 {
			return 0
		}
		return -1
	}
	k := rendezvous.NewKey(key)
	ownScore, rank := k.Score(v.Self.Address), 0
	for _, address := range v.eligible {
		if excluded[address] {
			continue
		}
		if s := k.Score(address); s > ownScore || s == ownScore && address < v.Self.Address {
			rank++
		}
	}
	return rank
}

// Pick returns a random alive host of another data centre, preferably one that is
// not leaving.
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

// Size returns the number of known hosts, alive or not, including self.
func (v *View) Size() int {
	n := 1 + len(v.Local) + len(v.NotAlive)
	for _, hosts := range v.Remote {
		n += len(hosts)
	}
	return n
}
