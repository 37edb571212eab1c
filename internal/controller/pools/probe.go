package pools

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/anvilfront/anvilfront/internal/balance"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
)

const (
	probePath    = "/.backend/load"
	probeTimeout = 100 * time.Millisecond
	// probeRequestBytes is an upper estimate of the request line and headers.
	probeRequestBytes = 160
	// probeIdle is the wait while there is nothing to probe.
	probeIdle = 500 * time.Millisecond
)

// probe asks servers that sent no report of late for their load, while the
// lease is valid and within the pool's share of the measuring budget.
func (h *holder) probe(ctx context.Context) {
	var budget *balance.Budget
	var service *manifest.Service
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now, pub := h.c.clock.Now(), h.view.Load()
		if pub.pool != nil && pub.pool.Service != service {
			service = pub.pool.Service
			budget = newBudget(pub.pool, now)
		}
		timer.Reset(h.probeOnce(ctx, pub, budget, now))
	}
}

// newBudget returns the pool's share: its part of the service's servers. It is
// empty, so that a change of manifest adds no probes either.
func newBudget(p *manifest.Pool, now clock.Time) *balance.Budget {
	s := p.Service
	share := float64(len(p.Servers)) / float64(len(s.BackendServers))
	return balance.NewBudget(s.ProbesPerSecond*share, s.ProbeBytesPerSecond*share, now)
}

// probeOnce sends at most one probe and returns the time until the next try.
func (h *holder) probeOnce(ctx context.Context, pub *published, budget *balance.Budget, now clock.Time) time.Duration {
	if budget == nil || len(pub.backends) == 0 || !h.lease.Valid(now) || h.sealed.Load() {
		return probeIdle
	}
	oldest := 0
	for i, b := range pub.backends {
		if b.seen.Load() < pub.backends[oldest].seen.Load() {
			oldest = i
		}
	}
	b := pub.backends[oldest]
	age := time.Duration(pub.pool.Service.ReportAge)
	if seen := clock.Time(b.seen.Load()); seen > 0 && now.Sub(seen) < age {
		return max(age-now.Sub(seen), time.Millisecond)
	}
	if !budget.Take(now) {
		if wait := budget.Wait(now); wait > 0 {
			return wait
		}
		return probeIdle
	}
	b.seen.Store(int64(now))
	budget.Spent(h.send(ctx, pub.servers[oldest], b))
	return max(budget.Wait(h.c.clock.Now()), time.Millisecond)
}

// send sends one probe and returns the bytes it took. A failed probe says
// nothing about the server: its load endpoint may lag or fail on its own.
func (h *holder) send(ctx context.Context, s *manifest.BackendServer, b *backend) int {
	own := b.counter.Inflight()
	res := h.c.transport.Do(ctx, &filter.Attempt{
		Address: s.Address, Remaining: probeTimeout, Limit: probeTimeout,
		Request: &filter.Request{Method: "GET", Host: s.Address, Path: probePath},
	})
	bytes := probeRequestBytes
	h.c.count.probes.Add(1)
	if res.Response != nil {
		bytes += len(res.Response.Body)
		for _, f := range res.Response.Headers {
			bytes += len(f.Name) + len(f.Value) + 4
		}
	}
	h.c.count.probeBytes.Add(int64(bytes))
	if res.Response == nil || res.Response.Status != 200 {
		h.c.count.probeFailures.Add(1)
		return bytes
	}
	o := balance.Observation{
		Probe: true, Instance: res.Response.Get(filter.HeaderInstance),
		Load: balance.Report{Inflight: -1, Own: own},
	}
	if n, _, ok := strings.Cut(res.Response.Get(filter.HeaderLoad), "/"); ok {
		if v, err := strconv.Atoi(n); err == nil {
			o.Load.Inflight = v
		}
	}
	h.observe(b, o, 0)
	return bytes
}
