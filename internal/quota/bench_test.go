package quota

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/roster"
)

// largeFleet returns the view of a host in a fleet of 312 hosts in 4 data centres, and a
// node with 1,000 accounts.
func largeFleet() (simFleet, *Node, map[Key]Limit) {
	r := roster.New(roster.Host{Address: "10.0.0.0:7000", DataCentre: "z0", Incarnation: 1})
	for i := 1; i < 312; i++ {
		r.Received(0, roster.Host{Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), DataCentre: fmt.Sprint("z", i%4), Incarnation: 1})
	}
	limits := map[Key]Limit{}
	for i := range 1000 {
		limits[KeyOf(fmt.Sprint("huka", i))] = Limit{Rate: 128, Burst: 128}
	}
	n := NewNode(Config{Self: "10.0.0.0:7000", Rand: rand.New(rand.NewPCG(1, 1)), Send: func(string, Message) {}})
	return simFleet{view: r.View(0)}, n, limits
}

// BenchmarkOwnersChange measures the choice of the owners of all accounts after a change of
// the hosts.
func BenchmarkOwnersChange(b *testing.B) {
	f, n, limits := largeFleet()
	n.Configure(0, limits)
	for b.Loop() {
		n.SetFleet(0, f, true)
	}
}

// BenchmarkSameOwners measures a look at a view in which no owner changed.
func BenchmarkSameOwners(b *testing.B) {
	f, n, limits := largeFleet()
	n.Configure(0, limits)
	for b.Loop() {
		n.SetFleet(0, f, !f.view.SameFleetOwners(f.view))
	}
}

// BenchmarkGrant measures the answer to an ask at the owner.
func BenchmarkGrant(b *testing.B) {
	f, n, limits := largeFleet()
	n.Configure(0, limits)
	n.SetFleet(0, f, true)
	owned := n.accounts[KeyOf("huka1")]
	owned.owned = true
	now := clock.Time(10 * time.Second)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		n.lastRun = now
		n.ReceiveAsk(now, "10.0.0.7:7000", Ask{ID: uint32(now), Account: owned.shared.Key, Waiting: 1, Seen: 1})
	}
}

// BenchmarkTry measures a request that finds a token.
func BenchmarkTry(b *testing.B) {
	a := &Account{}
	a.add(0, countMask, 1000)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			a.Try(0)
		}
	})
}

// BenchmarkMemory measures the state of 1,000 accounts on one host that has asked for each
// of them and owns some.
func BenchmarkMemory(b *testing.B) {
	f, n, limits := largeFleet()
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		n.Configure(0, limits)
		n.SetFleet(0, f, true)
		for _, s := range n.accounts {
			n.bucket(s)
			n.ask(0, s)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1000, "B/account")
	runtime.KeepAlive(n)
}
