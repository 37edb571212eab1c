package main

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/anvilfront/anvilfront/internal/balance"
	"github.com/anvilfront/anvilfront/internal/clock"
)

// The modelled fleet. Ways are one way.
const (
	centres, hosts, slots = 4, 16, 4
	near, far, callerWay  = 100 * time.Microsecond, 1500 * time.Microsecond, 3 * time.Millisecond
	backlog               = 32  // requests a server queues above its slots before it sheds
	warmRuns              = 100 // runs until a cold server has all of its slots
	deadline              = 250 * time.Millisecond
	// 75% lookups and 25% orders, log-normal with medians 4 and 8 ms and sigma 0.5.
	meanService = (0.75*4e-3 + 0.25*8e-3) * 1.1331
)

type event struct {
	at  clock.Time
	seq int
	f   func()
}
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

type request struct {
	host, tries    int
	order          bool
	arrived, start clock.Time // start is that of the attempt
	base           time.Duration
	avoid          []string
}

// reply is told once when an answer leaves a server.
type reply func(o balance.Observation, notRun bool)

type job struct {
	r       *request
	reply   reply
	at      clock.Time
	started bool
}

// server is a backend server. Above its slots it queues and then sheds. Cold it
// is slow, and it crashes on more than twice of what it can carry.
type server struct {
	m            *sim
	dc, gen      int
	name         string
	up           bool
	slow         float64
	runs, most   int // runs since the start, up to warmRuns; most in flight
	jobs         []*job
	past         [50]int // in flight, sampled each 10 ms
	counter      balance.Counter
	own          [hosts]int
	grants       map[*request]clock.Time
	seen         clock.Time
	warm         bool // as its holder last said
	reducedHosts []string
	reducedBusy  [hosts]bool
}

// run lets a request in.
func (s *server) run(r *request, reply reply) {
	instance := strconv.Itoa(s.gen)
	switch none := (balance.Report{Inflight: -1}); {
	case !s.up:
		reply(balance.Observation{Kind: balance.Failure, Load: none}, true)
		return
	case len(s.jobs) >= slots+backlog:
		reply(balance.Observation{Kind: balance.Shed, Load: none, Instance: instance}, true)
		return
	}
	s.jobs = append(s.jobs, &job{r: r, reply: reply, at: s.m.now})
	s.most = max(s.most, len(s.jobs))
	if s.runs < warmRuns && float64(len(s.jobs)) > 2*s.capacity()+1 {
		s.restart(200 * time.Millisecond)
	}
	s.start()
}

// capacity is how many requests the server can carry now.
func (s *server) capacity() float64 { return 1 + (slots-1)*float64(s.runs)/warmRuns }

func (s *server) start() {
	for i := 0; i < min(slots, len(s.jobs)); i++ {
		j := s.jobs[i]
		if j.started {
			continue
		}
		j.started = true
		cold := 1 + 3*(1-float64(s.runs)/warmRuns)
		d := float64(j.r.base) * s.slow * cold * max(1, float64(i+1)/s.capacity())
		s.m.after(time.Duration(d), func() { s.end(j) })
	}
}

func (s *server) end(j *job) {
	i := slices.Index(s.jobs, j)
	if i < 0 {
		return // crashed
	}
	o := balance.Observation{ServiceTime: s.m.now.Sub(j.at), Instance: strconv.Itoa(s.gen)}
	if o.Load.Inflight = len(s.jobs); s.m.staleReports {
		o.Load.Inflight = s.past[int(s.m.now/1e7+1)%len(s.past)] // the oldest sample
	}
	s.jobs = slices.Delete(s.jobs, i, i+1)
	s.runs = min(s.runs+1, warmRuns)
	s.start()
	j.reply(o, false)
}

