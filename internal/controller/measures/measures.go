// Package measures owns the load readings of backend servers. It probes those
// servers of the local data centre that the roster assigns to this host. Readings
// go to the other hosts of the data centre in heartbeats and to other data centres
// in digests: the controllers that send and receive these call this package as a
// mesh.HeartbeatHandler. The placement filter calls it as a filters.ColdSender.
package measures

import (
	"context"
	"expvar"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/state"
)

const (
	// probeIntervalShare is the probe interval as a share of the shortest objective
	// of all routes: a reading must be recent compared with the duration of the
	// request that it places. With an objective of 150 ms, the p95 of run times was
	// 1.5 times the usual run time on readings up to 10 ms old, and 3.3 times on
	// readings that were 60 to 100 ms old.
	probeIntervalShare = 0.2
	// minProbeInterval and maxProbeInterval bound the interval. The speed of backend
	// servers changes about three times a second. Each server allows 60 probes a
	// second; two hosts that disagree on the owner may use half of them each.
	minProbeInterval, maxProbeInterval = 35 * time.Millisecond, 100 * time.Millisecond
	// noLoadReportInterval is the time between probes of a server that does not
	// report its load: its health response waits for a slot like a request.
	noLoadReportInterval = time.Second
	// probeTimeout bounds a probe. Servers that report their load respond at once,
	// without waiting for a slot.
	probeTimeout = 250 * time.Millisecond
	// silentThreshold is the number of consecutive failed probes after which a
	// server counts as silent.
	silentThreshold = 2
	// requestBytes and responseHeadBytes are upper estimates of the size of a probe
	// request with its headers and of the head of its response.
	requestBytes, responseHeadBytes = 160, 160
	// coldSendDelay is the time after the start of the process during which it
	// sends nothing to cold servers: it may not know yet which host does.
	coldSendDelay = 3 * time.Second
)

// Mesh provides the view of the entry hosts and, with Flush, sends a heartbeat now.
type Mesh interface {
	View() *roster.View
	Flush()
}

// Config holds the dependencies of a Controller.
type Config struct {
	Clock     clock.Clock
	Store     *state.Store
	Transport filter.Transport
	Mesh      Mesh
	Counters  *metrics.Counters
	Log       *zap.Logger
	// Settled reports whether assumed slow starts may be reported to other hosts; nil:
	// there are none.
	Settled func() bool
}

// Controller writes the readings of probes and heartbeats. The only other writers
// of readings are the responses to this host's own requests.
type Controller struct {
	cfg      Config
	log      *zap.Logger
	inFlight atomic.Int32 // number of probes
	probes   *expvar.Int
	queries  *expvar.Int // of the load, before a request was placed
	budget   load.Pacer  // of these
	failed   *expvar.Int

	workers  map[string]*worker // by server name; used by Run's goroutine only
	demand   atomic.Pointer[demandTable]
	assigned atomic.Pointer[map[string]*state.Server]
	ready    atomic.Bool // servers were assigned
	limited  atomic.Pointer[limitedServers]
	index    atomic.Pointer[serverIndex]
}

func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg, log: cfg.Log.Named("measures"), workers: map[string]*worker{}}
	c.probes, c.failed = cfg.Counters.Int("measures.probes"), cfg.Counters.Int("measures.probes_failed")
	c.queries = cfg.Counters.Int("measures.queries")
	c.assigned.Store(&map[string]*state.Server{})
	c.limited.Store(&limitedServers{})
	c.demand.Store(&demandTable{})
	cfg.Counters.Set("measures.servers_limited", expvar.Func(func() any { return countLimited(cfg.Store.Load().Servers) }))
	return c
}

// ProbeInterval returns the time between two probes of a server.
func ProbeInterval(m *manifest.Manifest) time.Duration {
	interval := maxProbeInterval
	if m == nil {
		return interval
	}
	for i := range m.File.Routes {
		if o := time.Duration(m.File.Routes[i].Objective); o > 0 {
			interval = min(interval, time.Duration(probeIntervalShare*float64(o)))
		}
	}
	return max(interval, minProbeInterval)
}

// TaskName returns the name of the assigned task of probing a backend server.
func TaskName(server string) string { return "measure/" + server }

// MaySendToCold implements filters.ColdSender: only the host that probes a cold
// server sends requests to it. A new process waits for coldSendDelay, except for
// servers that report only their running requests: one of these is cold only if
// its start was noticed since, and the host that reported it is known by then.
func (c *Controller) MaySendToCold(s *state.Server) bool {
	return (s.ReportsRunningOnly || c.cfg.Clock.Now().Sub(0) >= coldSendDelay) && (*c.assigned.Load())[s.Name] != nil
}

// Assigned reports whether the hosts have shared the servers of a manifest, so that this
// one knows to which cold servers it may send.
func (c *Controller) Assigned() bool { return c.ready.Load() }

// Run probes the servers assigned to this host until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	interval := maxProbeInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var lastServers *state.Servers
	var lastManifest *manifest.Manifest
	var lastView *roster.View
	for {
		changed := c.cfg.Store.Changed()
		if c.cfg.Store.Load().Servers == lastServers {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				if c.cfg.Store.Load().Servers == lastServers {
					continue
				}
			case <-ticker.C:
			}
		}
		snapshot, v := c.cfg.Store.Load(), c.cfg.Mesh.View()
		if snapshot.Manifest != lastManifest {
			lastManifest = snapshot.Manifest
			if p := ProbeInterval(lastManifest); p != interval {
				interval = p
				ticker.Reset(interval)
			}
		}
		servers := snapshot.Servers
		if servers != lastServers || v != lastView {
			if servers != lastServers {
				c.updateDemandTable(servers)
			}
			c.assign(ctx, &wg, servers, v)
			lastServers, lastView = servers, v
		}
		c.startProbes(interval)
	}
}

