// Command measure drives the decisions of package balance in virtual time and
// compares them with other policies. It opens no sockets.
//
//	go run ./examples/measure [-seeds 5] [-servers 20] [-case name] [-orders]
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/anvilfront/anvilfront/internal/balance"
	"github.com/anvilfront/anvilfront/internal/clock"
)

const (
	orderPriority = 5
	length        = 4 * time.Second // of a run; the first second is not counted
	trouble       = 1500 * time.Millisecond
)

type stats struct {
	times, orders, refusals                       []time.Duration
	good, goodOrders, failed, lost, refusedOrders int
	probes                                        int
}

// end counts the end of a request. A failure counts as the deadline.
func (m *sim) end(r *request, k balance.Kind) {
	t := m.now.Sub(r.arrived)
	if r.arrived < m.from {
		return
	}
	if k == balance.Unused {
		m.refusals = append(m.refusals, t)
		if r.order {
			m.refusedOrders++
		}
		return
	}
	t += 2 * callerWay
	if k == balance.Success && t <= deadline {
		m.good++
		if r.order {
			m.goodOrders++
		}
	} else {
		t = max(t, deadline)
		m.failed++
		if r.order {
			m.lost++
		}
	}
	if m.times = append(m.times, t); r.order {
		m.orders = append(m.orders, t)
	}
}

type scenario struct {
	name  string
	load  float64
	setup func(m *sim)
}

var scenarios = []scenario{
	{"steady", 0.7, func(*sim) {}},
	{"burst", 0.7, func(m *sim) {
		m.load = func() float64 {
			if m.now%1e8 < 5e6 { // doubles for 5 ms in each 100 ms
				return 1.4
			}
			return 0.7
		}
	}},
	{"straggler", 0.7, func(m *sim) { m.after(trouble, func() { m.servers[1].slow = 10 }) }},
	{"cold", 0.8, func(m *sim) { m.after(trouble, func() { m.servers[1].restart(100 * time.Millisecond) }) }},
	{"stale reports", 0.7, func(m *sim) { m.staleReports = true }},
	{"split", 0.7, func(m *sim) {
		m.after(trouble, func() { m.split = true })
		m.after(trouble+2*time.Second, func() { m.pools[0].holder = -1 })
		m.after(trouble+2100*time.Millisecond, func() { m.pools[0].hold(4) })
	}},
	{"data centre", 0.55, func(m *sim) {
		m.after(trouble, func() { m.move(true) })
		m.after(trouble+time.Second, func() {
			for _, s := range m.pools[1].members {
				s.restart(0)
			}
			m.move(false)
		})
	}},
	{"overload", 2, func(*sim) {}},
}

// move takes data centre 1 out or back in; each host has the manifest within 300 ms.
func (m *sim) move(out bool) {
	for h := range hosts {
		m.after(time.Duration(m.rng.IntN(300))*time.Millisecond, func() {
			m.out[h][1] = out
			if m.pools[1].holder == h {
				m.pools[1].set(!out)
			}
		})
	}
}

func hostName(h int) string { return fmt.Sprintf("eh%d", h) }

func newSim(seed uint64, n int, sc scenario, policy string, order balance.Ordering) *sim {
	m := &sim{rng: rand.New(rand.NewPCG(seed, 1)), policy: policy, order: order, from: clock.Time(time.Second)}
	m.load = func() float64 { return sc.load }
	var names []string
	for h := range hosts {
		names = append(names, hostName(h))
	}
	for dc := range centres {
		m.pools = append(m.pools, &pool{m: m, dc: dc})
	}
	for i := range n {
		s := &server{m: m, dc: i % centres, name: fmt.Sprintf("b%d", i), up: true, slow: 1, runs: warmRuns, grants: map[*request]clock.Time{}}
		s.reducedHosts = balance.ReducedHosts(s.name, slots, names)
		m.servers = append(m.servers, s)
		m.pools[s.dc].members = append(m.pools[s.dc].members, s)
	}
	for _, p := range m.pools {
		p.hold(p.dc)
		p.tick()
	}
	for h := range hosts {
		for _, p := range m.pools {
			m.learn(h, p)
		}
	}
	var sample func()
	sample = func() {
		for _, s := range m.servers {
			s.past[int(m.now/1e7)%len(s.past)] = len(s.jobs)
		}
		m.after(10*time.Millisecond, sample)
	}
	sample()
	sc.setup(m)
	m.generate(clock.Time(length))
	m.until(length + 2*time.Second)
	return m
}

func quantile(v []time.Duration, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))].Seconds() * 1e3
}

func main() {
	pols := flag.String("policies", "random,round robin,two choices,ours", "")
	seeds := flag.Int("seeds", 5, "number of seeds, from 1")
	n := flag.Int("servers", 20, "backend servers")
	only := flag.String("case", "", "run only cases with this in their name")
	study := flag.Bool("orders", false, "compare queue orders under overload")
	flag.DurationVar(&maxWait, "wait", maxWait, "")
	flag.DurationVar(&giveUp, "giveup", giveUp, "")
	flag.Parse()
	fmt.Printf("servers %d, times in ms as the caller sees them, refusals as the entry host does\n", *n)
	fmt.Println("case           policy       seed     p50     p99   p99.9  good/s  refused fast%  failed  lost  ref.p99 most probe/s | ord p99  p99.9 ord good%")
	row := func(sc scenario, policy, label string, seed int, order balance.Ordering) {
		m := newSim(uint64(seed), *n, sc, policy, order)
		most, fast, sec := 0, 0, (length - time.Second).Seconds()
		for _, s := range m.servers {
			most = max(most, s.most)
		}
		for _, d := range m.refusals {
			if d < 5*time.Millisecond {
				fast++
			}
		}
		fmt.Printf("%-14s %-12s %4d %7.1f %7.1f %7.1f %7.0f %8d %5.1f %7d %5d %8.2f %4d %7.1f | %7.1f %6.1f %8.1f\n", sc.name, label, seed,
			quantile(m.times, .5), quantile(m.times, .99), quantile(m.times, .999), float64(m.good)/sec, len(m.refusals),
			100*float64(fast)/max(1, float64(len(m.refusals))), m.failed, m.lost, quantile(m.refusals, .99), most, float64(m.probes)/length.Seconds(),
			quantile(m.orders, .99), quantile(m.orders, .999), 100*float64(m.goodOrders)/max(1, float64(len(m.orders)+m.refusedOrders)))
	}
	for _, sc := range scenarios {
		if *study || !strings.Contains(sc.name, *only) {
			continue
		}
		for _, policy := range strings.Split(*pols, ",") {
			for seed := 1; seed <= *seeds; seed++ {
				row(sc, policy, policy, seed, balance.Strict{})
			}
		}
	}
}
