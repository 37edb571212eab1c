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

// lockedRand is a seeded random source that is safe for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand { return &lockedRand{r: rand.New(rand.NewPCG(seed, 0))} }

func (l *lockedRand) uniform() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Float64()
}

func (l *lockedRand) n(n int) int { return int(l.uniform() * float64(n)) }

func (l *lockedRand) delay(least, most time.Duration) time.Duration {
	return least + time.Duration(l.uniform()*float64(most-least))
}

// The fleet and load for the bound in section 6 of the design page.
const (
	hosts           = 16
	servers         = 20
	slots           = 4
	poisonInterval  = 200 * time.Millisecond
	crashDelay      = 20 * time.Millisecond // until the server crashes
	restartTime     = 5 * time.Second
	scenarioTime    = time.Minute
	requestInterval = 5 * time.Millisecond   // over the fleet
	runTime         = 200 * time.Millisecond // of other requests; keeps half of the slots in use
	lookupPaths     = 200                    // different paths of lookups
	orderPercent    = 20
)

// network simulates gossip and RPC calls with delay and loss.
type network struct {
	*lockedRand
	hosts          []*host
	gossipLoss     float64
	callLoss       float64
	maxGossipDelay time.Duration
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
		if o != h && h.net.uniform() >= h.net.gossipLoss {
			time.AfterFunc(h.net.delay(100*time.Millisecond, h.net.maxGossipDelay), func() { o.handler(h.name, u) })
		}
	}
}

// Handle implements peer.Gossip.
func (h *host) Handle(f func(from string, u wire.Update)) { h.handler = f }

// Call implements peer.Caller. Requests and replies are lost at the same rate.
func (h *host) Call(ctx context.Context, _ peer.Class, address, _ string, args, reply any) error {
	for _, o := range h.net.hosts {
		if o.name != address {
			continue
		}
		time.Sleep(h.net.delay(time.Millisecond, 5*time.Millisecond))
		if h.net.uniform() < h.net.callLoss {
			<-ctx.Done()
			return peer.ErrUnconfirmed
		}
		if err := o.service.Notice(args.(*wire.PoisonNoticeRequest), reply.(*wire.PoisonNoticeReply)); err != nil {
			return err
		}
		time.Sleep(h.net.delay(time.Millisecond, 5*time.Millisecond))
		if h.net.uniform() < h.net.callLoss {
			<-ctx.Done()
			return peer.ErrUnconfirmed
		}
		return nil
	}
	return peer.ErrNotSent
}

// serverPool is a set of backend servers that crash on poison requests.
type serverPool struct {
	*lockedRand
	mu      sync.Mutex
	servers [servers]struct {
		b        *manifest.BackendServer
		inflight int
		crashed  chan struct{} // closed at a crash; nil while restarting
	}
	crashes int
}

func newServerPool(r *lockedRand) *serverPool {
	p := &serverPool{lockedRand: r}
	for i := range p.servers {
		p.servers[i].b = &manifest.BackendServer{Name: fmt.Sprint("s", i)}
		p.servers[i].crashed = make(chan struct{})
	}
	return p
}

// Handle takes the part of selection, admission and dispatch.
func (p *serverPool) Handle(_ context.Context, x *filter.Exchange) filter.Outcome {
	p.mu.Lock()
	var free []int
	for i := range p.servers {
		if p.servers[i].crashed != nil && p.servers[i].inflight < slots {
			free = append(free, i)
		}
	}
	if len(free) == 0 {
		p.mu.Unlock()
		return filter.Refuse(verdict.ReasonOverload, nil)
	}
	s := &p.servers[free[p.n(len(free))]]
	s.inflight++
	crashed := s.crashed
	p.mu.Unlock()
	x.Grant = &filter.Grant{Server: s.b}
	out := filter.Outcome{Verdict: verdict.Ran}
	if x.Route.Name == "poison" {
		time.Sleep(crashDelay)
		p.crash(s.b, crashed)
	}
	select {
	case <-crashed:
		out = filter.Unknown(verdict.ReasonAnswerCut, nil)
		out.Crashed = true
	case <-time.After(runTime):
	}
	p.mu.Lock()
	s.inflight--
	p.mu.Unlock()
	return out
}

func (p *serverPool) crash(b *manifest.BackendServer, crashed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.servers {
		s := &p.servers[i]
		if s.b != b || s.crashed != crashed {
			continue // another request crashed it
		}
		p.crashes++
		close(crashed)
		s.crashed = nil
		time.AfterFunc(restartTime, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			s.crashed = make(chan struct{})
		})
	}
}

// tally counts the outcomes of requests. The counters without poison in their
// names are for requests other than the poison request.
type tally struct {
	mu                            sync.Mutex
	sent, refused, cut, noServer  int
	poisonSent, poisonRefused     int
	longestRefused, firstRefusals map[uint64]time.Duration
}

