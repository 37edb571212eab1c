package main

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

const (
	centres = 4
	// near and far are ways within a data centre and to another one, one way.
	near, far = 100 * time.Microsecond, 1500 * time.Microsecond
	// callerWay is the way between a caller and its entry host, one way.
	callerWay = 3 * time.Millisecond
	// digestPeriod is the time between readings for other data centres.
	digestPeriod = 200 * time.Millisecond
)

// kind is one kind of request.
type kind struct {
	manifest.Route
	service string
	share   float64 // of the requests
	work    time.Duration
	worth   float64 // of an answer within the objective
	late    float64 // of one within the deadline
}

// site is what a fleet is made of.
type site struct {
	name     string
	hosts    int // per data centre
	services map[string]int
	slots    int
	noise    noise
	rate     float64 // requests a second
	kinds    []kind
	measure  time.Duration // between two measurements of a server
}

// fleet is one simulated run.
type fleet struct {
	events
	site    *site
	policy  policy
	rng     *rand.Rand
	servers []*server
	byName  map[string]*server
	hosts   []*host
	load    func(now time.Duration) float64 // multiple of the site's rate
	result  result
}

// host is one entry host.
type host struct {
	m        *fleet
	dc       int
	store    *state.Store
	place    *filters.Placement
	inflight map[*server]int
	tokens   float64 // repeated sends that it may make
}

type noCold struct{}

// SendsCold implements filters.ColdSender.
func (noCold) MaySendToCold(*state.Server) bool { return false }

func newFleet(st *site, p policy, seed uint64, load func(time.Duration) float64) *fleet {
	m := &fleet{site: st, policy: p, rng: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*server{}, load: load}
	m.clock.Set(clock.Time(time.Minute))
	for _, name := range []string{"a", "b"} {
		for i := range st.services[name] {
			s := newServer(m, name, i%centres, i)
			m.servers = append(m.servers, s)
			m.byName[s.Name] = s
		}
	}
	for i := range st.hosts * centres {
		h := &host{m: m, dc: i % centres, store: state.NewStore(state.Member{DataCentre: centre(i % centres)}), inflight: map[*server]int{}}
		h.store.Update(func(s *state.Snapshot) { s.Servers = m.view(h.dc) })
		h.place = &filters.Placement{Clock: &m.clock, Store: h.store, Cold: noCold{}, Rand: m.rng}
		m.hosts = append(m.hosts, h)
	}
	for _, s := range m.servers {
		m.every(time.Duration(m.rng.Int64N(int64(st.measure))), st.measure, func() { m.tell(s, true) })
		m.every(time.Duration(m.rng.Int64N(int64(digestPeriod))), digestPeriod, func() { m.tell(s, false) })
	}
	m.arrive()
	return m
}

// tell sends a reading to the hosts of the server's data centre, or the others.
func (m *fleet) tell(s *server, local bool) {
	r := s.reading()
	way := 2 * near
	if !local {
		way = far + near
	}
	m.after(way, func() {
		for _, h := range m.hosts {
			if (centre(h.dc) == s.DataCentre) == local {
				h.store.Load().Servers.ByName[s.Name].Load.Observe(r)
			}
		}
	})
}

// arrive generates requests.
func (m *fleet) arrive() {
	rate := m.site.rate * m.load(m.elapsed())
	m.after(time.Duration(m.rng.ExpFloat64()/rate*1e9), func() {
		m.request()
		m.arrive()
	})
}

func (m *fleet) elapsed() time.Duration { return m.now().Sub(clock.Time(time.Minute)) }

// request is one request of a caller until its last answer.
type request struct {
	kind     *kind
	dc       int
	came     clock.Time // at the caller
	deadline clock.Time
	work     time.Duration
	over     bool
}

func (m *fleet) request() {
	x, k := m.rng.Float64(), &m.site.kinds[0]
	for i := range m.site.kinds {
		k = &m.site.kinds[i]
		if x -= k.share; x < 0 {
			break
		}
	}
	r := &request{kind: k, dc: m.rng.IntN(centres), came: m.now(), work: draw(m.rng, k.work)}
	r.deadline = r.came.Add(time.Duration(k.Deadline))
	m.result.offer(m.elapsed(), k.worth)
	m.after(callerWay, func() { m.send(r) })
	m.after(time.Duration(k.Deadline), func() {
		if !r.over {
			m.result.lost++
			r.over = true
		}
	})
}

// send brings the request to an entry host of its data centre.
func (m *fleet) send(r *request) {
	h := m.hosts[r.dc+centres*m.rng.IntN(m.site.hosts)]
	x := &filter.Exchange{
		Route: &r.kind.Route, Service: &manifest.Service{Name: r.kind.service}, Arrived: m.now(), Deadline: r.deadline.Add(-callerWay),
	}
	h.tokens = min(2.5, h.tokens+0.2)
	m.attempt(h, r, x)
}

