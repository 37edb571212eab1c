package crashes

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/poison"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

const (
	replayLength = 30 * time.Second
	// settleTime is how long after the third crash, or after its own restart or
	// cut, a host may still send a crashing request.
	settleTime = 3 * time.Second
	// maxLateSends is how often the fleet may send it after that.
	maxLateSends = 3
	// serverRestartTime is how long a crashed server is down.
	serverRestartTime = 2500 * time.Millisecond
	// tickInterval is the interval of probes and heartbeats.
	tickInterval = 100 * time.Millisecond
)

// replayHost is one entry host: its retry and poison filters and its controller.
type replayHost struct {
	*Controller
	dataCentre string
	chain      filter.Handler
	servers    map[string]*state.Server // this host's view
	cancel     context.CancelFunc
	stopped    chan struct{}
	started    time.Time
	cutUntil   time.Time
}

// replay plays a day in virtual time: hosts of four data centres that exchange
// heartbeats, backend servers that crash when they run the one crashing request, and
// a caller that sends it again and again to random hosts.
type replay struct {
	rng        *rand.Rand
	hosts      []*replayHost
	mu         sync.Mutex           // guards downUntil
	downUntil  map[string]time.Time // by server name
	crashes    []time.Time
	lateSends  int
	bystanders int                        // other requests in flight on each server that crashes
	resent     map[string][]resentRequest // those of them that are sent again, by server
	loss       float64                    // share of heartbeats that are lost
	probesDown bool                       // no host probes backend servers
}

const replayServers = 24

// otherWork is how long the other requests run.
const otherWork = 300 * time.Millisecond

// resentRequest is another request that was in flight on a server that crashed.
type resentRequest struct {
	fingerprint uint64
	until       time.Time // end of its run
}

var replaySeeds = flag.Uint64("seeds", 10, "number of seeds with which each day is replayed")

// down returns until when a server is down.
func (r *replay) down(server string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.downUntil[server]
}

func (r *replay) startHost(i int) {
	h := &replayHost{dataCentre: fmt.Sprint("dc", i%4), servers: map[string]*state.Server{}, started: time.Now(), stopped: make(chan struct{})}
	store := state.NewStore(state.Member{Name: fmt.Sprint("eh", i)})
	table := &state.Servers{ByName: map[string]*state.Server{}, ByService: map[string][]*state.Server{}, Out: map[string]bool{}}
	for n := range replayServers {
		s := &state.Server{BackendServer: manifest.BackendServer{Name: fmt.Sprint("b", n), Address: fmt.Sprint("b", n)}, Load: &load.State{}}
		h.servers[s.Name], table.ByName[s.Name] = s, s
	}
	store.Update(func(s *state.Snapshot) { s.Servers = table })
	clk := clock.NewMonotonic()
	h.Controller = New(Config{Clock: clk, Store: store, Self: poison.Origin(fmt.Sprint("10.0.0.", i, ":7660"), r.rng.Uint64()), Counters: metrics.New(), Log: zap.NewNop(),
		RefusesConnections: func(_ context.Context, server string) bool { return time.Now().Before(r.down(server)) }, Flush: func() {}})
	h.chain = filter.Chain(
		&filters.Retry{Clock: clk, Counters: metrics.New(), MaxTokens: func() float64 { return 2 }},
		&filters.Poison{Clock: clk, Store: store, Reporter: h.Controller, ConfirmsCrashes: true},
		dispatch{r, h},
	)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() { defer close(h.stopped); h.Run(ctx) }()
	r.hosts[i] = h
}

func (r *replay) restart(i int) {
	r.hosts[i].cancel()
	<-r.hosts[i].stopped
	r.startHost(i)
}

// dispatch sends to a random server that is up, and crashes it.
type dispatch struct {
	r *replay
	h *replayHost
}

func (dispatch) Name() string { return "dispatch" }

func (d dispatch) Handle(_ context.Context, x *filter.Exchange, _ filter.Handler) filter.Outcome {
	r, h, now := d.r, d.h, time.Now()
	name := fmt.Sprint("b", r.rng.IntN(replayServers))
	for now.Before(r.down(name)) {
		name = fmt.Sprint("b", r.rng.IntN(replayServers))
	}
	if n := len(r.crashes); n >= 3 && now.Sub(r.crashes[2]) > settleTime && now.Sub(h.started) > settleTime && now.Sub(h.cutUntil) > settleTime {
		r.lateSends++
	}
	r.crashes = append(r.crashes, now)
	r.mu.Lock()
	r.downUntil[name] = now.Add(serverRestartTime)
	r.mu.Unlock()
	x.Grant = &filter.Grant{Server: &h.servers[name].BackendServer}
	x.Tried = append(x.Tried, name)
	caught := r.resent[name]
	delete(r.resent, name)
	for range r.bystanders {
		caught = append(caught, resentRequest{r.rng.Uint64(), now.Add(time.Second)})
	}
	for _, other := range caught {
		if now.Before(other.until) {
			r.hosts[r.rng.IntN(len(r.hosts))].Crashed(context.Background(), other.fingerprint, name, false)
			next := fmt.Sprint("b", r.rng.IntN(replayServers))
			r.resent[next] = append(r.resent[next], resentRequest{other.fingerprint, now.Add(otherWork)})
		}
	}
	out := filter.Unknown(verdict.ReasonAnswerCut, nil)
	out.Crashed = true
	return out
}

