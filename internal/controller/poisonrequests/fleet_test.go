package poisonrequests

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

var seeds = flag.Int("fleet.seeds", 3, "number of seeds of the fleet test")

// dice is a seeded source for several goroutines.
type dice struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newDice(seed uint64) *dice { return &dice{r: rand.New(rand.NewPCG(seed, 0))} }

func (d *dice) float() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.Float64()
}

func (d *dice) n(n int) int { return int(d.float() * float64(n)) }

func (d *dice) delay(least, most time.Duration) time.Duration {
	return least + time.Duration(d.float()*float64(most-least))
}

// The fleet of the bound in design section 6, with today's sizes.
const (
	hosts        = 16
	servers      = 20
	slots        = 4
	killerEvery  = 200 * time.Millisecond
	killerRun    = 20 * time.Millisecond // until the server dies
	restart      = 5 * time.Second
	runFor       = time.Minute
	lookupEvery  = 5 * time.Millisecond   // over the fleet
	runTime      = 200 * time.Millisecond // of other requests; half of the slots are in use
	lookups      = 200                    // different ones
	orderPercent = 20
)

// network is an in-memory gossip and caller with delay and loss.
type network struct {
	*dice
	hosts        []*host
	gossipLoss   float64
	callLoss     float64
	gossipLatest time.Duration
}

type host struct {
	net      *network
	name     string
	handler  func(from string, u wire.Update)
	store    *state.Store
	c        *Controller
	service  *Service
	counters *metrics.Counters
	poison   *filters.Poison
}

// Publish implements peer.Gossip.
func (h *host) Publish(u wire.Update) {
	for _, o := range h.net.hosts {
		if o != h && h.net.float() >= h.net.gossipLoss {
			time.AfterFunc(h.net.delay(100*time.Millisecond, h.net.gossipLatest), func() { o.handler(h.name, u) })
		}
	}
}

// Handle implements peer.Gossip.
func (h *host) Handle(f func(from string, u wire.Update)) { h.handler = f }

// Call implements peer.Caller. Requests and replies are lost alike.
func (h *host) Call(ctx context.Context, _ peer.Class, address, _ string, args, reply any) error {
	for _, o := range h.net.hosts {
		if o.name != address {
			continue
		}
		time.Sleep(h.net.delay(time.Millisecond, 5*time.Millisecond))
		if h.net.float() < h.net.callLoss {
			<-ctx.Done()
			return peer.ErrUnconfirmed
		}
		if err := o.service.Notice(args.(*wire.PoisonNoticeRequest), reply.(*wire.PoisonNoticeReply)); err != nil {
			return err
		}
		time.Sleep(h.net.delay(time.Millisecond, 5*time.Millisecond))
		if h.net.float() < h.net.callLoss {
			<-ctx.Done()
			return peer.ErrUnconfirmed
		}
		return nil
	}
	return peer.ErrNotSent
}

// farm is a set of backend servers that die of some requests.
type farm struct {
	*dice
	mu      sync.Mutex
	servers [servers]struct {
		b        *manifest.BackendServer
		inflight int
		dead     chan struct{} // closed at death; nil while restarting
	}
	crashes int
}

func newFarm(d *dice) *farm {
	f := &farm{dice: d}
	for i := range f.servers {
		f.servers[i].b = &manifest.BackendServer{Name: fmt.Sprint("s", i)}
		f.servers[i].dead = make(chan struct{})
	}
	return f
}

// Handle stands for selection, admission and dispatch.
func (f *farm) Handle(_ context.Context, x *filter.Exchange) filter.Outcome {
	f.mu.Lock()
	var free []int
	for i := range f.servers {
		if f.servers[i].dead != nil && f.servers[i].inflight < slots {
			free = append(free, i)
		}
	}
	if len(free) == 0 {
		f.mu.Unlock()
		return filter.Refuse(verdict.ReasonOverload, nil)
	}
	s := &f.servers[free[f.n(len(free))]]
	s.inflight++
	dead := s.dead
	f.mu.Unlock()
	x.Grant = &filter.Grant{Server: s.b}
	out := filter.Outcome{Verdict: verdict.Ran}
	if x.Route.Name == "killer" {
		time.Sleep(killerRun)
		f.kill(s.b, dead)
	}
	select {
	case <-dead:
		out = filter.Unknown(verdict.ReasonAnswerCut, nil)
		out.Crashed = true
	case <-time.After(runTime):
	}
	f.mu.Lock()
	s.inflight--
	f.mu.Unlock()
	return out
}

func (f *farm) kill(b *manifest.BackendServer, dead chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.servers {
		s := &f.servers[i]
		if s.b != b || s.dead != dead {
			continue // it died of another request
		}
		f.crashes++
		close(dead)
		s.dead = nil
		time.AfterFunc(restart, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			s.dead = make(chan struct{})
		})
	}
}

// tally counts what happened to requests other than the killer.
type tally struct {
	mu                            sync.Mutex
	sent, refused, cut, noServer  int
	killerSent, killerRefused     int
	longestRefused, firstRefusals map[uint64]time.Duration
}

