// Package measures owns the load readings of backend servers. One entry host of
// a data centre measures each of its servers and tells the others; a digest goes
// to the other data centres.
package measures

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/state"
)

const (
	// periodShare is the part of the shortest objective of all routes that passes
	// between two measurements of a server: a reading must be young compared with
	// the run that it decides on. At the sites' 150 ms, p95 of runs on readings up
	// to 10 ms old was 1.5 times the usual work, at 60 to 100 ms 3.3 times.
	periodShare = 0.2
	// leastPeriod and mostPeriod bound it. The speed of the users' servers changes
	// some three times a second, and they allow 60 measurements a second of each,
	// of which two hosts that disagree on the duty may use half each.
	leastPeriod, mostPeriod = 35 * time.Millisecond, 100 * time.Millisecond
	// slowPeriod is the time between measurements of a server that does not tell
	// its load: its health answer waits for a slot like a request.
	slowPeriod = time.Second
	// probeLimit is how long a health answer may take. It is sent at once by
	// servers that tell their load, and no slot is waited for.
	probeLimit = 250 * time.Millisecond
	// silentAfter is how many measurements in a row may fail before the server
	// counts as silent.
	silentAfter = 2
	// requestBytes is an upper estimate of the request of a measurement, with its
	// headers; answerBytes is one of the answer's head.
	requestBytes, answerBytes = 160, 160
	// settleTime is how long a new process sends nothing to cold servers: it
	// may not know yet which host does.
	settleTime = 3 * time.Second
)

// Mesh is what the controller needs of the mesh.
type Mesh interface {
	View() *roster.View
	Flush()
}

// Config holds what the controller needs.
type Config struct {
	Clock     clock.Clock
	Store     *state.Store
	Transport filter.Transport
	Mesh      Mesh
	Counters  *metrics.Counters
	Log       *zap.Logger
}

// Controller is the only writer of the readings, besides the answers of this
// host's own requests.
type Controller struct {
	cfg     Config
	log     *zap.Logger
	pending atomic.Int32 // measurements that run
	probes  *expvar.Int
	failed  *expvar.Int

	workers map[string]*worker // by server name; used by Run's goroutine only
	mine    atomic.Pointer[map[string]*state.Server]
	keys    atomic.Pointer[keyed]
}

// New returns a controller.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg, log: cfg.Log.Named("measures"), workers: map[string]*worker{}}
	c.probes, c.failed = cfg.Counters.Int("measures.probes"), cfg.Counters.Int("measures.probes_failed")
	c.mine.Store(&map[string]*state.Server{})
	return c
}

// Period returns the time between two measurements of a server.
func ProbeInterval(m *manifest.Manifest) time.Duration {
	period := mostPeriod
	if m == nil {
		return period
	}
	for i := range m.File.Routes {
		if o := time.Duration(m.File.Routes[i].Objective); o > 0 {
			period = min(period, time.Duration(periodShare*float64(o)))
		}
	}
	return max(period, leastPeriod)
}

// Duty names the duty of measuring a backend server in package roster.
func TaskName(server string) string { return "measure/" + server }

// SendsCold implements filters.ColdSender: only the host that measures a cold
// server sends to it. A new process waits, unless the start of the server was
// noticed since: whoever told it of that is known to it.
func (c *Controller) MaySendToCold(s *state.Server) bool {
	return (s.ReportsRunningOnly || c.cfg.Clock.Now().Sub(0) >= settleTime) && (*c.mine.Load())[s.Name] != nil
}

// Run measures until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	period := mostPeriod
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	var seen *state.Servers
	var manifestSeen *manifest.Manifest
	var view *roster.View
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		snapshot, v := c.cfg.Store.Load(), c.cfg.Mesh.View()
		if snapshot.Manifest != manifestSeen {
			manifestSeen = snapshot.Manifest
			if p := ProbeInterval(manifestSeen); p != period {
				period = p
				ticker.Reset(period)
			}
		}
		servers := snapshot.Servers
		if servers != seen || v != view {
			c.assign(ctx, &wg, servers, v)
			seen, view = servers, v
		}
		c.tick()
	}
}

