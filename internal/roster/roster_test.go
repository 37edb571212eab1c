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

// TestDuties guards against a duty that nobody does, and against one that many
// hosts do for long: hosts with equal views agree, and the next in rank takes
// over from one that is silent or leaves.
func TestDuties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		n := rapid.IntRange(1, 30).Draw(rt, "hosts")
		key := fmt.Sprint("measure/", rng.IntN(1000))
		now := clock.Time(10 * time.Second)
		silent, leaves := rng.IntN(n), rng.IntN(n)
		doers, sharers, crew := 0, 0, 0
		working := 0
		for i := range n {
			if i == silent && n > 1 {
				continue
			}
			r := New(host(i, "a"))
			if i == leaves {
				r.Leave()
			} else {
				working++
			}
			for j := range n {
				h := host(j, "a")
				h.Leaving = j == leaves
				heard := now
				if j == silent && n > 1 {
					heard = now.Add(-LocalAliveTimeout - time.Millisecond)
				}
				r.Received(heard, h)
			}
			v := r.View(now)
			if v.IsOwner(key) {
				doers++
			}
			if v.IsShardOwner(key) {
				sharers++
			}
			for k := range 500 {
				if v.IsShardOwner(fmt.Sprint("measure/", k)) {
					crew++
					break
				}
			}
		}
		if working > 0 && (doers != 1 || sharers != 1 || crew > maxCrew) {
			rt.Fatalf("%d hosts do the duty, %d the one of many, %d share all", doers, sharers, crew)
		}
	})
}

// TestHealedPartition guards against sides of a partition that never find each
// other again, and against news of a host that goes back in time.
func TestHealedPartition(t *testing.T) {
	is := is.New(t)
	r := New(host(0, "a"))
	is.True(r.Received(0, host(1, "a")))
	is.True(!r.Received(1, host(1, "a")))
	later := clock.Time(time.Minute)
	v := r.View(later)
	is.Equal(len(v.Local), 0)
	is.Equal(len(v.NotAlive), 1) // still greeted
	known := host(1, "a")
	known.Received = later
	r.ReceivedIndirect(known)
	is.Equal(len(r.View(later).Local), 1)
	old := known
	old.Received, old.Leaving = 0, true
	r.ReceivedIndirect(old)
	is.True(!r.View(later).Local[0].Leaving)
	r.Expire(later.Add(forget + time.Second))
	is.Equal(r.View(later).Size(), 1)
}