// start runs the controllers of all hosts until ctx ends.
func (n *network) start(ctx context.Context, clk clock.Clock, running *sync.WaitGroup) {
	for i := range hosts {
		name := fmt.Sprint("eh", i)
		h := &host{net: n, name: name, counters: metrics.New(), store: state.NewStore(state.Member{Name: name, Address: name, Alive: true})}
		h.c = New(Config{Clock: clk, Store: h.store, Gossip: h, Caller: h, Counters: h.counters, Log: zap.NewNop()})
		h.service = &Service{c: h.c}
		h.poison = &filters.Poison{Clock: clk, Store: h.store, Reporter: h.c}
		n.hosts = append(n.hosts, h)
		running.Go(func() { h.c.Run(ctx) })
	}
	byName := map[string]*state.Member{}
	for _, h := range n.hosts {
		byName[h.name] = &state.Member{Name: h.name, Address: h.name, Alive: true}
	}
	for _, h := range n.hosts {
		h.store.Update(func(s *state.Snapshot) {
			members := *s.Members
			members.ByName = byName
			s.Members = &members
		})
	}
}

// fleet runs the scenario in virtual time and returns the crashes and a tally.
func fleet(t *testing.T, protect bool, killer manifest.Route, n *network) (int, *tally) {
	clk := clock.NewMonotonic()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	n.start(ctx, clk, &running)
	f, count := newFarm(n.dice), &tally{longestRefused: map[uint64]time.Duration{}, firstRefusals: map[uint64]time.Duration{}}
	send := func(r *manifest.Route, path string) {
		running.Go(func() {
			h := n.hosts[n.n(hosts)]
			x := &filter.Exchange{Snapshot: h.store.Load(), Route: r, Request: &filter.Request{Method: "GET", Path: path}}
			var out filter.Outcome
			for range r.Retries + 1 {
				if protect {
					out = h.poison.Handle(ctx, x, f)
				} else {
					out = f.Handle(ctx, x)
				}
				if out.Verdict == verdict.Ran || !r.Idempotent {
					break
				}
			}
			count.add(r, x.Fingerprint, out, time.Duration(clk.Now()))
		})
	}
	lookup := &manifest.Route{Name: "lookup", Idempotent: true, Retries: 1}
	order := &manifest.Route{Name: "order"}
	for at := time.Duration(0); at < runFor; at += lookupEvery {
		if at%killerEvery == 0 {
			send(&killer, "/killer")
		}
		if n.n(100) < orderPercent {
			send(order, fmt.Sprint("/orders/", at))
		} else {
			send(lookup, fmt.Sprint("/lots/", int(n.float()*n.float()*lookups)))
		}
		time.Sleep(lookupEvery)
	}
	time.Sleep(time.Second)
	cancel()
	running.Wait()
	for _, h := range n.hosts {
		is.New(t).Equal(h.c.dropped.Value(), int64(0)) // no event was dropped
	}
	return f.crashes, count
}

func (c *tally) add(r *manifest.Route, fp uint64, out filter.Outcome, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	suspected := out.Reason == verdict.ReasonSuspect
	if r.Name == "killer" {
		c.killerSent++
		if suspected {
			c.killerRefused++
		}
		return
	}
	c.sent++
	switch {
	case suspected:
		c.refused++
		if _, ok := c.firstRefusals[fp]; !ok {
			c.firstRefusals[fp] = now
		}
		c.longestRefused[fp] = max(c.longestRefused[fp], now-c.firstRefusals[fp])
	case out.Verdict == verdict.MayHaveRun:
		c.cut++
	case out.Reason == verdict.ReasonOverload:
		c.noServer++
	}
}

func (c *tally) longest() time.Duration {
	var most time.Duration
	for _, d := range c.longestRefused {
		most = max(most, d)
	}
	return most
}

// scenario runs the fleet for each seed and logs one line of totals.
func scenario(t *testing.T, name string, protect bool, killer manifest.Route, callLoss float64) (worst int, longest time.Duration) {
	var crashes, sent, refused, cut, noServer, killerRefused int
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			n := &network{dice: newDice(uint64(seed)), gossipLoss: 0.1, callLoss: callLoss, gossipLatest: 900 * time.Millisecond}
			k, c := fleet(t, protect, killer, n)
			crashes, worst, longest = crashes+k, max(worst, k), max(longest, c.longest())
			sent, refused, cut, noServer = sent+c.sent, refused+c.refused, cut+c.cut, noServer+c.noServer
			killerRefused += c.killerRefused
		})
	}
	t.Logf("%s: seeds 0 to %d; servers crashed %.2f on average, %d at most; killers refused %d; innocent: sent %d, refused as suspect %d, cut %d, no free server %d, longest refusal %v",
		name, *seeds-1, float64(crashes)/float64(*seeds), worst, killerRefused, sent, refused, cut, noServer, longest)
	return worst, longest
}

// TestFleetBound guards against a request that crashes more than 3 backend
// servers when it is sent every 200 ms for a minute to random entry hosts, and
// against bystanders that stay refused.
func TestFleetBound(t *testing.T) {
	for name, k := range map[string]manifest.Route{
		"idempotent, 3 retries": {Name: "killer", Idempotent: true, Retries: 3},
		"idempotent, 0 retries": {Name: "killer", Idempotent: true},
		"not idempotent":        {Name: "killer"},
	} {
		worst, longest := scenario(t, name, true, k, 0.05)
		if worst > 3 {
			t.Errorf("%s: %d servers crashed, the bound is 3", name, worst)
		}
		if longest > 15*time.Second {
			t.Errorf("%s: a bystander was refused for %v", name, longest)
		}
	}
}

// TestFleetWithoutProtection shows that the scenario does harm, and what gossip
// alone achieves, so that the bound above means something.
func TestFleetWithoutProtection(t *testing.T) {
	k := manifest.Route{Name: "killer", Idempotent: true, Retries: 3}
	none, _ := scenario(t, "no protection", false, k, 0)
	gossip, _ := scenario(t, "gossip only, all notices lost", true, k, 1)
	is.New(t).True(none > 100)
	is.New(t).True(gossip < none/10)
}