// demandTable holds the demand of each service. Its content changes through the atomics
// of the demands only.
type demandTable struct {
	byService map[string]*load.Demand
	servers   map[string]int // number of servers of the local data centre, by service
}

// updateDemandTable adds the services of new servers.
func (c *Controller) updateDemandTable(servers *state.Servers) {
	next := &demandTable{byService: map[string]*load.Demand{}, servers: map[string]int{}}
	old := c.demand.Load()
	for _, s := range servers.ByName {
		if !s.Local || s.Leaving {
			continue
		}
		next.servers[s.Service]++
		if next.byService[s.Service] == nil {
			if next.byService[s.Service] = old.byService[s.Service]; next.byService[s.Service] == nil {
				next.byService[s.Service] = &load.Demand{}
			}
		}
	}
	c.demand.Store(next)
}

// countDemand counts requests to a server that ended.
func (c *Controller) countDemand(s *state.Server, n int) {
	if d := c.demand.Load().byService[s.Service]; d != nil {
		d.Add(n)
	}
}

// assign starts and stops workers so that each server that this host probes has
// one.
func (c *Controller) assign(ctx context.Context, wg *conc.WaitGroup, servers *state.Servers, v *roster.View) {
	assigned := assignedServers(servers, v)
	for name, w := range c.workers {
		if s := assigned[name]; s == nil || s.Load != w.server.Load {
			close(w.ticks)
			delete(c.workers, name)
		}
	}
	for name, s := range assigned {
		if c.workers[name] == nil {
			w := &worker{c: c, server: s, ticks: make(chan struct{}, 1)}
			if r := s.Load.Reading(); s.ReportsRunningOnly && r != nil && c.cfg.Clock.Now().Before(r.ColdUntil) {
				s.Load.SlowStart.Begin(r.At) // the host that probed it before had not completed the slow start
			}
			c.workers[name] = w
			wg.Go(func() { w.run(ctx) })
		}
	}
	c.assigned.Store(&assigned)
	c.assignLimited(servers, v)
	if c.cfg.Store.Load().Manifest != nil {
		c.ready.Store(true)
	}
}

// assignedServers returns the servers that this host probes. Only their probing host may
// send to servers that do not report a cold start, while they are cold: all hosts share
// these evenly, so that in a cold fleet each host has a server for its requests.
func assignedServers(servers *state.Servers, v *roster.View) map[string]*state.Server {
	assigned := map[string]*state.Server{}
	shared := map[string][]string{} // tasks of servers that are shared evenly, by service
	byTask := map[string]*state.Server{}
	for name, s := range servers.ByName {
		switch {
		case !s.Local || s.Leaving:
		case s.ReportsRunningOnly:
			task := TaskName(name)
			shared[s.Service] = append(shared[s.Service], task)
			byTask[task] = s
		case v.IsShardOwner(TaskName(name)):
			assigned[name] = s
		}
	}
	for _, tasks := range shared {
		slices.Sort(tasks)
		for _, task := range v.OwnedShare(tasks) {
			s := byTask[task]
			assigned[s.Name] = s
		}
	}
	return assigned
}

// startProbes starts a probe of each server that is due and whose previous probe has
// ended. shortest is the probe interval of services in high demand.
func (c *Controller) startProbes(shortest time.Duration) {
	if c.inFlight.Load() > 0 {
		c.cfg.Mesh.Flush() // some probes are late; send the readings that have arrived
	}
	now := c.cfg.Clock.Now()
	if !load.ProbesAtStart(now.Sub(0), len(c.cfg.Mesh.View().Local), len(c.workers)) {
		return
	}
	intervals := c.probeIntervals(now, shortest)
	for _, w := range c.workers {
		if !w.server.ReportsRunningOnly && !load.ProbeDue(now, w.probedAt, w.server.Load.Reading(), intervals[w.server.Service]) {
			continue
		}
		select {
		case w.ticks <- struct{}{}:
			w.probedAt = now
		default:
		}
	}
}

// probeIntervals returns the time between probes of the servers of each service.
func (c *Controller) probeIntervals(now clock.Time, shortest time.Duration) map[string]time.Duration {
	type usage struct{ occupied, slots int }
	used := map[string]usage{} // of the servers that this host probes
	for _, w := range c.workers {
		if r := w.server.Load.Reading(); r != nil {
			u := used[w.server.Service]
			used[w.server.Service] = usage{u.occupied + r.Running + r.Waiting, u.slots + r.Slots}
		}
	}
	demand := c.demand.Load()
	intervals := make(map[string]time.Duration, len(demand.byService))
	for service, d := range demand.byService {
		d.Update(now)
		u := used[service]
		utilization := float64(u.occupied) / float64(max(u.slots, 1))
		// Due at the tick that is nearest to the end of the interval.
		intervals[service] = d.ProbeInterval(demand.servers[service], utilization, shortest) - shortest/2
	}
	return intervals
}
