package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/rendezvous"
)

// TestFleetOwner guards against a task of the fleet with several owners, or none, while
// hosts know only some of the hosts of other data centres, and against a leaving owner.
func TestFleetOwner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		n, dcs := 2+rng.IntN(30), 1+rng.IntN(4)
		leaving := rng.IntN(n)
		key, now := rendezvous.NewKey(fmt.Sprint("a", rng.IntN(1000))), clock.Time(10*time.Second)
		owners := map[string]bool{}
		for i := range n {
			r := New(host(i, fmt.Sprint("z", i%dcs)))
			if i == leaving {
				r.Leave()
			}
			for j := range n {
				h := host(j, fmt.Sprint("z", j%dcs))
				h.Leaving = j == leaving
				// Of each other data centre its first two hosts are known, and some more.
				if j%dcs == i%dcs || j < 2*dcs || rng.IntN(2) == 0 {
					r.Received(now, h)
				}
			}
			v := r.View(now)
			if v.FleetOwner(key, "") == v.Self.Address {
				owners[v.Self.Address] = true
			}
		}
		if n > 2*dcs && len(owners) != 1 || owners[host(leaving, "").Address] {
			rt.Fatalf("%d hosts in %d data centres, %d of them leaving: owners %v", n, dcs, leaving, owners)
		}
	})
}

// TestFleetOwnerAvoids guards against an ask that is repeated at the host that is silent,
// and against one that reaches nobody as there is no other host.
func TestFleetOwnerAvoids(t *testing.T) {
	is := is.New(t)
	key := rendezvous.NewKey("a1")
	r := New(host(0, "a"))
	alone := r.View(0)
	is.Equal(alone.FleetOwner(key, alone.Self.Address), alone.Self.Address)
	r.Received(0, host(1, "a"))
	r.Received(0, host(2, "a"))
	v := r.View(0)
	first := v.FleetOwner(key, "")
	second := v.FleetOwner(key, first)
	is.True(second != first && second != "")
}

// TestFleetOwnerOfStoppingFleet guards against hosts that each take themselves for the owner
// when all of them are stopped at the same time.
func TestFleetOwnerOfStoppingFleet(t *testing.T) {
	is := is.New(t)
	key := rendezvous.NewKey("a1")
	owners := map[string]bool{}
	for i := range 6 {
		r := New(host(i, fmt.Sprint("z", i%2)))
		r.Leave()
		for j := range 6 {
			h := host(j, fmt.Sprint("z", j%2))
			h.Leaving = true
			r.Received(0, h)
		}
		v := r.View(0)
		owners[v.FleetOwner(key, "")] = true
		reachable, known := v.FleetSize(0)
		is.Equal([2]int{reachable, known}, [2]int{6, 6})
	}
	is.Equal(len(owners), 1)
}

// TestFleetSize guards against a group of hosts that is cut off and takes itself for the
// whole fleet, at once or after it has forgotten the others, and against hosts that have
// announced their stop and are missed.
func TestFleetSize(t *testing.T) {
	is := is.New(t)
	r := New(host(0, "a"))
	leaving := host(9, "b")
	leaving.Leaving = true
	for i := 1; i < 4; i++ {
		r.Received(0, host(i, "a"))
		r.Received(0, host(3+i, "b"))
	}
	r.Received(0, leaving)
	size := func(now clock.Time) [2]int {
		r.Expire(now)
		reachable, known := r.View(now).FleetSize(now)
		return [2]int{reachable, known}
	}
	is.Equal(size(0), [2]int{8, 8}) // the leaving host still serves
	now := clock.Time(2 * time.Second)
	for i := 1; i < 4; i++ {
		r.Received(now, host(i, "a"))
	}
	is.Equal(size(now), [2]int{4, 8}) // nothing was heard of data centre b for too long
	r.Received(now, host(4, "b"))
	is.Equal(size(now), [2]int{8, 8}) // one host of it is a sample of all
	is.Equal(size(now.Add(800 * time.Millisecond))[1], 8)
	now = now.Add(RemoteAliveTimeout + time.Second)
	for i := 1; i < 4; i++ {
		r.Received(now, host(i, "a"))
	}
	is.Equal(size(now), [2]int{4, 7}) // the leaving host is gone
	now = now.Add(hostRetention + time.Second)
	for i := 1; i < 4; i++ {
		r.Received(now, host(i, "a"))
	}
	is.Equal(size(now), [2]int{4, 7}) // the others are forgotten, but not taken for gone
	is.Equal(r.View(now).NeverHeard([]string{host(4, "").Address, host(1, "").Address, "10.9.9.9:1"}), 1)
	now = now.Add(fleetRetention + time.Second)
	for i := 1; i < 4; i++ {
		r.Received(now, host(i, "a"))
	}
	is.Equal(size(now), [2]int{4, 4})
}
