package feedhost

import (
	"expvar"
	"time"

	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// observe counts a finished request and logs one that was refused, failed or
// sent more than once. A line for each ordinary answer would cost more than it
// tells: their latencies are in the histograms.
func (h *Host) observe(x *filter.Exchange, out *filter.Outcome) {
	h.counters.Verdict(out.Verdict)
	took := h.clock.Now().Sub(x.Arrived)
	served := out.Response != nil && out.Response.Status < 500
	if served && out.Verdict == verdict.Ran && x.Service != nil {
		h.latencies.Observe("service."+x.Service.Name, out.BackendTime)
		h.latencies.Observe("added", took-out.BackendTime)
		h.latencies.Observe("reading_age", x.PlacementEstimate.Age)
	}
	if !served {
		h.counters.Refusal(out.Reason)
		h.latencies.Observe("unserved", took)
	}
	if served && len(x.Tried) <= 1 {
		return
	}
	message := "Not served."
	if served {
		message = "Served after more than one attempt."
	}
	if ce := h.log.Named("requests").Check(zap.InfoLevel, message); ce != nil {
		ce.Write(h.fields(x, out, took)...)
	}
}

// fields are what decided a request, with its age or version, and the outcome.
func (h *Host) fields(x *filter.Exchange, out *filter.Outcome, took time.Duration) []zap.Field {
	now := h.clock.Now()
	f := []zap.Field{
		zap.Stringer("reason", out.Reason), zap.Stringer("verdict", out.Verdict), zap.Duration("took", took),
		zap.Duration("feed_age", h.feeds.Age(now)),
	}
	if m := x.Snapshot.Manifest; m != nil {
		f = append(f, zap.Uint64("version", m.File.Revision))
	}
	if x.Request != nil {
		f = append(f, zap.String("id", x.Request.ID))
	}
	if x.Route != nil {
		f = append(f, zap.String("route", x.Route.Name), zap.Duration("left", x.Deadline.Sub(now)))
	}
	if x.Service != nil {
		f = append(f, zap.String("service", x.Service.Name))
	}
	if len(x.Tried) > 0 {
		f = append(f, zap.Strings("tried", x.Tried))
	}
	if b := &x.PlacementEstimate; b.Server != "" {
		f = append(f, zap.String("best", b.Server), zap.Duration("expected", b.Expected), zap.Float64("running", b.Running),
			zap.Float64("waiting", b.Waiting), zap.Float64("speed", b.Speed), zap.Duration("reading_age", b.Age))
	}
	if out.RetryAfter > 0 {
		f = append(f, zap.Duration("retry_after", out.RetryAfter))
	}
	if out.Response != nil {
		f = append(f, zap.Int("status", out.Response.Status))
	}
	if out.Cause != nil {
		f = append(f, zap.String("cause", out.Cause.Error()))
	}
	return f
}

// publishGauges publishes the ages of what the host believes.
func (h *Host) publishGauges() {
	h.counters.Set("feeds.age_ms", expvar.Func(func() any { return h.feeds.Age(h.clock.Now()).Milliseconds() }))
	h.counters.Set("feeds.version", expvar.Func(func() any {
		if m := h.store.Load().Manifest; m != nil {
			return int64(m.File.Revision)
		}
		return int64(0)
	}))
	h.counters.Set("mesh.hosts_known", expvar.Func(func() any { return int64(h.mesh.View().Size()) }))
	h.counters.Set("mesh.hosts_alive_here", expvar.Func(func() any { return int64(len(h.mesh.View().Local)) }))
}
