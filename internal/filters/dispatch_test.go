package filters

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// fakePorts records what Dispatch passes to the transport and the placement.
type fakePorts struct {
	facts    verdict.Facts
	attempt  *filter.Attempt
	ctx      context.Context
	reports  []filter.Report
	response *filter.Response
}

func (p *fakePorts) Release(_ *filter.Grant, r filter.Report) { p.reports = append(p.reports, r) }

func (p *fakePorts) Do(ctx context.Context, a *filter.Attempt) filter.Result {
	p.attempt, p.ctx = a, ctx
	if err := a.BeforeFirstByte(); err != nil {
		return filter.Result{Facts: verdict.Facts{Connected: true}, Err: err}
	}
	return filter.Result{Facts: p.facts, Response: p.response, ServiceTime: time.Millisecond}
}

// TestDispatchChecks guards against a first byte that is sent when the choice of
// the server or the state of this process is stale or the deadline has passed, and
// against a grant that is not released.
func TestDispatchChecks(t *testing.T) {
	complete := verdict.Facts{Connected: true, FirstByte: true, Written: true, ResponseState: verdict.ResponseComplete}
	cases := []struct {
		name    string
		change  func(d *Dispatch, x *filter.Exchange)
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		{"sent", func(*Dispatch, *filter.Exchange) {}, verdict.Ran, verdict.ReasonNone},
		{"paused", func(d *Dispatch, _ *filter.Exchange) { d.Fresh = func() bool { return false } }, verdict.NotRun, verdict.ReasonResync},
		{"grant expired", func(_ *Dispatch, x *filter.Exchange) { x.Grant.StartBy = 5 }, verdict.NotRun, verdict.ReasonStartExpired},
		{"deadline passed", func(_ *Dispatch, x *filter.Exchange) { x.Deadline = 5 }, verdict.NotRun, verdict.ReasonDeadline},
		{"not recorded", func(_ *Dispatch, x *filter.Exchange) {
			x.BeforeDispatch = func() error { return verdict.New(verdict.NotRun, verdict.ReasonLedgerFull, nil) }
		}, verdict.NotRun, verdict.ReasonLedgerFull},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clk := &clock.Manual{}
			clk.Set(5)
			p := &fakePorts{facts: complete, response: &filter.Response{Status: 200, Headers: []filter.Header{{Name: filter.HeaderLoad, Value: "3/6"}}}}
			d := &Dispatch{Clock: clk, Placement: p, Transport: p, Fresh: func() bool { return true }}
			x := exchange(false)
			x.Grant = &filter.Grant{StartBy: 6, Server: &manifest.BackendServer{Name: "b1"}}
			c.change(d, x)
			out := d.Handle(context.Background(), x, nil)
			is.Equal(out.Verdict, c.verdict)
			is.Equal(out.Reason, c.reason)
			is.Equal(len(p.reports), 1)
			is.Equal(x.Tried, []string{"b1"})
		})
	}
}

// TestDispatchTimeout guards against an order that is cancelled by its caller or
// ended at the caller's deadline although its response is kept, and against an
// idempotent request that runs beyond its caller's context and deadline.
func TestDispatchTimeout(t *testing.T) {
	for _, c := range []struct {
		idempotent, keyed, cancelled bool
		limit                        time.Duration
	}{
		{true, false, true, time.Second},
		{false, false, false, time.Second},
		{false, true, false, 3 * time.Second},
	} {
		is := is.New(t)
		p := &fakePorts{facts: verdict.Facts{Connected: true, FirstByte: true, Written: true, TimedOut: true}}
		d := &Dispatch{Clock: &clock.Manual{}, Placement: p, Transport: p, Fresh: func() bool { return true }}
		x := exchange(c.idempotent)
		x.Service.RunLimit = manifest.Duration(3 * time.Second)
		if c.keyed {
			x.Key = "key"
		}
		x.Grant = &filter.Grant{StartBy: 1, Server: &manifest.BackendServer{}}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		out := d.Handle(ctx, x, nil)
		is.Equal(out.Verdict, verdict.MayHaveRun)
		is.Equal(p.ctx.Err() != nil, c.cancelled)
		is.Equal(p.attempt.Timeout, c.limit)
		is.Equal(p.attempt.Remaining, time.Second)
		is.True(p.reports[0].Failed)
	}
}

type panickingTransport struct{ fakePorts }

func (*panickingTransport) Do(context.Context, *filter.Attempt) filter.Result {
	panic("transport fault")
}

// TestDispatchPanicReleases guards against a request that counts as in flight
// forever after its attempt panicked: the front end and the order controller
// recover from the panic and go on.
func TestDispatchPanicReleases(t *testing.T) {
	is := is.New(t)
	p := &panickingTransport{}
	d := &Dispatch{Clock: &clock.Manual{}, Placement: p, Transport: p, Fresh: func() bool { return true }}
	x := exchange(true)
	x.Service.RunLimit = manifest.Duration(time.Second)
	x.Grant = &filter.Grant{StartBy: 1, Server: &manifest.BackendServer{}}
	func() {
		defer func() { is.True(recover() != nil) }()
		d.Handle(context.Background(), x, nil)
	}()
	is.Equal(len(p.reports), 1)
	is.Equal(p.reports[0].Verdict, verdict.MayHaveRun)
}

// TestDispatchConnectionLimit guards against a healthy backend server that counts
// as failing because this process's share of its connections is in use.
func TestDispatchConnectionLimit(t *testing.T) {
	is := is.New(t)
	p := &fakePorts{facts: verdict.Facts{ConnectionLimitReached: true}}
	d := &Dispatch{Clock: &clock.Manual{}, Placement: p, Transport: p, Fresh: func() bool { return true }}
	x := exchange(true)
	x.Grant = &filter.Grant{StartBy: 1, Server: &manifest.BackendServer{}}
	out := d.Handle(context.Background(), x, nil)
	is.Equal(out.Verdict, verdict.NotRun)
	is.Equal(p.reports[0].Reason, verdict.ReasonConnections)
	is.True(!p.reports[0].Failed)
	_, retry := decideRetry(retryInput{Verdict: out.Verdict, Reason: out.Reason, Nested: true, MaxRetries: 1, Remaining: time.Second}, random)
	is.True(retry) // another server may have connections left
}
