// Command measure drives the decisions of package balance in virtual time and
// compares them with other policies. It opens no sockets.
package main

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/anvilfront/anvilfront/internal/balance"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/fake"
)

// The modelled fleet; ways are one way. The first second is not counted.
const (
	centres, hosts, slots, backlog, warmRuns = 4, 16, 4, 32, 100
	near, far, callerWay, deadline           = 100 * time.Microsecond, 1500 * time.Microsecond, 3 * time.Millisecond, 250 * time.Millisecond
	length, trouble                          = clock.Time(6 * time.Second), 1500 * time.Millisecond
	meanService                              = (0.75*4e-3 + 0.25*8e-3) * 1.1331 // lookups and orders, log-normal, sigma 0.5
)

type request struct {
	host, tries, class int        // class 1: order
	arrived, start     clock.Time // start is that of the attempt
	base               time.Duration
	avoid              []string
}

type server struct {
	fake.VirtualServer
	name    string
	dc      int
	warm    bool // as its holder last said
	own     [hosts]int
	counter balance.Counter
	grants  map[*request]clock.Time
	seen    clock.Time
	reduced []string // hosts that may use it without a lease
	busy    [hosts]bool
}

type sim struct {
	fake.Events
	rng     *rand.Rand
	policy  string
	order   func() balance.Ordering
	load    func() float64 // share of capacity
	servers []*server
	pools   []*pool
	out     [hosts][centres]bool // by the manifest in force at the host
	split   bool
	turn    [hosts]int // round robin
	known   [hosts][centres]balance.Candidate
	heard   [hosts][centres]clock.Time

	times             [2][]time.Duration // lookups, orders
	near, refusals    []time.Duration
	asked, ok, failed [2]int
	work              time.Duration
	probes            int
}

var ways = map[bool]time.Duration{true: near, false: far} // in one data centre or not
var names = strings.Fields("eh0 eh1 eh2 eh3 eh4 eh5 eh6 eh7 eh8 eh9 eh10 eh11 eh12 eh13 eh14 eh15")

func cut(h int) bool { return h%5 == 0 } // a quarter of the hosts: one in each data centre

func (m *sim) generate() {
	rate := m.load() * float64(len(m.servers)*slots) / meanService
	m.After(time.Duration(m.rng.ExpFloat64()/rate*1e9), func() {
		r := &request{host: m.rng.IntN(hosts), class: max(0, m.rng.IntN(4)-2), arrived: m.Now}
		r.base = time.Duration(4e6 * float64(1+r.class) * math.Exp(0.5*m.rng.NormFloat64()))
		if m.Now < length {
			m.attempt(r)
			m.generate()
		}
	})
}

// attempt sends by the choice of a policy to compare with. "2 choices dc" keeps
// to the own data centre unless it is out or the request is tried again.
func (m *sim) attempt(r *request) {
	h, dc := r.host, r.host%centres
	if r.start = m.Now; m.policy == "ours" {
		m.ask(r, 0, 0)
		return
	}
	home := m.policy == "2 choices dc" && r.tries == 0 && !m.out[h][dc]
	all := slices.DeleteFunc(slices.Clone(m.servers), func(s *server) bool { return m.out[h][s.dc] || home && s.dc != dc })
	s, b := all[m.rng.IntN(len(all))], all[m.rng.IntN(len(all))]
	if m.turn[h]++; m.policy == "round robin" {
		s = all[m.turn[h]%len(all)]
	} else if m.policy != "random" && b.own[h] < s.own[h] {
		s = b
	}
	s.own[h]++
	m.send(r, s, func(balance.Observation) { s.own[h]-- })
}

// send runs the request on the server; done is called when the answer is back.
// What did not run is tried again up to twice, a lookup that may have run once.
func (m *sim) send(r *request, s *server, done func(balance.Observation)) {
	d := ways[r.host%centres == s.dc]
	back := func(o balance.Observation, notRun bool) {
		done(o)
		r.tries, r.avoid = r.tries+1, append(r.avoid, s.name)
		again := notRun && r.tries <= 2 || !notRun && r.class == 0 && r.tries == 1
		if o.Kind != balance.Success && again && m.Now.Sub(r.arrived) < deadline {
			m.attempt(r)
		} else {
			m.end(r, o.Kind, notRun)
		}
	}
	m.After(d, func() {
		s.Do(r.base, func(o balance.Observation, notRun bool) { m.After(d, func() { back(o, notRun) }) })
	})
}

