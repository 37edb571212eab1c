package feedhost

import (
	"expvar"
	"time"

	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// observe counts a finished request, and logs it if it was refused, failed or
// was sent more than once. Ordinary responses are not logged, since a line for
// each costs more than its information is worth: their latencies are in the
// histograms.
func (h *Host) observe(x *filter.Exchange, out *filter.Outcome) {
	h.counters.Verdict(out.Verdict)
	if x.Accounts {
		h.countAccount(x, out)
	}
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
	message := "Request not served."
	if served {
		message = "Request served after more than one attempt."
	}
	if ce := h.log.Named("requests").Check(zap.InfoLevel, message); ce != nil {
		ce.Write(h.logFields(x, out, took)...)
	}
}

// countAccount counts a request under a configuration with client accounts.
func (h *Host) countAccount(x *filter.Exchange, out *filter.Outcome) {
	name := ""
	if x.Account != nil {
		name = x.Account.Label()
	}
	if out.Verdict == verdict.NotRun {
		h.accounts.Refused(name, out.Reason)
	} else {
		h.accounts.Admitted(name)
	}
}

// logFields returns the inputs that decided a request, with their age or version,
// and its outcome.
func (h *Host) logFields(x *filter.Exchange, out *filter.Outcome, took time.Duration) []zap.Field {
	now := h.clock.Now()
	f := []zap.Field{
		zap.Stringer("reason", out.Reason), zap.Stringer("verdict", out.Verdict), zap.Duration("took", took),
		zap.Duration("feed_age", h.feeds.Age(now)),
	}
	if x.Revision > 0 {
		f = append(f, zap.Uint64("version", x.Revision))
	} else if m := x.Snapshot.Manifest; m != nil {
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
	if x.Account != nil {
		f = append(f, zap.String("account", x.Account.Label()))
		if x.Standing.Urgency > 0 {
			f = append(f, zap.Float64("urgency", x.Standing.Urgency))
		}
		if x.Heat > 0 {
			f = append(f, zap.Float64("heat", x.Heat))
		}
	}
	if len(x.Tried) > 0 {
		f = append(f, zap.Strings("tried", x.Tried))
	}
	if x.Crashed || out.Reason == verdict.ReasonSuspect {
		f = append(f, zap.Uint64("fingerprint", x.Fingerprint))
	}
	if estimate := &x.PlacementEstimate; estimate.Server != "" {
		f = append(f, zap.String("best", estimate.Server), zap.Duration("expected", estimate.Expected), zap.Float64("running", estimate.Running),
			zap.Float64("waiting", estimate.Waiting), zap.Float64("speed", estimate.Speed), zap.Duration("reading_age", estimate.Age))
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

// publishGauges publishes the age of the feed, the revision of the configuration,
// the number of known hosts and the number of other hosts that are alive in the
// local data centre.
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
