package filters

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Retry runs the rest of the chain again, by verdict, route and budget only.
type Retry struct {
	Clock    clock.Clock
	Counters *metrics.Counters
	// Share returns how many repeated sends of a service this host may save up,
	// where one budget of a service holds for all hosts. nil: budgets are per
	// route and host.
	MaxTokens func() float64
	budgets   table[budget] // by route name, or by service name with Share
	hedges    table[hedge]  // by service name
}

// Name implements filter.Filter.
func (*Retry) Name() string { return "retry" }

// Handle implements filter.Filter.
func (f *Retry) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	b := f.budget(x)
	var out filter.Outcome
	for done := 0; ; done++ {
		last := f.attempt(ctx, x, next)
		if done == 0 {
			out = last
		} else {
			out = combine(out, last)
		}
		if last.Verdict == verdict.Ran && last.Reason != verdict.ReasonBackendError {
			return out
		}
		wait, again := decideRetry(retryInput{
			Verdict: last.Verdict, Reason: last.Reason, Idempotent: x.Route.Idempotent, Nested: x.Nested,
			RetryErrors: x.Route.RetryErrors,
			Allowed:     x.Route.Retries, Done: done, Left: x.Deadline.Sub(f.Clock.Now()),
		}, random)
		if !again {
			return out
		}
		if f.costs(last.Reason) && !b.spend() {
			f.Counters.RetryDenied()
			return out
		}
		if !sleep(ctx, wait) {
			return out
		}
		f.Counters.Retry(last.Reason)
		x.Grant = nil
	}
}

// budget returns the budget of a request after the request has added to it.
func (f *Retry) budget(x *filter.Exchange) *budget {
	if f.MaxTokens == nil {
		b := f.budgets.get(x.Route.Name)
		b.earn(x.Route.RetryPercent, budgetBurst)
		return b
	}
	b := f.budgets.get(x.Service.Name)
	b.earn(x.Route.RetryPercent, f.MaxTokens())
	return b
}

// costs reports whether a retry after the reason draws on the budget. Where the
// budget bounds what arrives at backend servers, attempts that never left cost
// nothing.
func (f *Retry) costs(r verdict.Reason) bool { return f.MaxTokens == nil || !unsent[r] }

// combine returns what is known of a request after two of its attempts. A later
// attempt that was refused does not undo an earlier one that may have run.
func combine(earlier, later filter.Outcome) filter.Outcome {
	if earlier.Verdict == verdict.Ran && later.Verdict != verdict.Ran {
		return earlier // the server's own failure says more than ours
	}
	if earlier.Verdict == verdict.MayHaveRun && later.Verdict == verdict.NotRun {
		earlier.Cause = later.Cause
		return earlier
	}
	return later
}

// random draws from the runtime's per-thread generators, which need no lock.
var random = rand.New(source{})

type source struct{}

// Uint64 implements rand.Source.
func (source) Uint64() uint64 { return rand.Uint64() }

// sleep waits for d and returns false when ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