// start runs the controllers of all hosts until ctx is cancelled.
func (n *network) start(ctx context.Context, clk clock.Clock, wg *sync.WaitGroup) {
	for i := range hosts {
		name := fmt.Sprint("eh", i)
		h := &host{net: n, name: name, counters: metrics.New(), store: state.NewStore(state.Member{Name: name, Address: name, Alive: true})}
		h.c = New(Config{Clock: clk, Store: h.store, Gossip: h, Caller: h, Counters: h.counters, Log: zap.NewNop()})
		h.service = &Service{c: h.c}
		h.poison = &filters.Poison{Clock: clk, Store: h.store, Reporter: h.c}
		n.hosts = append(n.hosts, h)
		wg.Go(func() { h.c.Run(ctx) })
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

// runFleet runs the scenario in virtual time and returns the number of crashes and
// a tally.
func runFleet(t *testing.T, protected bool, poisonRoute manifest.Route, n *network) (int, *tally) {
	clk := clock.NewMonotonic()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	n.start(ctx, clk, &wg)
	pool, count := newServerPool(n.lockedRand), &tally{longestRefused: map[uint64]time.Duration{}, firstRefusals: map[uint64]time.Duration{}}
	send := func(r *manifest.Route, path string) {
		wg.Go(func() {
			h := n.hosts[n.n(hosts)]
			x := &filter.Exchange{Snapshot: h.store.Load(), Route: r, Request: &filter.Request{Method: "GET", Path: path}}
			var out filter.Outcome
			for range r.Retries + 1 {
				if protected {
					out = h.poison.Handle(ctx, x, pool)
				} else {
					out = pool.Handle(ctx, x)
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
	for at := time.Duration(0); at < scenarioTime; at += requestInterval {
		if at%poisonInterval == 0 {
			send(&poisonRoute, "/poison")
		}
		if n.n(100) < orderPercent {
			send(order, fmt.Sprint("/orders/", at))
		} else {
			send(lookup, fmt.Sprint("/lots/", int(n.uniform()*n.uniform()*lookupPaths)))
		}
		time.Sleep(requestInterval)
	}
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	for _, h := range n.hosts {
		is.New(t).Equal(h.c.dropped.Value(), int64(0)) // no event was dropped
	}
	return pool.crashes, count
}

func (c *tally) add(r *manifest.Route, fp uint64, out filter.Outcome, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	refusedAsPoison := out.Reason == verdict.ReasonSuspect
	if r.Name == "poison" {
		c.poisonSent++
		if refusedAsPoison {
			c.poisonRefused++
		}
		return
	}
	c.sent++
	switch {
	case refusedAsPoison:
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

// scenario runs the fleet once for each seed and logs the totals in one line.
func scenario(t *testing.T, name string, protected bool, poisonRoute manifest.Route, callLoss float64) (maxCrashes int, longest time.Duration) {
	var crashes, sent, refused, cut, noServer, poisonRefused int
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			n := &network{lockedRand: newLockedRand(uint64(seed)), gossipLoss: 0.1, callLoss: callLoss, maxGossipDelay: 900 * time.Millisecond}
			k, c := runFleet(t, protected, poisonRoute, n)
			crashes, maxCrashes, longest = crashes+k, max(maxCrashes, k), max(longest, c.longest())
			sent, refused, cut, noServer = sent+c.sent, refused+c.refused, cut+c.cut, noServer+c.noServer
			poisonRefused += c.poisonRefused
		})
	}
	t.Logf("%s: seeds 0 to %d; servers crashed %.2f on average, %d at most; poison requests refused %d; other requests: sent %d, refused as poison requests %d, cut %d, no free server %d, longest refusal %v",
		name, *seeds-1, float64(crashes)/float64(*seeds), maxCrashes, poisonRefused, sent, refused, cut, noServer, longest)
	return maxCrashes, longest
}

// TestFleetBound guards against a request that crashes more than 3 backend
// servers when it is sent every 200 ms for a minute to random entry hosts, and
// against unrelated requests that stay refused.
func TestFleetBound(t *testing.T) {
	for name, k := range map[string]manifest.Route{
		"idempotent, 3 retries": {Name: "poison", Idempotent: true, Retries: 3},
		"idempotent, 0 retries": {Name: "poison", Idempotent: true},
		"not idempotent":        {Name: "poison"},
	} {
		worst, longest := scenario(t, name, true, k, 0.05)
		if worst > 3 {
			t.Errorf("%s: %d servers crashed, want at most 3", name, worst)
		}
		if longest > 15*time.Second {
			t.Errorf("%s: an unrelated request was refused for %v", name, longest)
		}
	}
}

// TestFleetWithoutProtection checks that the scenario crashes many servers without
// protection and fewer with gossip alone, so that the bound of TestFleetBound is
// meaningful.
func TestFleetWithoutProtection(t *testing.T) {
	k := manifest.Route{Name: "poison", Idempotent: true, Retries: 3}
	none, _ := scenario(t, "no protection", false, k, 0)
	gossip, _ := scenario(t, "gossip only, all notices lost", true, k, 1)
	is.New(t).True(none > 100)
	is.New(t).True(gossip < none/10)
}