// assign starts and stops workers so that they cover the servers that this host
// measures.
func (c *Controller) assign(ctx context.Context, wg *conc.WaitGroup, servers *state.Servers, v *roster.View) {
	mine := map[string]*state.Server{}
	for name, s := range servers.ByName {
		if s.Local && !s.Leaving && v.IsShardOwner(TaskName(name)) {
			mine[name] = s
		}
	}
	for name, w := range c.workers {
		if s := mine[name]; s == nil || s.Load != w.server.Load {
			close(w.ticks)
			delete(c.workers, name)
		}
	}
	for name, s := range mine {
		if c.workers[name] == nil {
			w := &worker{c: c, server: s, ticks: make(chan struct{}, 1)}
			if r := s.Load.Reading(); s.ReportsRunningOnly && r != nil && c.cfg.Clock.Now().Before(r.ColdUntil) {
				s.Load.SlowStart.Begin(r.At) // the host that measured it before was not done
			}
			c.workers[name] = w
			wg.Go(func() { w.run(ctx) })
		}
	}
	c.mine.Store(&mine)
}

// tick starts a measurement of each server whose last one has ended.
func (c *Controller) tick() {
	if c.pending.Load() > 0 {
		c.cfg.Mesh.Flush() // some are late; what is there is told
	}
	for _, w := range c.workers {
		select {
		case w.ticks <- struct{}{}:
		default:
		}
	}
}

// worker measures one server.
type worker struct {
	c      *Controller
	server *state.Server
	ticks  chan struct{}
	misses int
	next   clock.Time
	budget *load.Budget
	of     *manifest.Service // whose budget it is
}

func (w *worker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case _, ok := <-w.ticks:
			if !ok {
				return
			}
		}
		if w.c.cfg.Clock.Now().Before(w.next) {
			continue
		}
		service := w.service()
		if service == nil || service.HealthPath == "" || !w.affords(service) {
			continue
		}
		w.c.pending.Add(1)
		w.measure(ctx, service)
		if w.c.pending.Add(-1) == 0 {
			w.c.cfg.Mesh.Flush()
		}
	}
}

func (w *worker) service() *manifest.Service {
	if m := w.c.cfg.Store.Load().Manifest; m != nil {
		return m.Services[w.server.Service]
	}
	return nil
}

// affords takes a measurement from this host's part of the service's budget, if
// the service has one. Several hosts may measure the server when views differ.
func (w *worker) affords(service *manifest.Service) bool {
	if service.ProbesPerSecond <= 0 {
		w.budget = nil
		return !w.server.ReportsRunningOnly
	}
	now := w.c.cfg.Clock.Now()
	if w.of != service {
		part := 1 / float64(roster.MaxConcurrentOwners*max(len(service.BackendServers), 1))
		w.of, w.budget = service, load.NewBudget(service.ProbesPerSecond*part, service.ProbeBytesPerSecond*part, now)
	}
	return w.budget.Take(now)
}

// measure asks the server once and records the reading.
func (w *worker) measure(ctx context.Context, service *manifest.Service) {
	c, s := w.c, w.server
	c.probes.Add(1)
	res := c.cfg.Transport.Do(ctx, &filter.Attempt{
		Address: s.Address, Instance: s.Name, Probe: true, Remaining: probeLimit, Timeout: probeLimit,
		Request: &filter.Request{Method: "GET", Host: s.Address, Path: service.HealthPath},
	})
	if ctx.Err() != nil {
		return
	}
	now := c.cfg.Clock.Now()
	if w.budget != nil {
		w.budget.SpendBytes(requestBytes + len(service.HealthPath) + answerSize(&res))
	}
	answered := res.Response != nil && (s.ReportsRunningOnly || res.Load == nil || res.Load.Instance == "" || res.Load.Instance == s.Name)
	if !answered {
		c.failed.Add(1)
		if w.misses++; w.misses >= silentAfter {
			if w.misses == silentAfter {
				c.log.Warn("A backend server does not answer.", zap.String("server", s.Name), zap.Error(res.Err))
			}
			s.Load.Observe(load.Reading{At: now, Speed: 1, Silent: true})
		}
		return
	}
	if w.misses >= silentAfter {
		c.log.Info("A backend server answers again.", zap.String("server", s.Name))
	}
	w.misses = 0
	r := load.Reading{At: now, Speed: 1}
	if res.Load != nil {
		r = filters.ReadingOf(res.Load, now)
	}
	if w.budget == nil && (res.Load == nil || res.Load.Slots == 0) {
		w.next = now.Add(slowPeriod)
	}
	if s.ReportsRunningOnly && res.Load != nil {
		s.Load.SlowStart.Instance(now, res.Load.Instance)
	}
	r.Unhealthy = res.Response.Status != 200
	s.Load.Observe(r)
}

func answerSize(res *filter.Result) int {
	if res.Response == nil {
		return 0
	}
	return answerBytes + len(res.Response.Body)
}
