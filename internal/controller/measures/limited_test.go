package measures

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

const (
	limitStep     = 5 * time.Millisecond
	limitTick     = 20 // steps between two readings
	limitedFrom   = 2 * time.Second
	limitBinds    = limitedFrom + 3*time.Second
	limitWindow   = 4 * time.Second
	limitDay      = 25 * time.Second
	limitWork     = 220 * time.Millisecond
	limitSlots    = 6
	hostDownTime  = time.Second
	dataCentres   = 4
	meanRateLimit = 2.5
)

// processClock is the clock of a process that started at the given time.
type processClock struct {
	base  *clock.Manual
	start clock.Time
}

func (c processClock) Now() clock.Time { return clock.Time(c.base.Now().Sub(c.start)) }

// limitHost is an entry host with its own view of servers and hosts.
type limitHost struct {
	*Controller
	address    string
	dataCentre int
	clock      processClock
	placement  *filters.Placement
	servers    []*state.Server
	mesh       *fakeMesh
	killed     clock.Time // when it was killed last
	started    clock.Time
}

// limitDayPlay plays a day on which servers name rate limits. It works in virtual
// time on one goroutine.
type limitDayPlay struct {
	now     clock.Manual
	rng     *rand.Rand
	hosts   []*limitHost
	limits  []float64
	running []int
	sent    [][]clock.Time // by server
	ends    map[clock.Time][]func()
	refused int
}

func (p *limitDayPlay) start(i int) {
	h := &limitHost{address: fmt.Sprintf("10.0.0.%03d", i), dataCentre: i % dataCentres, clock: processClock{&p.now, p.now.Now()}, mesh: &fakeMesh{}, started: p.now.Now()}
	if old := p.hosts[i]; old != nil {
		h.killed = old.killed
	}
	table := &state.Servers{ByName: map[string]*state.Server{}, ByService: map[string][]*state.Server{}}
	for n := range p.limits {
		s := &state.Server{
			BackendServer: manifest.BackendServer{Name: fmt.Sprintf("b%03d", n), Slots: limitSlots}, Service: "s", Local: n%dataCentres == h.dataCentre, Load: &load.State{},
		}
		h.servers = append(h.servers, s)
		table.ByName[s.Name] = s
	}
	table.ByService["s"] = h.servers
	store := state.NewStore(state.Member{Name: h.address})
	store.Update(func(s *state.Snapshot) { s.Servers = table })
	h.mesh.view.Store(roster.NewView(roster.Host{Address: h.address, DataCentre: fmt.Sprint(h.dataCentre)}, nil))
	h.Controller = New(Config{Clock: h.clock, Store: store, Mesh: h.mesh, Counters: metrics.New(), Log: zap.NewNop()})
	h.placement = &filters.Placement{Clock: h.clock, Store: store, Cold: h.Controller, Limited: h.Controller, Rand: p.rng}
	p.hosts[i] = h
}

// observe gives a host its readings and its view of the other hosts of its data
// centre, which notices hosts that end and start late.
func (p *limitDayPlay) observe(h *limitHost) {
	now := p.now.Now()
	for n, s := range h.servers {
		r := load.Reading{At: h.clock.Now() + 1, Running: p.running[n], Slots: limitSlots, Speed: 1}
		if now.Sub(0) >= limitedFrom {
			r.RateLimit = p.limits[n]
		}
		s.Load.Observe(r)
	}
	var others []roster.Host
	for _, o := range p.hosts {
		late := time.Duration(p.rng.IntN(200)) * time.Millisecond
		unheard := o.killed != 0 && now.Sub(o.killed) > roster.LocalAliveTimeout+late && (o.started < o.killed || now.Sub(o.started) < late)
		if o != h && o.dataCentre == h.dataCentre && !unheard && now.Sub(h.started) >= late {
			others = append(others, roster.Host{Address: o.address, DataCentre: fmt.Sprint(o.dataCentre)})
		}
	}
	v := roster.NewView(roster.Host{Address: h.address, DataCentre: fmt.Sprint(h.dataCentre)}, others)
	h.mesh.view.Store(v)
	h.assignLimited(h.cfg.Store.Load().Servers, v)
}