func (m *fleet) attempt(h *host, r *request, x *filter.Exchange) {
	s, release, back := m.policy.choose(h, r, x)
	if s == nil && x.IsHedge {
		return
	}
	if s == nil {
		m.result.refused++
		m.after(2*callerWay+back, func() { // the caller comes back
			if !r.over && m.now().Add(callerWay) < r.deadline {
				m.send(r)
			}
		})
		return
	}
	way := near
	if s.DataCentre != centre(h.dc) {
		way = far
		m.result.far++
	}
	m.result.sent++
	h.inflight[s]++
	start := m.now()
	a := &attempt{work: r.work, queued: m.elapsed()}
	a.done = func(s *server, _ time.Duration) {
		reading := s.reading()
		m.after(way, func() {
			h.inflight[s]--
			release(m.now().Sub(start), filter.ServerLoad{Running: reading.Running, Waiting: reading.Waiting, Slots: reading.Slots, Speed: reading.Speed})
			m.after(callerWay, func() { m.answer(r) })
		})
	}
	m.after(way, func() { s.do(a) })
	m.hedge(h, r, x)
}

// hedge sends a second copy of an idempotent request that is overdue.
func (m *fleet) hedge(h *host, r *request, x *filter.Exchange) {
	if !r.kind.Idempotent || x.IsHedge || x.Grant == nil {
		return
	}
	after := filters.HedgeDelay(x.Route, x.Grant, m.now().Sub(x.Arrived))
	if after <= 0 {
		return
	}
	name := x.Grant.Server.Name
	m.after(after, func() {
		if r.over || h.tokens < 1 {
			return
		}
		second := *x
		second.IsHedge, second.Grant, second.Tried = true, nil, []string{name}
		h.tokens--
		m.result.hedged++
		m.attempt(h, r, &second)
	})
}

func (m *fleet) answer(r *request) {
	if r.over {
		return
	}
	r.over = true
	took := m.now().Sub(r.came)
	worth := r.kind.late
	if took <= time.Duration(r.kind.Objective) {
		worth = r.kind.worth
		m.result.inTime++
	} else {
		m.result.late++
	}
	m.result.earn(r.came.Sub(clock.Time(time.Minute)), worth, took)
}

// policy chooses the server of an attempt.
type policy interface {
	// choose returns the server, what to call when its answer arrives, or nil and
	// when the caller should come back.
	choose(h *host, r *request, x *filter.Exchange) (s *server, release func(took time.Duration, l filter.ServerLoad), back time.Duration)
}

// ours is the placement filter of the program.
type ours struct{}

func (ours) choose(h *host, r *request, x *filter.Exchange) (*server, func(time.Duration, filter.ServerLoad), time.Duration) {
	out := h.place.Handle(context.Background(), x, filter.HandlerFunc(func(context.Context, *filter.Exchange) filter.Outcome {
		return filter.Outcome{Verdict: verdict.Ran}
	}))
	if out.Verdict != verdict.Ran {
		return nil, nil, out.RetryAfter
	}
	g := x.Grant
	return h.m.byName[g.Server.Name], func(took time.Duration, l filter.ServerLoad) {
		h.place.Release(g, filter.Report{Verdict: verdict.Ran, ServiceTime: took, Load: &l})
	}, 0
}

// simple chooses by a function and refuses nothing.
type simple func(h *host, candidates []*server, r *request) *server

func (f simple) choose(h *host, r *request, _ *filter.Exchange) (*server, func(time.Duration, filter.ServerLoad), time.Duration) {
	var all []*server
	for _, s := range h.m.servers {
		if s.service == r.kind.service {
			all = append(all, s)
		}
	}
	return f(h, all, r), func(time.Duration, filter.ServerLoad) {}, 0
}

func random(h *host, all []*server, _ *request) *server { return all[h.m.rng.IntN(len(all))] }

func twoChoices(h *host, all []*server, r *request) *server {
	a, b := random(h, all, r), random(h, all, r)
	if h.inflight[b] < h.inflight[a] {
		return b
	}
	return a
}

// knowing chooses the earliest end with the true state of every server, which no
// host can know: a bound for what placement alone can earn.
func knowing(_ *host, all []*server, r *request) *server {
	var best *server
	least := time.Duration(math.MaxInt64)
	for _, s := range all {
		d := s.duration(r.work, min(s.running+1, s.Slots))
		d += time.Duration(float64(d) * float64(len(s.waiting)+max(0, s.running+1-s.Slots)) / float64(s.Slots))
		if d < least {
			best, least = s, d
		}
	}
	return best
}
