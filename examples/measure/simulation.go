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
	dataCentres = 4
	// localDelay and remoteDelay are the one-way network delays within a data centre
	// and to another one.
	localDelay, remoteDelay = 100 * time.Microsecond, 1500 * time.Microsecond
	// callerDelay is the one-way network delay between a caller and its entry host.
	callerDelay = 3 * time.Millisecond
	// digestInterval is the time between readings that are sent to other data centres.
	digestInterval = 200 * time.Millisecond
)

// kind describes one kind of request.
type kind struct {
	manifest.Route
	service   string
	share     float64       // of all requests
	work      time.Duration // mean duration
	worth     float64       // value to the caller of a response within the objective
	lateWorth float64       // value of a response after the objective but within the deadline
}

// site describes a fleet and its requests.
type site struct {
	name          string
	hosts         int // per data centre
	services      map[string]int
	slots         int
	noise         noise
	rate          float64 // requests per second
	kinds         []kind
	probeInterval time.Duration // between two probes of a backend server
}

// simulation is one simulated run of a fleet.
type simulation struct {
	scheduler
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
	sim         *simulation
	dc          int
	store       *state.Store
	placement   *filters.Placement
	inflight    map[*server]int
	hedgeTokens float64 // hedges that it may send
}

type noCold struct{}

// MaySendToCold implements filters.ColdSender.
func (noCold) MaySendToCold(*state.Server) bool { return false }

func newSimulation(st *site, p policy, seed uint64, load func(time.Duration) float64) *simulation {
	sim := &simulation{site: st, policy: p, rng: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*server{}, load: load}
	sim.clock.Set(clock.Time(time.Minute))
	for _, name := range []string{"a", "b"} {
		for i := range st.services[name] {
			s := newServer(sim, name, i%dataCentres, i)
			sim.servers = append(sim.servers, s)
			sim.byName[s.Name] = s
		}
	}
	for i := range st.hosts * dataCentres {
		h := &host{sim: sim, dc: i % dataCentres, store: state.NewStore(state.Member{DataCentre: dataCentreName(i % dataCentres)}), inflight: map[*server]int{}}
		h.store.Update(func(s *state.Snapshot) { s.Servers = sim.serversView(h.dc) })
		h.placement = &filters.Placement{Clock: &sim.clock, Store: h.store, Cold: noCold{}, Rand: sim.rng}
		sim.hosts = append(sim.hosts, h)
	}
	for _, s := range sim.servers {
		sim.every(time.Duration(sim.rng.Int64N(int64(st.probeInterval))), st.probeInterval, func() { sim.sendReading(s, true) })
		sim.every(time.Duration(sim.rng.Int64N(int64(digestInterval))), digestInterval, func() { sim.sendReading(s, false) })
	}
	sim.scheduleArrivals()
	return sim
}

// sendReading sends the reading of a server to the hosts of its data centre if local
// is set, otherwise to those of the other data centres.
func (sim *simulation) sendReading(s *server, local bool) {
	r := s.reading()
	delay := 2 * localDelay
	if !local {
		delay = remoteDelay + localDelay
	}
	sim.after(delay, func() {
		for _, h := range sim.hosts {
			if (dataCentreName(h.dc) == s.DataCentre) == local {
				h.store.Load().Servers.ByName[s.Name].Load.Observe(r)
			}
		}
	})
}

// scheduleArrivals generates requests at exponentially distributed intervals.
func (sim *simulation) scheduleArrivals() {
	rate := sim.site.rate * sim.load(sim.elapsed())
	sim.after(time.Duration(sim.rng.ExpFloat64()/rate*1e9), func() {
		sim.newRequest()
		sim.scheduleArrivals()
	})
}

func (sim *simulation) elapsed() time.Duration { return sim.now().Sub(clock.Time(time.Minute)) }

// request is one request of a caller until it is answered or its deadline passes.
type request struct {
	kind     *kind
	dc       int
	sentAt   clock.Time // by the caller
	deadline clock.Time
	work     time.Duration
	finished bool
}

func (sim *simulation) newRequest() {
	x, k := sim.rng.Float64(), &sim.site.kinds[0]
	for i := range sim.site.kinds {
		k = &sim.site.kinds[i]
		if x -= k.share; x < 0 {
			break
		}
	}
	r := &request{kind: k, dc: sim.rng.IntN(dataCentres), sentAt: sim.now(), work: drawWork(sim.rng, k.work)}
	r.deadline = r.sentAt.Add(time.Duration(k.Deadline))
	sim.result.addOffered(sim.elapsed(), k.worth)
	sim.after(callerDelay, func() { sim.sendToHost(r) })
	sim.after(time.Duration(k.Deadline), func() {
		if !r.finished {
			sim.result.lost++
			r.finished = true
		}
	})
}

// sendToHost sends the request to a random entry host of its data centre.
func (sim *simulation) sendToHost(r *request) {
	h := sim.hosts[r.dc+dataCentres*sim.rng.IntN(sim.site.hosts)]
	x := &filter.Exchange{
		Route: &r.kind.Route, Service: &manifest.Service{Name: r.kind.service}, Arrived: sim.now(), Deadline: r.deadline.Add(-callerDelay),
	}
	h.hedgeTokens = min(2.5, h.hedgeTokens+0.2)
	sim.sendToServer(h, r, x)
}