// request places one request at a host.
func (p *limitDayPlay) request(h *limitHost) {
	x := &filter.Exchange{
		Request: &filter.Request{}, Arrived: h.clock.Now(), Deadline: h.clock.Now().Add(4 * time.Second), Snapshot: h.cfg.Store.Load(),
		Route: &manifest.Route{Name: "r", Objective: manifest.Duration(600 * time.Millisecond), Priority: manifest.MaxPriority}, Service: &manifest.Service{Name: "s"},
	}
	out := h.placement.Handle(context.Background(), x, filter.HandlerFunc(func(context.Context, *filter.Exchange) filter.Outcome {
		return filter.Outcome{Verdict: verdict.Ran}
	}))
	if out.Verdict != verdict.Ran {
		p.refused++
		return
	}
	var n int
	_, _ = fmt.Sscanf(x.Grant.Server.Name, "b%d", &n)
	p.sent[n] = append(p.sent[n], p.now.Now())
	p.running[n]++
	end := p.now.Now().Add(limitWork)
	p.ends[end] = append(p.ends[end], func() {
		p.running[n]--
		h.placement.Release(x.Grant, filter.Report{Verdict: verdict.Ran, ServiceTime: limitWork})
	})
}

var replaySeeds = flag.Uint64("seeds", 3, "number of seeds with which each day is played")

// TestServerLimitHoldsOverTheFleet guards against hosts that together send a server
// more than the rate limit it names, while hosts are killed and started, and against a
// limit that is not used.
func TestServerLimitHoldsOverTheFleet(t *testing.T) {
	for name, c := range map[string]limitDayConfig{
		"Calm":       {16, 20, 0.7, 90, false},
		"Kills":      {16, 20, 0.7, 90, true},
		"AllLimited": {16, 20, 1, 90, true},
		"ManyHosts":  {60, 80, 0.7, 400, true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range *replaySeeds {
				playLimitDay(t, c, seed)
			}
		})
	}
}

// limitDayConfig is one day.
type limitDayConfig struct {
	hosts, servers int
	limited        float64 // share of the servers that name a limit
	perSecond      float64 // requests
	kills          bool    // of hosts, which start again
}

func playLimitDay(t *testing.T, c limitDayConfig, seed uint64) {
	p := &limitDayPlay{rng: rand.New(rand.NewPCG(seed, 1)), hosts: make([]*limitHost, c.hosts), ends: map[clock.Time][]func(){}, running: make([]int, c.servers), sent: make([][]clock.Time, c.servers)}
	for n := range c.servers {
		limit := 0.0
		if float64(n) < c.limited*float64(c.servers) {
			limit = meanRateLimit * (0.4 + 1.2*p.rng.Float64())
		}
		p.limits = append(p.limits, limit)
	}
	for i := range p.hosts {
		p.start(i)
	}
	restartAt := map[int]int{} // host by step
	for step := range int(limitDay / limitStep) {
		p.now.Advance(limitStep)
		for _, end := range p.ends[p.now.Now()] {
			end()
		}
		delete(p.ends, p.now.Now())
		if step%limitTick == 0 {
			for _, h := range p.hosts {
				if h.started >= h.killed {
					p.observe(h)
				}
			}
		}
		if c.kills && step%300 == 299 {
			i := p.rng.IntN(c.hosts)
			p.hosts[i].killed = p.now.Now()
			restartAt[step+int(hostDownTime/limitStep)] = i
		}
		if i, ok := restartAt[step]; ok {
			p.start(i)
		}
		for n := c.perSecond * limitStep.Seconds(); p.rng.Float64() < n; n-- {
			if h := p.hosts[p.rng.IntN(c.hosts)]; h.started >= h.killed {
				p.request(h)
			}
		}
	}
	used, usable := p.check(t, seed)
	switch {
	case c.limited == 1 && float64(used) < 0.6*usable:
		t.Errorf("seed %d: %d requests to limited servers, their limits allow %.0f", seed, used, usable)
	case c.limited < 1 && p.refused > 0:
		t.Errorf("seed %d: %d requests refused although servers without a limit had room", seed, p.refused)
	}
}

// check fails the test if a server got more than it has to bear. It returns the number
// of requests to limited servers, and how many their limits allow.
func (p *limitDayPlay) check(t *testing.T, seed uint64) (used int, usable float64) {
	for n, limit := range p.limits {
		if limit == 0 {
			continue
		}
		var window []clock.Time
		for _, at := range p.sent[n] {
			if at.Sub(0) < limitBinds {
				continue
			}
			used++
			window = append(window, at)
			for at.Sub(window[0]) > limitWindow {
				window = window[1:]
			}
			if allowed := 1.5*limit*limitWindow.Seconds() + 5; float64(len(window)) > allowed {
				t.Fatalf("seed %d: server with a limit of %.1f a second got %d requests in %v, %.0f allowed", seed, limit, len(window), limitWindow, allowed)
			}
		}
		usable += limit * (limitDay - limitBinds).Seconds()
	}
	return used, usable
}
