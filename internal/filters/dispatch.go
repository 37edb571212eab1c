package filters

import (
	"context"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Dispatch sends the request to the backend server of the grant, decides the
// verdict and releases the grant.
type Dispatch struct {
	Clock     clock.Clock
	Placement filter.Releaser
	Transport filter.Transport
	// Fresh reports whether this process may send new work. It is false after a
	// pause, until the state is refreshed.
	Fresh func() bool
}

// Name implements filter.Filter.
func (*Dispatch) Name() string { return "dispatch" }

// Handle implements filter.Filter. It is the last filter and ignores next.
func (d *Dispatch) Handle(ctx context.Context, x *filter.Exchange, _ filter.Handler) filter.Outcome {
	g := x.Grant
	x.Tried = append(x.Tried, g.Server.Name)
	limit := min(x.Deadline.Sub(d.Clock.Now()), time.Duration(x.Service.RunLimit))
	if !x.Route.Idempotent {
		// A caller that goes away does not cancel an order. The answer of a
		// keyed order is kept for its caller also after the deadline.
		ctx = context.WithoutCancel(ctx)
		if x.Key != "" {
			limit = time.Duration(x.Service.RunLimit)
		}
	}
	released := false
	defer func() {
		if !released { // a panic: a grant of this process has no expiry
			d.Placement.Release(g, filter.Report{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonInternal})
		}
	}()
	refusal := verdict.ReasonNone
	res := d.Transport.Do(ctx, &filter.Attempt{
		Address: g.Server.Address, Instance: g.Server.Name, Request: x.Request,
		Remaining: x.Deadline.Sub(d.Clock.Now()), Timeout: limit,
		BeforeFirstByte: func() error {
			var err error
			refusal, err = d.check(x)
			return err
		},
	})
	v, reason := verdict.Decide(res.Facts)
	if refusal != verdict.ReasonNone {
		reason = refusal
	}
	released = true
	d.Placement.Release(g, report(v, reason, &res))
	out := filter.Outcome{Verdict: v, Reason: reason, Cause: res.Err, BackendTime: res.ServiceTime, Crashed: crashed(v, reason, &res)}
	if v == verdict.Ran {
		out.Response = res.Response
		if x.Route.RetryErrors && res.Response.Status >= 500 {
			out.Reason = verdict.ReasonBackendError
		}
	}
	return out
}

// check runs right before the first byte.
func (d *Dispatch) check(x *filter.Exchange) (verdict.Reason, error) {
	now := d.Clock.Now()
	switch {
	case !d.Fresh():
		return refuseDispatch(verdict.ReasonResync)
	case !now.Before(x.Grant.StartBy):
		return refuseDispatch(verdict.ReasonStartExpired)
	case !now.Before(x.Deadline):
		return refuseDispatch(verdict.ReasonDeadline)
	case x.BeforeDispatch != nil:
		if err := x.BeforeDispatch(); err != nil {
			return verdict.From(err).Reason, err
		}
	}
	return verdict.ReasonNone, nil
}

// crashed reports whether the backend server may have died of the request. An
// answer that was cut by this side does not count.
func crashed(v verdict.Verdict, reason verdict.Reason, res *filter.Result) bool {
	cut := reason == verdict.ReasonAnswerCut || reason == verdict.ReasonWriteFailed
	return res.Reset && v == verdict.MayHaveRun && cut
}

func refuseDispatch(r verdict.Reason) (verdict.Reason, error) {
	return r, verdict.New(verdict.NotRun, r, nil)
}

func report(v verdict.Verdict, reason verdict.Reason, res *filter.Result) filter.Report {
	r := filter.Report{Verdict: v, Reason: reason, ServiceTime: res.ServiceTime, Crashed: res.Reset, Load: res.Load}
	r.Failed = v == verdict.MayHaveRun && reason != verdict.ReasonCallerGone || reason == verdict.ReasonConnectFailed
	if res.Response != nil {
		r.Failed = r.Failed || res.Response.Status >= 500 && v == verdict.Ran
	}
	return r
}