func (sim *simulation) sendToServer(h *host, r *request, x *filter.Exchange) {
	s, release, retryAfter := sim.policy.choose(h, r, x)
	if s == nil && x.IsHedge {
		return
	}
	if s == nil {
		sim.result.refused++
		sim.after(2*callerDelay+retryAfter, func() { // the caller retries
			if !r.finished && sim.now().Add(callerDelay) < r.deadline {
				sim.sendToHost(r)
			}
		})
		return
	}
	delay := localDelay
	if s.DataCentre != dataCentreName(h.dc) {
		delay = remoteDelay
		sim.result.remote++
	}
	sim.result.sent++
	h.inflight[s]++
	start := sim.now()
	a := &attempt{work: r.work, sentAt: sim.elapsed()}
	a.onDone = func(s *server, _ time.Duration) {
		reading := s.reading()
		sim.after(delay, func() {
			h.inflight[s]--
			release(sim.now().Sub(start), filter.ServerLoad{Running: reading.Running, Waiting: reading.Waiting, Slots: reading.Slots, Speed: reading.Speed})
			sim.after(callerDelay, func() { sim.complete(r) })
		})
	}
	sim.after(delay, func() { s.receive(a) })
	sim.scheduleHedge(h, r, x)
}

// scheduleHedge sends a hedge if an idempotent request is overdue.
func (sim *simulation) scheduleHedge(h *host, r *request, x *filter.Exchange) {
	if !r.kind.Idempotent || x.IsHedge || x.Grant == nil {
		return
	}
	after := filters.HedgeDelay(x.Route, x.Grant, sim.now().Sub(x.Arrived))
	if after <= 0 {
		return
	}
	name := x.Grant.Server.Name
	sim.after(after, func() {
		if r.finished || h.hedgeTokens < 1 {
			return
		}
		hedge := *x
		hedge.IsHedge, hedge.Grant, hedge.Tried = true, nil, []string{name}
		h.hedgeTokens--
		sim.result.hedged++
		sim.sendToServer(h, r, &hedge)
	})
}

func (sim *simulation) complete(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	took := sim.now().Sub(r.sentAt)
	worth := r.kind.lateWorth
	if took <= time.Duration(r.kind.Objective) {
		worth = r.kind.worth
		sim.result.inTime++
	} else {
		sim.result.late++
	}
	sim.result.addEarned(r.sentAt.Sub(clock.Time(time.Minute)), worth, took)
}

// policy chooses the server of an attempt.
type policy interface {
	// choose returns the server and a function to call when its response arrives, or
	// nil and the delay after which the caller should retry.
	choose(h *host, r *request, x *filter.Exchange) (s *server, release func(took time.Duration, l filter.ServerLoad), retryAfter time.Duration)
}

// placementPolicy is the placement filter of this program.
type placementPolicy struct{}

func (placementPolicy) choose(h *host, r *request, x *filter.Exchange) (*server, func(time.Duration, filter.ServerLoad), time.Duration) {
	out := h.placement.Handle(context.Background(), x, filter.HandlerFunc(func(context.Context, *filter.Exchange) filter.Outcome {
		return filter.Outcome{Verdict: verdict.Ran}
	}))
	if out.Verdict != verdict.Ran {
		return nil, nil, out.RetryAfter
	}
	g := x.Grant
	return h.sim.byName[g.Server.Name], func(took time.Duration, l filter.ServerLoad) {
		h.placement.Release(g, filter.Report{Verdict: verdict.Ran, ServiceTime: took, Load: &l})
	}, 0
}

// policyFunc is a policy that chooses with a function and never refuses.
type policyFunc func(h *host, candidates []*server, r *request) *server

func (f policyFunc) choose(h *host, r *request, _ *filter.Exchange) (*server, func(time.Duration, filter.ServerLoad), time.Duration) {
	var candidates []*server
	for _, s := range h.sim.servers {
		if s.service == r.kind.service {
			candidates = append(candidates, s)
		}
	}
	return f(h, candidates, r), func(time.Duration, filter.ServerLoad) {}, 0
}

func random(h *host, candidates []*server, _ *request) *server {
	return candidates[h.sim.rng.IntN(len(candidates))]
}

func twoChoices(h *host, candidates []*server, r *request) *server {
	a, b := random(h, candidates, r), random(h, candidates, r)
	if h.inflight[b] < h.inflight[a] {
		return b
	}
	return a
}

// oracle chooses the server with the earliest completion from the true state of
// every server, which no host can know. It bounds the worth that placement alone can
// achieve.
func oracle(_ *host, candidates []*server, r *request) *server {
	var best *server
	shortest := time.Duration(math.MaxInt64)
	for _, s := range candidates {
		d := s.duration(r.work, min(s.running+1, s.Slots))
		d += time.Duration(float64(d) * float64(len(s.waiting)+max(0, s.running+1-s.Slots)) / float64(s.Slots))
		if d < shortest {
			best, shortest = s, d
		}
	}
	return best
}