// pool runs the decisions of package balance at the holder of a lease.
type pool struct {
	*balance.Pool
	*balance.Queue
	m          *sim
	dc, holder int // holder is an entry host, -1 for none
	budget     *balance.Budget
	members    []*server
}

// hold makes an entry host the holder; it knows nothing of the servers.
func (p *pool) hold(holder int) {
	p.holder, p.budget = holder, balance.NewBudget(5, 0, p.m.Now)
	p.Pool, p.Queue = balance.NewPool(balance.Config{}), balance.NewQueue(64, p.m.order())
	p.set(false)
}

// set puts a manifest in force at the holder.
func (p *pool) set(out bool) {
	var members []balance.Member
	for _, s := range p.members {
		if !out {
			members = append(members, balance.Member{Name: s.name, Slots: slots, Counter: &s.counter})
		}
	}
	p.SetMembers(balance.Config{ReportAge: 500 * time.Millisecond, MaxEjected: len(p.members) * 30 / 100}, members)
}

// ask asks pools until one grants, like the selection filter.
func (m *sim) ask(r *request, asked uint64, n int) {
	h, known := r.host, m.known[r.host][:]
	for dc := range centres {
		known[dc].Local, known[dc].Age = dc == h%centres && !m.out[h][dc], m.Now.Sub(m.heard[h][dc])
		if m.out[h][dc] {
			asked |= 1 << dc
		}
	}
	if n > 0 && m.Now.Sub(r.start) > 1500*time.Microsecond {
		asked = balance.AskLocal(known, asked)
	}
	i := balance.ChoosePool(known, asked, r.class == 0, m.rng.IntN)
	if i < 0 || n == 3 {
		m.end(r, balance.Unused, true)
		return
	}
	p, d, spill := m.pools[i], ways[h%centres == i], balance.Spill(known, i)
	grant := func(s *server) { // nil: refused
		if s != nil {
			s.grants[r] = m.Now
		}
		m.After(d, func() {
			if m.learn(h, p); s == nil {
				m.ask(r, asked|1<<i, n+1)
			} else {
				m.send(r, s, func(o balance.Observation) { m.After(d, func() { p.done(r, s, o) }) })
			}
		})
	}
	if p.holder >= 0 && (!m.split || cut(h) == cut(p.holder)) {
		m.After(d, func() { p.acquire(r, spill, grant) })
	} else if !p.reduced(r) {
		m.ask(r, asked|1<<i, n+1)
	}
}

// learn takes the load from a holder's reply.
func (m *sim) learn(h int, p *pool) {
	m.known[h][p.dc] = balance.Candidate{Free: p.View().Free(), Queued: p.Len(), Slots: p.View().Slots, Median: p.Median()}
	m.heard[h][p.dc] = m.Now
}

// reduced runs the request under the limit without a lease.
func (p *pool) reduced(r *request) bool {
	for _, s := range p.members {
		if h := r.host; s.warm && !s.busy[h] && slices.Contains(s.reduced, names[h]) {
			s.busy[h] = true
			p.m.send(r, s, func(balance.Observation) { s.busy[h] = false })
			return true
		}
	}
	return false
}

func (p *pool) take(it *balance.Item) bool {
	i := p.View().Take(p.m.Now, it.Idempotent, it.Avoid, p.m.rng.Uint64())
	if i >= 0 {
		p.Granted(it, p.m.Now)
		it.Ref.(func(*server))(p.members[i])
	}
	return i >= 0
}

func (p *pool) serve()                  { p.Serve(p.m.Now, p.take, p.refuse) }
func (p *pool) refuse(it *balance.Item) { it.Ref.(func(*server))(nil) }