// restart crashes the server; it is back, cold, after down.
func (s *server) restart(down time.Duration) {
	dead := s.jobs
	s.jobs, s.runs, s.up = nil, 0, false
	s.gen++
	for _, j := range dead {
		j.reply(balance.Observation{Kind: balance.Crash, Load: balance.Report{Inflight: -1}}, false)
	}
	s.m.after(down, func() { s.up = true })
}

type sim struct {
	now          clock.Time
	heap         events
	seq          int
	rng          *rand.Rand
	policy       string
	order        balance.Ordering
	servers      []*server
	pools        []*pool
	out          [hosts][centres]bool // by the manifest in force at the host
	split        bool                 // the hosts of side(h) are cut off
	staleReports bool
	next         [hosts]int // round robin
	known        [hosts][centres]balance.Candidate
	heard        [hosts][centres]clock.Time
	load         func() float64 // share of capacity
	from         clock.Time     // requests before this are not counted
	stats
}

func (m *sim) after(d time.Duration, f func()) {
	m.seq++
	heap.Push(&m.heap, event{m.now.Add(d), m.seq, f})
}

func (m *sim) until(end time.Duration) {
	for len(m.heap) > 0 && m.heap[0].at < clock.Time(end) {
		e := heap.Pop(&m.heap).(event)
		m.now = e.at
		e.f()
	}
}

func way(a, b int) time.Duration {
	if a%centres == b%centres {
		return near
	}
	return far
}

// generate draws arrivals until end.
func (m *sim) generate(end clock.Time) {
	rate := m.load() * float64(len(m.servers)*slots) / meanService
	m.after(time.Duration(m.rng.ExpFloat64()/rate*1e9), func() {
		if m.now > end {
			return
		}
		r := &request{host: m.rng.IntN(hosts), order: m.rng.IntN(4) == 0, arrived: m.now}
		r.base = time.Duration(4e6 * math.Exp(0.5*m.rng.NormFloat64()))
		if r.order {
			r.base *= 2
		}
		m.attempt(r)
		m.generate(end)
	})
}

func (m *sim) attempt(r *request) {
	r.start = m.now
	if m.policy == "ours" {
		m.ask(r, 0, 0)
		return
	}
	s := m.pick(r)
	if s == nil {
		m.end(r, balance.Unused)
		return
	}
	s.own[r.host]++
	m.send(r, s, func(balance.Observation) { s.own[r.host]-- })
}

// send runs the request on the server; done is called when the answer is back.
func (m *sim) send(r *request, s *server, done func(balance.Observation)) {
	d := way(r.host, s.dc)
	m.after(d, func() {
		s.run(r, func(o balance.Observation, notRun bool) {
			m.after(d, func() { done(o); m.finish(r, s, o, notRun) })
		})
	})
}

// pick is the choice of the policies to compare with: among the servers of the
// own data centre, or among all when it is out or the request is tried again.
func (m *sim) pick(r *request) *server {
	var own, all []*server
	for _, s := range m.servers {
		if !m.out[r.host][s.dc] {
			all = append(all, s)
			if s.dc == r.host%centres {
				own = append(own, s)
			}
		}
	}
	if len(own) == 0 || r.tries > 0 {
		own = all
	}
	a, b := own[m.rng.IntN(len(own))], own[m.rng.IntN(len(own))]
	switch {
	case m.policy == "round robin":
		m.next[r.host]++
		return own[m.next[r.host]%len(own)]
	case m.policy == "two choices" && b.own[r.host] < a.own[r.host]:
		return b
	}
	return a
}

// finish ends an attempt. What did not run is tried again up to twice, a
// lookup that may have run once.
func (m *sim) finish(r *request, s *server, o balance.Observation, notRun bool) {
	r.tries++
	again := notRun && r.tries <= 2 || !notRun && !r.order && r.tries == 1
	switch {
	case o.Kind != balance.Success && again && m.now.Sub(r.arrived) < deadline:
		r.avoid = append(r.avoid, s.name)
		m.attempt(r)
	case notRun:
		m.end(r, balance.Unused)
	default:
		m.end(r, o.Kind)
	}
}
