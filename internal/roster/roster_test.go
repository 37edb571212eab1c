package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/clock"
)

func host(n int, dc string) Host {
	return Host{Address: fmt.Sprintf("10.0.0.%d:1", n), DataCentre: dc, Incarnation: uint32(n + 1)}
}

// TestAssignedTasks guards against a task without an owner, and against one with
// several owners while views are equal: hosts with equal views agree, and the next
// in rank takes over from a host that failed or is leaving.
func TestAssignedTasks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		n := rapid.IntRange(1, 30).Draw(rt, "hosts")
		key := fmt.Sprint("measure/", rng.IntN(1000))
		now := clock.Time(10 * time.Second)
		failed, leaving := rng.IntN(n), rng.IntN(n)
		owners, ownersOfShard, shardOwners := 0, 0, 0
		eligible := 0
		for i := range n {
			if i == failed && n > 1 {
				continue
			}
			r := New(host(i, "a"))
			if i == leaving {
				r.Leave()
			} else {
				eligible++
			}
			for j := range n {
				h := host(j, "a")
				h.Leaving = j == leaving
				received := now
				if j == failed && n > 1 {
					received = now.Add(-LocalAliveTimeout - time.Millisecond)
				}
				r.Received(received, h)
			}
			v := r.View(now)
			if v.IsOwner(key) {
				owners++
			}
			if v.IsShardOwner(key) {
				ownersOfShard++
			}
			for k := range 500 {
				if v.IsShardOwner(fmt.Sprint("measure/", k)) {
					shardOwners++
					break
				}
			}
		}
		if eligible > 0 && (owners != 1 || ownersOfShard != 1 || shardOwners > maxShardOwners) {
			rt.Fatalf("%d hosts own the task, %d the sharded task, %d share the sharded tasks", owners, ownersOfShard, shardOwners)
		}
	})
}

// TestHealedPartition guards against sides of a healed partition that never find
// each other again, and against an older update that overwrites a newer one.
func TestHealedPartition(t *testing.T) {
	is := is.New(t)
	r := New(host(0, "a"))
	is.True(r.Received(0, host(1, "a")))
	is.True(!r.Received(1, host(1, "a")))
	later := clock.Time(time.Minute)
	v := r.View(later)
	is.Equal(len(v.Local), 0)
	is.Equal(len(v.NotAlive), 1) // still receives the state of this host
	known := host(1, "a")
	known.Received = later
	r.ReceivedIndirect(known)
	is.Equal(len(r.View(later).Local), 1)
	old := known
	old.Received, old.Leaving = 0, true
	r.ReceivedIndirect(old)
	is.True(!r.View(later).Local[0].Leaving)
	r.Expire(later.Add(hostRetention + time.Second))
	is.Equal(r.View(later).Size(), 1)
}