func (p *pool) acquire(r *request, spill bool, grant func(*server)) {
	v, now := p.View(), p.m.Now
	wait := max(8*time.Millisecond-now.Sub(r.arrived), time.Millisecond)
	it := &balance.Item{Priority: 5 * r.class, Idempotent: r.class == 0, Avoid: r.avoid, Ref: grant,
		MaxWait: wait, GiveUp: now.Add(3 * wait), Deadline: r.arrived.Add(deadline)}
	if len(v.Servers) == 0 || spill && (p.Len() > 0 || !v.Spare()) {
		p.refuse(it)
	} else if p.Len() > 0 || !p.take(it) {
		displaced, refusal := p.Offer(it, now, v.Slots)
		if refusal != balance.Accepted {
			p.refuse(it)
		} else if displaced != nil {
			p.refuse(displaced)
		}
		p.m.After(3*wait, p.serve)
	}
}

func (p *pool) done(r *request, s *server, o balance.Observation) {
	p.Held(p.m.Now.Sub(s.grants[r]))
	delete(s.grants, r)
	s.seen, o.Load.Own = p.m.Now, s.counter.Release()
	p.Observe(s.name, o, p.m.Now)
	p.serve()
}

func (p *pool) tick() {
	if p.holder < 0 || p.m.policy != "ours" || p.m.Now > length {
		return
	}
	for i, s := range p.members {
		var ages []time.Duration
		for _, at := range s.grants {
			ages = append(ages, p.m.Now.Sub(at))
		}
		p.Ages(s.name, ages, p.m.Now)
		s.warm = i < len(p.View().Servers) && p.View().Servers[i].Warm
		if p.m.Now.Sub(s.seen) > 500*time.Millisecond && p.budget.Take(p.m.Now) {
			p.m.probes, s.seen = p.m.probes+1, p.m.Now
		}
	}
	p.m.learn(p.holder, p)
	p.serve()
}

// end counts the end of a request. A failed one counts as the deadline at least.
func (m *sim) end(r *request, k balance.Kind, notRun bool) {
	t, at := m.Now.Sub(r.arrived), time.Duration(r.arrived)
	if at < time.Second {
		return
	}
	if m.asked[r.class]++; notRun {
		m.refusals = append(m.refusals, t)
		return
	}
	if t += 2 * callerWay; k != balance.Success {
		t = max(t, deadline)
		m.failed[r.class]++
	} else if t <= deadline {
		m.ok[r.class]++
		m.work += r.base
	}
	m.times[r.class] = append(m.times[r.class], t)
	if r.host%centres == 1 && (at-trouble-time.Second).Abs() < time.Second {
		m.near = append(m.near, t)
	}
}

type scenario struct {
	name  string
	load  float64
	setup func(m *sim)
}

var scenarios = []scenario{
	{"steady", 0.7, func(*sim) {}},
	{"burst", 0.7, func(m *sim) { // doubles for 5 ms in each 100 ms
		m.load = func() float64 { return map[bool]float64{true: 1.4, false: 0.7}[m.Now%1e8 < 5e6] }
	}},
	{"straggler", 0.7, func(m *sim) { m.After(trouble, func() { m.servers[1].Slow = 10 }) }},
	{"cold", 0.8, func(m *sim) { m.After(trouble, func() { m.servers[1].Restart(100 * time.Millisecond) }) }},
	{"stale reports", 0.7, func(m *sim) { m.each(func(s *server) { s.ReportDelay = 500 * time.Millisecond }) }},
	{"split", 0.7, func(m *sim) {
		m.After(trouble, func() { m.split = true })
		m.After(trouble+2*time.Second, func() { m.pools[0].holder = -1 })
		m.After(trouble+2100*time.Millisecond, func() { m.pools[0].hold(4) })
	}},
	{"data centre", 0.55, func(m *sim) {
		m.move(trouble, true)
		m.After(trouble+time.Second, func() {
			for _, s := range m.pools[1].members {
				s.Restart(0)
			}
		})
		m.move(trouble+time.Second, false)
	}},
	{"overload", 2, func(*sim) {}},
	{"overload 3x", 3, func(*sim) {}},
}

func (m *sim) each(f func(*server)) {
	for _, s := range m.servers {
		f(s)
	}
}

// move takes data centre 1 out or back in; each host has the manifest within 300 ms.
func (m *sim) move(at time.Duration, out bool) {
	for h := range hosts {
		m.After(at+time.Duration(m.rng.IntN(300))*time.Millisecond, func() {
			if m.out[h][1] = out; m.pools[1].holder == h {
				m.pools[1].set(out)
			}
		})
	}
}

