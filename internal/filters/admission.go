package filters

import (
	"context"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Admission asks the holder of the pool's lease for a slot.
type Admission struct {
	Clock    clock.Clock
	Admitter filter.Admitter
}

// Name implements filter.Filter.
func (*Admission) Name() string { return "admission" }

// Handle implements filter.Filter.
func (a *Admission) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	remaining := x.Deadline.Sub(a.Clock.Now())
	if remaining <= 0 {
		return filter.Refuse(verdict.ReasonDeadline, nil)
	}
	g, err := a.Admitter.Acquire(ctx, x.Pool, filter.Ask{
		Priority: x.Route.Priority, Route: x.Route.Name, Idempotent: x.Route.Idempotent,
		Remaining: remaining, RunLimit: time.Duration(x.Service.RunLimit), Avoid: x.Tried,
	})
	if err != nil {
		e := verdict.From(err)
		return filter.Refuse(e.Reason, e.Cause)
	}
	x.Grant = g
	return next.Handle(ctx, x)
}