// send sends the crashing request to a random host that is not cut off.
func (r *replay) send() {
	h := r.hosts[r.rng.IntN(len(r.hosts))]
	if time.Now().Before(h.cutUntil) {
		return
	}
	now := h.cfg.Clock.Now()
	h.chain.Handle(context.Background(), &filter.Exchange{
		Request: &filter.Request{Method: "GET", Path: "/a/2f", Caller: "10.9.0.1"}, Arrived: now, Deadline: now.Add(4 * time.Second),
		Route:   &manifest.Route{Name: "r", Idempotent: true, Retries: 1, RetryPercent: 100},
		Service: &manifest.Service{Name: "s"},
	})
}

// tick delivers the readings of probes and one heartbeat of each host, and every
// second time one digest between each pair of data centres.
func (r *replay) tick(n int) {
	now := time.Now()
	for _, h := range r.hosts {
		for name, s := range h.servers {
			down := r.down(name)
			if !down.IsZero() && !r.probesDown && now.After(h.cutUntil) {
				s.Load.Observe(load.Reading{At: h.cfg.Clock.Now(), Speed: 1, Silent: now.Before(down) && down.Sub(now) < serverRestartTime-2*tickInterval})
			}
		}
	}
	for i, h := range r.hosts {
		b := &wire.Heartbeat{}
		h.AddToHeartbeat(h.cfg.Clock.Now(), b)
		r.deliver(h, b, h.dataCentre)
		if i < 4 && n%2 == 0 { // sends the digests of its data centre
			for dc := range 4 {
				b := &wire.Heartbeat{}
				h.AddToDigest(h.cfg.Clock.Now(), b)
				if name := fmt.Sprint("dc", dc); name != h.dataCentre {
					r.deliver(h, b, name)
				}
			}
		}
	}
}

func (r *replay) deliver(from *replayHost, b *wire.Heartbeat, dataCentre string) {
	now := time.Now()
	for _, to := range r.hosts {
		if to != from && to.dataCentre == dataCentre && now.After(from.cutUntil) && now.After(to.cutUntil) && r.rng.Float64() >= r.loss {
			to.Received(to.cfg.Clock.Now(), b)
		}
	}
}

// dayStep runs the disruptions that are due at the given tick.
type dayStep func(r *replay, tick int)

func seconds(s float64) int { return int(s * float64(time.Second) / float64(tickInterval)) }

// TestCrashingRequestIsNotRepeated guards against a request that crashes the servers
// that run it and is sent to more and more of them, by hosts that were away when the
// fleet learned of it or that the report did not reach.
func TestCrashingRequestIsNotRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		interval   float64 // seconds between two sends of the caller
		bystanders int
		loss       float64
		step       dayStep
	}{
		"Calm": {interval: 0.3},
		"RestartedInWaves": {interval: 2.2, loss: 0.05, step: func(r *replay, tick int) {
			if tick > 0 && tick%seconds(5) == 0 {
				for range 5 {
					r.restart(r.rng.IntN(len(r.hosts)))
				}
			}
		}},
		"CutOffMeanwhile": {interval: 2.2, loss: 0.05, step: func(r *replay, tick int) {
			if tick%seconds(10) == 0 { // the first ones do not learn of the first crashes
				for range 5 {
					r.hosts[r.rng.IntN(len(r.hosts))].cutUntil = time.Now().Add(6 * time.Second)
				}
			}
		}},
		"AllRestarted": {interval: 2.2, step: func(r *replay, tick int) {
			if tick == seconds(12) {
				for i := range r.hosts {
					r.restart(i)
				}
			}
		}},
		"Everything": {interval: 0.5, loss: 0.2, bystanders: 12, step: func(r *replay, tick int) {
			if tick > 0 && tick%seconds(4) == 0 {
				for range 5 {
					r.restart(r.rng.IntN(len(r.hosts)))
				}
			}
			if tick%seconds(7) == 0 {
				for range 3 {
					r.hosts[r.rng.IntN(len(r.hosts))].cutUntil = time.Now().Add(5 * time.Second)
				}
			}
		}},
		"ManyInFlight": {interval: 0.3, bystanders: 18},
		"NotProbed": {interval: 0.3, step: func(r *replay, tick int) {
			if tick == 0 {
				r.probesDown = true
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range *replaySeeds {
				var sends, late int
				synctest.Test(t, func(t *testing.T) {
					r := &replay{rng: rand.New(rand.NewPCG(seed, 1)), hosts: make([]*replayHost, 16), downUntil: map[string]time.Time{}, resent: map[string][]resentRequest{}, bystanders: c.bystanders, loss: c.loss}
					for i := range r.hosts {
						r.startHost(i)
					}
					for tick := range int(replayLength / tickInterval) {
						if c.step != nil {
							c.step(r, tick)
						}
						r.tick(tick)
						if tick%seconds(c.interval) == 0 {
							r.send()
						}
						time.Sleep(tickInterval)
						synctest.Wait()
					}
					for _, h := range r.hosts {
						h.cancel()
					}
					sends, late = len(r.crashes), r.lateSends
				})
				if late > maxLateSends {
					t.Errorf("seed %d: %d sends, %d of them by hosts that had had time to learn of the crashes; at most %d are allowed", seed, sends, late, maxLateSends)
				}
			}
		})
	}
}
