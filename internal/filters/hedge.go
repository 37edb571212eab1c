package filters

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

const (
	// hedgeQuantile is the share of a service's attempts that end before a
	// second copy is sent.
	hedgeQuantile = 0.95
	// hedgeMin is the shortest wait before a second copy is sent.
	hedgeMin = 2 * time.Millisecond
)

// hedge holds the budget of second copies and the latency estimate of a service.
type hedge struct {
	budget
	estimate atomic.Int64 // nanoseconds; 0 until the first observation
}

// observe moves the estimate towards hedgeQuantile of the observed times: up
// by a large step when d is above it, down by a small one when below. A lost
// update between two threads is one lost observation.
func (h *hedge) observe(d time.Duration) {
	old := h.estimate.Load()
	if old == 0 {
		h.estimate.CompareAndSwap(0, int64(d))
		return
	}
	step := old / 20
	if int64(d) > old {
		h.estimate.CompareAndSwap(old, old+int64(float64(step)*hedgeQuantile)+1)
	} else {
		h.estimate.CompareAndSwap(old, max(1, old-int64(float64(step)*(1-hedgeQuantile))))
	}
}

// wait returns how long to wait before a second copy is sent. The margin above
// the estimate keeps copies from being sent where all times are alike.
func (h *hedge) wait() time.Duration {
	estimate := time.Duration(h.estimate.Load())
	return max(estimate+estimate/4, hedgeMin)
}

// attempt runs the rest of the chain once, with a second copy for an idempotent
// request that takes long, if the service allows hedging.
func (f *Retry) attempt(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	// A request that crashed a backend server gets one repetition, not two.
	if f.MaxTokens != nil && x.Route.Idempotent && !x.Crashed && len(x.Tried) < x.Route.Retries {
		after := func(g *filter.Grant) time.Duration { return HedgeDelay(x.Route, g, f.Clock.Now().Sub(x.Arrived)) }
		return f.race(ctx, x, next, never, after, f.budgets.get(x.Service.Name).spend)
	}
	if x.Service.HedgePercent <= 0 || !x.Route.Idempotent || x.Nested || x.Crashed {
		return next.Handle(ctx, x)
	}
	h := f.hedges.get(x.Service.Name)
	h.earn(x.Service.HedgePercent, budgetBurst)
	start := f.Clock.Now()
	out := f.race(ctx, x, next, h.wait(), func(*filter.Grant) time.Duration { return 0 }, func() bool {
		return h.estimate.Load() != 0 && h.spend()
	})
	if out.Verdict == verdict.Ran {
		h.observe(f.Clock.Now().Sub(start))
	}
	return out
}

// never is longer than any request runs.
const never = time.Hour

const (
	// hedgeOverdue is the multiple of its expected time after which a request is
	// taken to run on a server that became slow. Runs on fresh readings stay
	// below it in nine of ten cases.
	hedgeOverdue = 1.6
	// hedgeChance is the multiple of the expected time that must be left of the
	// objective for a second copy to be worth its load.
	hedgeChance = 1.0
)

// HedgeAfter returns how long after dispatch a second copy is sent: when the
// first is overdue and a second one could still meet the objective. age is that
// of the request. 0 means never.
func HedgeDelay(route *manifest.Route, g *filter.Grant, age time.Duration) time.Duration {
	if g == nil || g.Expected <= 0 || route.Objective <= 0 {
		return 0
	}
	left := time.Duration(route.Objective) - age
	overdue := time.Duration(hedgeOverdue * float64(g.Expected))
	if left-overdue < time.Duration(hedgeChance*float64(g.Expected)) {
		return 0
	}
	return overdue
}

type finish struct {
	x   *filter.Exchange
	out filter.Outcome
}

// race runs one copy, and a second one when the first takes long: after wait, or
// at the time after dispatch that after names, if allow agrees. The first
// complete answer wins and the other copy is cancelled.
func (f *Retry) race(ctx context.Context, x *filter.Exchange, next filter.Handler, wait time.Duration, after func(*filter.Grant) time.Duration, allow func() bool) filter.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan finish, 2)
	var sentTo atomic.Pointer[string] // backend server of the first copy, once it is dispatched
	dispatched := make(chan time.Duration, 1)
	first := *x
	first.BeforeDispatch = func() error {
		sentTo.Store(&first.Grant.Server.Name)
		if d := after(first.Grant); d > 0 {
			dispatched <- d
		}
		if x.BeforeDispatch != nil {
			return x.BeforeDispatch()
		}
		return nil
	}
	go runCopy(ctx, &first, next, results)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	running := 1
	var last, earlier finish
	for running > 0 {
		select {
		case last = <-results:
			if earlier.x != nil {
				last.out = combine(earlier.out, last.out)
			}
			earlier = last
			running--
			x.Crashed, x.CrashRetry = x.Crashed || last.x.Crashed, x.CrashRetry || last.x.CrashRetry
			if last.out.Verdict == verdict.Ran {
				x.Tried, x.PlacementEstimate = last.x.Tried, last.x.PlacementEstimate
				return last.out
			}
		case d := <-dispatched:
			timer.Reset(d)
		case <-timer.C:
			server := sentTo.Load()
			if server == nil || !allow() {
				continue
			}
			second := *x
			second.Grant, second.IsHedge = nil, true
			second.Tried = append(append([]string(nil), x.Tried...), *server)
			f.Counters.Retry(verdict.ReasonHedge)
			running++
			go runCopy(ctx, &second, next, results)
		}
	}
	x.Tried, x.PlacementEstimate = last.x.Tried, last.x.PlacementEstimate
	return last.out
}

func runCopy(ctx context.Context, x *filter.Exchange, next filter.Handler, results chan<- finish) {
	done := finish{x: x, out: filter.Unknown(verdict.ReasonInternal, nil)}
	defer func() {
		if p := recover(); p != nil {
			done.out.Cause = errors.Errorf("panic: %v", p)
		}
		results <- done
	}()
	done.out = next.Handle(ctx, x)
}
