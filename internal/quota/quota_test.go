package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	runs = flag.Int("seeds", 200, "runs of TestBound")
	seed = flag.Uint64("seed", 1, "seed of the first run of TestBound")
)

const simEnd = 20 * time.Second

// TestBound guards against hosts that together send more requests of an account than its
// quota allows, in any window: while views of the hosts differ, a host is silent, paused,
// lost or added, an owner is lost or owned twice, a data centre is cut off, all hosts
// restart, limits change, and messages are lost, late or repeated. A run is named by its
// seed; run one alone with -seeds 1 -seed N.
func TestBound(t *testing.T) {
	var next, over atomic.Int64
	var mu sync.Mutex
	worst, worstSeed := 0.0, uint64(0)
	var wg sync.WaitGroup
	for range max(1, runtime.GOMAXPROCS(0)/2) {
		wg.Go(func() {
			for i := next.Add(1); i <= int64(*runs); i = next.Add(1) {
				n := *seed + uint64(i) - 1
				part, what := simulate(n)
				mu.Lock()
				if part > worst {
					worst, worstSeed = part, n
				}
				mu.Unlock()
				if part > 1 && over.Add(1) <= 20 {
					t.Errorf("seed %d: %.3f of the bound: %s", n, part, what)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d runs, %d over the bound; the worst used %.3f of it (seed %d)", *runs, over.Load(), worst, worstSeed)
}

// simulate runs one seed and returns the greatest part of its bound that an account used.
func simulate(seed uint64) (part float64, what string) {
	rng := rand.New(rand.NewPCG(seed, 7))
	c := simConfig{hosts: 3 + rng.IntN(25), dataCentres: 1 + rng.IntN(6)}
	if rng.IntN(24) == 0 {
		c.hosts = 60 + rng.IntN(60)
	}
	if rng.IntN(3) > 0 {
		c.loss, c.late, c.repeat, c.shed = 0.1*rng.Float64(), 0.05*rng.Float64(), 0.05*rng.Float64(), 0.3*rng.Float64()
	}
	s := newSim(rng, c)
	for i := range 1 + rng.IntN(3) {
		s.addRandomAccount(fmt.Sprintf("huka%d", i))
	}
	var faults []string
	for _, h := range s.hosts {
		s.after(s.between(0, 500*time.Millisecond), h.start)
	}
	s.load()
	for range 1 + rng.IntN(4) {
		at := s.between(2*time.Second, 15*time.Second)
		f := simFaults[rng.IntN(len(simFaults))]
		faults = append(faults, fmt.Sprintf("%s at %v", f.name, at.Round(time.Millisecond)))
		s.after(at, func() { f.run(s) })
	}
	s.runUntil(simEnd)
	for _, a := range s.accounts {
		if p, at := a.worst(); p > part {
			part = p
			what = fmt.Sprintf("%s from %v, limits %v; %d hosts in %d data centres; %s", a.name, at, a.limits, c.hosts, c.dataCentres, strings.Join(faults, ", "))
		}
	}
	return part, what
}

// addRandomAccount adds an account whose connections are spread evenly, unevenly or to one
// host, and that sends a part of its quota, its quota, or seven to ten times as much, all
// the time or in bursts.
func (s *sim) addRandomAccount(name string) {
	rates := []float64{0.5, 2, 8, 32, 64, 128}
	l := Limit{Rate: rates[s.rng.IntN(len(rates))]}
	l.Burst = []float64{0, 1, l.Rate, 2 * l.Rate}[s.rng.IntN(4)]
	usual := []float64{0.5, 0.9, 1, 1.5}[s.rng.IntN(4)] * l.Rate
	high := usual * (7 + 3*s.rng.Float64())
	from, to := s.between(0, 10*time.Second), s.between(10*time.Second, simEnd)
	pattern := s.rng.IntN(3)
	demand := func(at time.Duration) float64 {
		if pattern == 0 || pattern == 1 && at >= from && at < to || pattern == 2 && at%(4*time.Second) < time.Second {
			return high
		}
		return usual
	}
	weight := zipf(2*s.rng.Float64(), s.rng.IntN(1000))
	if s.rng.IntN(4) == 0 {
		weight = onHost(s.rng.IntN(len(s.hosts)))
	}
	s.addAccount(name, l, demand, weight)
}

// owner returns the host that owns a random account as most hosts see it, or a random host.
func (s *sim) owner() *simHost {
	viewer := s.hosts[s.rng.IntN(len(s.hosts))]
	if viewer.node != nil && s.rng.IntN(4) > 0 {
		address := viewer.view.FleetOwner(s.accounts[s.rng.IntN(len(s.accounts))].key, "")
		for _, h := range s.hosts {
			if h.address == address {
				return h
			}
		}
	}
	return viewer
}

// simFaults are the faults under which the bound must hold.
var simFaults = []struct {
	name string
	run  func(s *sim)
}{
	{"pause", func(s *sim) { s.owner().pause(s.between(200*time.Millisecond, 5*time.Second)) }},
	{"several pauses", func(s *sim) {
		for range 1 + len(s.hosts)/4 {
			s.owner().pause(s.between(200*time.Millisecond, 2*time.Second))
		}
	}},
	{"loss", func(s *sim) { s.owner().stop() }},
	{"restart", func(s *sim) {
		h := s.owner()
		h.stop()
		s.after(s.between(0, 3*time.Second), h.start)
	}},
	{"host cut off alone", func(s *sim) {
		h := s.owner()
		h.silent = true
		s.after(s.between(300*time.Millisecond, 10*time.Second), func() { h.silent = false })
	}},
	{"data centre cut off", func(s *sim) {
		dc := s.owner().dc
		s.cut[dc] = true
		s.after(s.between(300*time.Millisecond, 12*time.Second), func() { delete(s.cut, dc) })
	}},
	{"all restart", func(s *sim) {
		for _, h := range s.hosts {
			h.stop()
			s.after(s.between(0, 500*time.Millisecond), h.start)
		}
	}},
	{"hosts added", func(s *sim) {
		for range 1 + s.rng.IntN(len(s.hosts)) {
			h := s.addHost()
			h.limits = s.hosts[0].limits
			s.after(s.between(0, time.Second), h.start)
		}
	}},
	{"planned stop", func(s *sim) {
		if h := s.owner(); h.node != nil {
			h.roster.Leave()
			s.after(s.between(300*time.Millisecond, 2*time.Second), h.stop)
		}
	}},
	{"planned stop of all", func(s *sim) {
		for _, h := range s.hosts {
			if h.node != nil {
				h.roster.Leave()
			}
			s.after(2300*time.Millisecond, h.stop)
			s.after(s.between(2500*time.Millisecond, 3*time.Second), h.start)
		}
	}},
	{"limit changed", func(s *sim) {
		a := s.accounts[s.rng.IntN(len(s.accounts))]
		l := a.limits[len(a.limits)-1].Limit
		factor := 0.2 + 2*s.rng.Float64()
		s.setLimit(a, Limit{l.Rate * factor, l.Burst * factor})
	}},
}

// TestOwnersLost guards against new owners that start with tokens which the former one has
// handed out already: three owners are lost within two and a half seconds, each just after
// its bucket was emptied.
func TestOwnersLost(t *testing.T) {
	is := is.New(t)
	s := newSim(rand.New(rand.NewPCG(5, 3)), simConfig{hosts: 20, dataCentres: 1})
	a := s.addAccount("huka270", Limit{128, 256}, func(time.Duration) float64 { return 1280 }, zipf(0, 0))
	s.settle()
	s.load()
	for i := range 3 {
		s.after(300*time.Millisecond+time.Duration(i)*1200*time.Millisecond, func() {
			s.byAddress[s.hosts[s.rng.IntN(len(s.hosts))].view.FleetOwner(a.key, "")].stop()
		})
	}
	s.runUntil(s.now + 8*time.Second)
	part, at := a.worst()
	t.Logf("%.3f of the bound, from %v", part, at)
	is.True(part <= 1)
}

// TestRestartWhileCutOff guards against groups that each take themselves for the whole fleet
// since all their processes have started while the network was cut.
func TestRestartWhileCutOff(t *testing.T) {
	is := is.New(t)
	s := newSim(rand.New(rand.NewPCG(6, 3)), simConfig{hosts: 20, dataCentres: 2})
	a := s.addAccount("huka270", Limit{128, 0}, func(time.Duration) float64 { return 1280 }, zipf(0, 0))
	s.cut["z0"] = true
	s.settle()
	s.load()
	s.runUntil(s.now + 8*time.Second)
	part, at := a.worst()
	t.Logf("%.3f of the bound, from %v", part, at)
	is.True(part <= 1)
}

// TestHostsAddedWhileCutOff guards against groups that each take the hosts that were added
// on their side for a part of the fleet that the other side lacks.
func TestHostsAddedWhileCutOff(t *testing.T) {
	is := is.New(t)
	s := newSim(rand.New(rand.NewPCG(8, 3)), simConfig{hosts: 20, dataCentres: 2})
	a := s.addAccount("huka270", Limit{128, 0}, func(time.Duration) float64 { return 1280 }, zipf(0, 0))
	s.settle()
	s.load()
	s.cut["z0"] = true
	for range 60 {
		h := s.addHost()
		h.limits = s.hosts[0].limits
		s.after(s.between(500*time.Millisecond, 2*time.Second), h.start)
	}
	s.runUntil(s.now + 12*time.Second)
	part, at := a.worst()
	t.Logf("%.3f of the bound, from %v", part, at)
	is.True(part <= 1)
}

// steady returns a fleet of 100 hosts in 4 data centres without faults that has run for
// three seconds.
func steady(seed uint64) *sim {
	return newSim(rand.New(rand.NewPCG(seed, 3)), simConfig{hosts: 100, dataCentres: 4})
}

func (s *sim) settle() {
	for _, h := range s.hosts {
		s.after(s.between(0, 500*time.Millisecond), h.start)
	}
	s.runUntil(4 * time.Second)
}

// TestUnevenAccount guards against an account inside its quota that is refused since all
// its connections are on one host: it gets at least 0.9 of its quota within two seconds.
func TestUnevenAccount(t *testing.T) {
	for _, l := range []Limit{{128, 128}, {128, 8}, {20, 20}, {5, 5}} {
		t.Run(fmt.Sprint(l), func(t *testing.T) {
			is := is.New(t)
			s := steady(1)
			a := s.addAccount("huka270", l, func(time.Duration) float64 { return l.Rate }, onHost(17))
			s.settle()
			s.load()
			s.runUntil(s.now + 2*time.Second)
			t.Logf("offered %d, sent %d, refused %d, messages %d", a.offered, len(a.sent), a.refused, s.messages)
			is.True(float64(a.given) >= 0.9*min(float64(a.offered), 2*l.Rate))
		})
	}
}

// TestSpreadAccountsAreNotRefused guards against refusals of accounts inside their quota
// that coordination causes, and against its cost: about one message each way for a request.
func TestSpreadAccountsAreNotRefused(t *testing.T) {
	is := is.New(t)
	s := steady(2)
	for i := range 74 {
		rate := 8 + float64(i%8)
		s.addAccount(fmt.Sprintf("huka%d", i), Limit{rate, rate}, func(time.Duration) float64 { return 0.5 * rate }, zipf(float64(i%3), i))
	}
	s.settle()
	s.messages, s.requests = 0, 0
	s.load()
	s.runUntil(s.now + 20*time.Second)
	offered, refused, silent := 0, 0, 0
	for _, a := range s.accounts {
		offered, refused, silent = offered+a.offered, refused+a.refused, silent+a.silent
	}
	t.Logf("%d requests, %d refused, %d of them without an answer of the owner; %.2f messages a request", offered, refused, silent, float64(s.messages)/float64(s.requests))
	is.Equal(refused, 0)
	is.True(float64(s.messages) <= 2.1*float64(s.requests))
}

// TestRestartsInTurn guards against refusals of accounts inside their quota while hosts are
// stopped and started one after the other, and the accounts change their owners.
func TestRestartsInTurn(t *testing.T) {
	is := is.New(t)
	s := steady(2)
	for i := range 74 {
		rate := 8 + float64(i%8)
		s.addAccount(fmt.Sprintf("huka%d", i), Limit{rate, rate}, func(time.Duration) float64 { return 0.5 * rate }, zipf(float64(i%3), i))
	}
	s.settle()
	s.load()
	for i := range 20 {
		h := s.hosts[i*5]
		s.after(time.Duration(i)*time.Second, func() {
			h.roster.Leave()
			s.after(300*time.Millisecond, h.stop)
			s.after(2*time.Second, h.start)
		})
	}
	s.runUntil(s.now + 20*time.Second)
	offered, refused := 0, 0
	for _, a := range s.accounts {
		offered, refused = offered+a.offered, refused+a.refused
	}
	t.Logf("%d requests, %d refused", offered, refused)
	is.True(refused*200 <= offered)
}

// TestFloodIsCheap guards against an account far over its quota whose refused requests each
// cost a message, and against one that does not get its quota then.
func TestFloodIsCheap(t *testing.T) {
	is := is.New(t)
	s := steady(3)
	a := s.addAccount("huka270", Limit{128, 128}, func(time.Duration) float64 { return 1280 }, zipf(0, 0))
	s.settle()
	s.messages, s.requests = 0, 0
	s.load()
	s.runUntil(s.now + 10*time.Second)
	t.Logf("offered %d, sent %d, %.2f messages a request", a.offered, len(a.sent), float64(s.messages)/float64(s.requests))
	is.True(len(a.sent) >= 1152)
	is.True(float64(s.messages) <= 0.8*float64(s.requests))
}