func run(seed uint64, n int, sc scenario, policy string, order func() balance.Ordering) *sim {
	m := &sim{rng: rand.New(rand.NewPCG(seed, 1)), policy: policy, order: order, load: func() float64 { return sc.load }}
	for dc := range centres {
		m.pools = append(m.pools, &pool{m: m, dc: dc})
	}
	for i := range n {
		s := &server{dc: i % centres, name: fmt.Sprint("b", i), grants: map[*request]clock.Time{}}
		s.VirtualServer = fake.VirtualServer{Events: &m.Events, Slots: slots, Backlog: backlog, WarmRuns: warmRuns, Runs: warmRuns, Slow: 1}
		s.reduced = balance.ReducedHosts(s.name, slots, names)
		m.servers, m.pools[s.dc].members = append(m.servers, s), append(m.pools[s.dc].members, s)
	}
	for _, p := range m.pools {
		p.hold(p.dc)
		m.Every(50*time.Millisecond, p.tick)
	}
	sc.setup(m)
	m.generate()
	m.Until(length.Add(2 * time.Second))
	return m
}

func quantile(v []time.Duration, q float64) float64 {
	slices.Sort(v)
	return append(v, 0)[int(q*float64(len(v)))].Seconds() * 1e3
}

func row(sc scenario, policy, label string, n, seed int, order func() balance.Ordering) {
	m, most, sec := run(uint64(seed), n, sc, policy, order), 0, time.Duration(length).Seconds()-1
	m.each(func(s *server) { most = max(most, s.Most) })
	all, percent := slices.Concat(m.times[0], m.times[1]), func(a, b int) float64 { return 100 * float64(a) / max(1, float64(b)) }
	slowest := quantile(m.refusals, .99)
	fast, _ := slices.BinarySearch(m.refusals, 5*time.Millisecond)
	fmt.Printf("%-13s %-12s %4d |%6.1f %6.1f %6.1f %6.1f |%6.0f %5.1f |%6d %5.1f %5.1f |%5d %4d %4d |%4d %5.1f |%6.1f %6.1f %5.1f %5.1f\n",
		sc.name, label, seed, quantile(all, .5), quantile(all, .99), quantile(all, .999), quantile(m.near, .99),
		float64(m.ok[0]+m.ok[1])/sec, 100*m.work.Seconds()/sec/float64(n*slots), len(m.refusals), percent(fast, len(m.refusals)), slowest,
		m.failed[0]+m.failed[1], m.failed[1], len(all)-m.failed[0]-m.failed[1]-m.ok[0]-m.ok[1], most, float64(m.probes)/(sec+1),
		quantile(m.times[1], .99), quantile(m.times[1], .999), percent(m.ok[1], m.asked[1]), percent(m.ok[0], m.asked[0]))
}

func main() {
	seeds, n := flag.Int("seeds", 3, "number of seeds, from 1"), flag.Int("servers", 20, "backend servers")
	study := flag.Bool("orders", false, "compare orders of the waiting queue under overload")
	flag.Parse()
	strict := func() balance.Ordering { return balance.Strict{} }
	fmt.Printf("%d servers; ms as the caller sees them, near: of data centre 1 within 2 s of the trouble; refusals at the entry host\n", *n)
	fmt.Println("case          policy       seed |   p50    p99  p99.9   near |  ok/s work% |refusd <5ms%   p99 |faild lost late |most probe |ordp99  p99.9  ord%  lkp%")
	for _, sc := range scenarios {
		for seed := 1; seed <= *seeds; seed++ {
			for _, policy := range []string{"random", "round robin", "2 choices", "2 choices dc", "ours"} {
				if !*study {
					row(sc, policy, policy, *n, seed, strict)
				}
			}
			if *study && sc.load > 1 {
				row(sc, "ours", "strict", *n, seed, strict)
				row(sc, "ours", "fifo", *n, seed, func() balance.Ordering { return balance.FIFO{} })
				for _, wp := range []float64{1, 2} { // orders are entitled to 60% of the grants
					row(sc, "ours", fmt.Sprintf("weighted %v:1", wp), *n, seed, func() balance.Ordering {
						return &balance.Weighted{WeightPriority: wp, WeightShare: 1, Max: 5, Entitled: [10]float64{0: 0.4, 5: 0.6}}
					})
				}
			}
		}
	}
}
