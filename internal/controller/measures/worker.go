package measures

import (
	"context"

	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/state"
)

// worker probes one server.
type worker struct {
	c             *Controller
	server        *state.Server
	ticks         chan struct{}
	probedAt      clock.Time // time of the last tick; used by the controller's goroutine only
	failedProbes  int
	nextProbe     clock.Time
	budget        *load.Budget
	budgetService *manifest.Service // service that budget was made for
	rateLimit     float64           // in the last response, in requests per second
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
		if now := w.c.cfg.Clock.Now(); now.Before(w.nextProbe) || w.server.Load.Declined(now) {
			continue
		}
		service := w.service()
		if service == nil || service.HealthPath == "" || !w.takeFromBudget(service) {
			continue
		}
		w.c.inFlight.Add(1)
		if p := panics.Try(func() { w.probe(ctx, service) }); p != nil {
			w.c.failed.Add(1)
			w.c.log.Error("A probe panicked. The server is probed again.", zap.String("server", w.server.Name), zap.Error(p.AsError()))
		}
		if w.c.inFlight.Add(-1) == 0 {
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

// takeFromBudget takes a probe from this host's share of the service's budget, if
// the service has one. The share allows for several hosts that probe the server
// while their views differ.
func (w *worker) takeFromBudget(service *manifest.Service) bool {
	if service.ProbesPerSecond <= 0 {
		w.budget = nil
		return !w.server.ReportsRunningOnly
	}
	now := w.c.cfg.Clock.Now()
	if w.budgetService != service {
		share := 1 / float64(roster.MaxConcurrentOwners*max(len(service.BackendServers), 1))
		w.budgetService, w.budget = service, load.NewBudget(service.ProbesPerSecond*share, service.ProbeBytesPerSecond*share, now)
	}
	return w.budget.Take(now)
}

// probe queries the server once and records the reading.
func (w *worker) probe(ctx context.Context, service *manifest.Service) {
	c, s := w.c, w.server
	c.probes.Add(1)
	res := c.cfg.Transport.Do(ctx, &filter.Attempt{
		Address: s.Address, Instance: s.Name, Probe: true, Remaining: probeTimeout, Timeout: probeTimeout,
		Request: &filter.Request{Method: "GET", Host: s.Address, Path: service.HealthPath},
	})
	if ctx.Err() != nil {
		return
	}
	now := c.cfg.Clock.Now()
	if res.RetryAfter > 0 {
		s.Load.DeclineUntil(now.Add(res.RetryAfter))
	}
	if w.budget != nil {
		w.budget.SpendBytes(requestBytes + len(service.HealthPath) + responseSize(&res))
	}
	valid := res.Response != nil && (s.ReportsRunningOnly || res.Load == nil || res.Load.Instance == "" || res.Load.Instance == s.Name)
	if !valid {
		c.failed.Add(1)
		if w.failedProbes++; w.failedProbes >= silentThreshold {
			if w.failedProbes == silentThreshold {
				c.log.Warn("Backend server did not respond to probes; no new requests are sent to it.", zap.String("server", s.Name), zap.Error(res.Err))
			}
			s.Load.Observe(load.Reading{At: now, Speed: 1, Silent: true})
		}
		return
	}
	if w.failedProbes >= silentThreshold {
		c.log.Info("Backend server responds to probes again.", zap.String("server", s.Name))
	}
	w.failedProbes = 0
	r := load.Reading{At: now, Speed: 1}
	if res.Load != nil {
		r = filters.ReadingOf(res.Load, now)
	}
	if w.budget == nil && (res.Load == nil || res.Load.Slots == 0) {
		w.nextProbe = now.Add(noLoadReportInterval)
	}
	if s.ReportsRunningOnly && res.Load != nil {
		s.Load.SlowStart.ObserveInstance(now, res.Load.Instance)
	}
	r.Unhealthy = res.Response.Status != 200
	if r.RateLimit != w.rateLimit {
		c.log.Info("The rate limit that a backend server names has changed; 0 is no limit.", zap.String("server", s.Name),
			zap.Float64("limit", r.RateLimit), zap.Float64("previous_limit", w.rateLimit))
		w.rateLimit = r.RateLimit
	}
	s.Load.Observe(r)
}

func responseSize(res *filter.Result) int {
	if res.Response == nil {
		return 0
	}
	return responseHeadBytes + len(res.Response.Body)
}
