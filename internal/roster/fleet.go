package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/rendezvous"
)

// remoteFreshness is how old the newest information about a host of another data centre
// may be while that data centre is in reach. Other data centres learn of single hosts by
// samples in digests, so that it takes seconds until each was named.
const remoteFreshness = 15 * time.Second

// remoteReach is how old the newest information about any host of another data centre may
// be while that data centre counts as in reach. Digests come every 0.2 s. A host that is
// cut off alone thus knows it as soon as others replace it as the owner of tasks.
const remoteReach = time.Second

// fleetRetention is how long a host that is not alive counts as part of the fleet. A group
// of hosts that is cut off must not take itself for the whole fleet while the cut lasts.
const fleetRetention = time.Hour

// FleetOwner returns the address of the host that owns a task of the whole fleet. The
// first data centre in rendezvous order with an alive host owns the task, and in it the
// first host. Hosts agree on the data centre as long as one host of it is heard of, and
// the hosts of a data centre know each other within fractions of a second; what they know
// of single hosts elsewhere is too old to choose among these. A host of another data
// centre may therefore name the wrong host, which passes the task on. A host with the
// address avoid is passed over if there is a second one.
func (v *View) FleetOwner(k rendezvous.Key, avoid string) string {
	if owner := v.fleetOwner(k, avoid, false); owner != "" {
		return owner
	}
	return v.fleetOwner(k, avoid, true) // all are stopping
}

// fleetOwner is FleetOwner among the hosts that are leaving, or among the others.
func (v *View) fleetOwner(k rendezvous.Key, avoid string, leaving bool) string {
	candidate := func(h Host) bool { return h.Leaving == leaving }
	dc, best := "", uint64(0)
	if candidate(v.Self) || slices.ContainsFunc(v.Local, candidate) {
		dc, best = v.Self.DataCentre, k.Score(v.Self.DataCentre)
	}
	for name, hosts := range v.Remote {
		if s := k.Score(name); (dc == "" || s > best || s == best && name < dc) && slices.ContainsFunc(hosts, candidate) {
			dc, best = name, s
		}
	}
	var first ranking
	hosts, remote := v.Remote[dc]
	if !remote && dc != "" {
		hosts = v.Local
		if candidate(v.Self) {
			first.consider(k, v.Self.Address, avoid)
		}
	}
	for i := range hosts {
		if candidate(hosts[i]) {
			first.consider(k, hosts[i].Address, avoid)
		}
	}
	return cmp.Or(first.address, first.avoided)
}

// ranking keeps the address with the highest score.
type ranking struct {
	address, avoided string
	score            uint64
}

func (r *ranking) consider(k rendezvous.Key, address, avoid string) {
	if address == avoid {
		r.avoided = address
		return
	}
	if s := k.Score(address); r.address == "" || s > r.score || s == r.score && address < r.address {
		r.address, r.score = address, s
	}
}

func anyEligible(hosts []Host) bool {
	return slices.ContainsFunc(hosts, func(h Host) bool { return !h.Leaving })
}

// SameFleetOwners reports whether FleetOwner gives the same results for the tasks that a
// host of this data centre may own.
func (v *View) SameFleetOwners(other *View) bool {
	if len(v.eligible) == 0 || !v.SameOwners(other) || len(v.Remote) != len(other.Remote) {
		return false // without eligible hosts, leaving ones may own the tasks
	}
	for name, hosts := range v.Remote {
		if o, ok := other.Remote[name]; !ok || anyEligible(hosts) != anyEligible(o) {
			return false
		}
	}
	return true
}

// FleetSize returns how many hosts of the fleet are known at now, this one included, and
// how many of them its group reaches: the alive ones of its data centre, and those of
// other data centres that have been heard of lately while the data centre is in reach.
// Hosts that announced their stop count while they are alive, since they still serve.
func (v *View) FleetSize(now clock.Time) (reachable, known int) {
	reachable, known = 1+len(v.Local), 1+len(v.Local)+len(v.Forgotten)
	inReach := map[string]bool{}
	for dc, hosts := range v.Remote {
		known += len(hosts)
		if slices.ContainsFunc(hosts, func(h Host) bool { return now.Sub(h.Received) <= remoteReach }) {
			inReach[dc] = true
			reachable += len(hosts)
		}
	}
	for i := range v.NotAlive {
		h := &v.NotAlive[i]
		if h.Leaving {
			continue
		}
		if known++; inReach[h.DataCentre] && now.Sub(h.Received) <= remoteFreshness {
			reachable++
		}
	}
	return reachable, known
}

// NeverHeard returns how many of the hosts with these addresses this process has never
// heard of.
func (v *View) NeverHeard(addresses []string) (n int) {
	for _, a := range addresses {
		silent := func(h Host) bool { return h.Address == a }
		if v.DataCentreOf(a) == "" && !slices.ContainsFunc(v.NotAlive, silent) && !slices.Contains(v.Forgotten, a) {
			n++
		}
	}
	return n
}

// DataCentreOf returns the data centre of an alive host, or "".
func (v *View) DataCentreOf(address string) string {
	has := func(h Host) bool { return h.Address == address }
	if address == v.Self.Address || slices.ContainsFunc(v.Local, has) {
		return v.Self.DataCentre
	}
	for dc, hosts := range v.Remote {
		if slices.ContainsFunc(hosts, has) {
			return dc
		}
	}
	return ""
}
