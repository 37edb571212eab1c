package filters

import (
	"context"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Dispatch sends the request to the backend server of the grant, determines the
// verdict and releases the grant.
type Dispatch struct {
	Clock     clock.Clock
	Placement filter.Releaser
	Transport filter.Transport
	// Fresh reports whether this process may send requests. It is false after a
	// pause of the process, until its state is refreshed.
	Fresh func() bool
}

// Name implements filter.Filter.
func (*Dispatch) Name() string { return "dispatch" }

// Handle implements filter.Filter. It is the last filter and ignores next.
func (d *Dispatch) Handle(ctx context.Context, x *filter.Exchange, _ filter.Handler) filter.Outcome {
	g := x.Grant
	x.Tried = append(x.Tried, g.Server.Name)
	timeout := min(x.Deadline.Sub(d.Clock.Now()), time.Duration(x.Service.RunLimit))
	if !x.Route.Idempotent {
		// An order goes on when its caller disconnects. The response to a keyed
		// order is kept for its caller, also when it arrives after the deadline.
		ctx = context.WithoutCancel(ctx)
		if x.Key != "" {
			timeout = time.Duration(x.Service.RunLimit)
		}
	}
	released := false
	defer func() {
		if !released { // after a panic: a grant does not expire, so it must be released here
			d.Placement.Release(g, filter.Report{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonInternal})
		}
	}()
	refusal := verdict.ReasonNone
	res := d.Transport.Do(ctx, &filter.Attempt{
		Address: g.Server.Address, Instance: g.Server.Name, Request: x.Request,
		Remaining: x.Deadline.Sub(d.Clock.Now()), Timeout: timeout, Cleanup: x.Cleanup,
		Accounts: x.Accounts, Account: x.AccountName(),
		BeforeFirstByte: func() error {
			var err error
			refusal, err = d.checkBeforeSend(x)
			return err
		},
	})
	v, reason := verdict.Decide(res.Facts)
	if refusal != verdict.ReasonNone {
		reason = refusal
	}
	released = true
	if res.Response != nil && res.Response.Rest != nil {
		x.Cleanup.Add(func() { d.endForwarding(g, report(v, reason, &res), res.Response.Rest) })
	} else {
		d.Placement.Release(g, report(v, reason, &res))
	}
	out := filter.Outcome{Verdict: v, Reason: reason, Cause: res.Err, BackendTime: res.ServiceTime, Crashed: mayHaveCrashed(v, reason, &res)}
	if v == verdict.Ran {
		out.Response = res.Response
		if x.Route.RetryErrors && res.Response.Status >= 500 {
			out.Reason = verdict.ReasonBackendError
		}
	}
	return out
}

// endForwarding releases the grant of a response that was forwarded while it arrived.
func (d *Dispatch) endForwarding(g *filter.Grant, r filter.Report, rest filter.Body) {
	rest.Close()
	r.Failed = r.Failed || rest.Err() != nil
	d.Placement.Release(g, r)
}

// checkBeforeSend runs right before the first byte is sent. It returns the reason
// for which the request must not be sent, or ReasonNone.
func (d *Dispatch) checkBeforeSend(x *filter.Exchange) (verdict.Reason, error) {
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

// mayHaveCrashed reports whether the request may have crashed the backend server.
// A response that this process truncated does not count.
func mayHaveCrashed(v verdict.Verdict, reason verdict.Reason, res *filter.Result) bool {
	connectionLost := reason == verdict.ReasonAnswerCut || reason == verdict.ReasonWriteFailed
	return res.Reset && v == verdict.MayHaveRun && connectionLost
}

func refuseDispatch(r verdict.Reason) (verdict.Reason, error) {
	return r, verdict.New(verdict.NotRun, r, nil)
}

func report(v verdict.Verdict, reason verdict.Reason, res *filter.Result) filter.Report {
	r := filter.Report{Verdict: v, Reason: reason, ServiceTime: res.ServiceTime, Crashed: res.Reset, Load: res.Load, RetryAfter: res.RetryAfter}
	r.Failed = v == verdict.MayHaveRun && reason != verdict.ReasonCallerGone || reason == verdict.ReasonConnectFailed
	if res.Response != nil {
		r.Failed = r.Failed || res.Response.Status >= 500 && v == verdict.Ran
	}
	return r
}
