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

// Retry runs the rest of the chain again after a failed attempt. The verdict and
// reason of the attempt, the route, the deadline and the retry budget decide.
type Retry struct {
	Clock    clock.Clock
	Counters *metrics.Counters
	// MaxTokens returns how many retries and hedges of a service this host may
	// save up, where the hosts share one budget per service. If it is nil,
	// budgets are per route and host.
	MaxTokens func() float64
	budgets   cowMap[budget] // by route name, or by service name with MaxTokens
	hedges    cowMap[hedge]  // by service name
}

// Name implements filter.Filter.
func (*Retry) Name() string { return "retry" }

// Handle implements filter.Filter.
func (f *Retry) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	b := f.budget(x)
	var out filter.Outcome
	for retries := 0; ; retries++ {
		last := f.attempt(ctx, x, next)
		if retries == 0 {
			out = last
		} else {
			out = combineOutcomes(out, last)
		}
		if last.Verdict == verdict.Ran && last.Reason != verdict.ReasonBackendError {
			return out
		}
		wait, retry := decideRetry(retryInput{
			Verdict: last.Verdict, Reason: last.Reason, Idempotent: x.Route.Idempotent, Nested: x.Nested,
			RetryErrors: x.Route.RetryErrors,
			MaxRetries:  x.Route.Retries, RetriesDone: max(retries, len(x.Tried)-1), Remaining: x.Deadline.Sub(f.Clock.Now()),
		}, random)
		if !retry {
			return out
		}
		if f.chargesBudget(last.Reason) && !b.tryWithdraw() {
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

// budget deposits the request's fraction of a token and returns its budget.
func (f *Retry) budget(x *filter.Exchange) *budget {
	if f.MaxTokens == nil {
		b := f.budgets.get(x.Route.Name)
		b.deposit(x.Route.RetryPercent, budgetBurst)
		return b
	}
	b := f.budgets.get(x.Service.Name)
	b.deposit(x.Route.RetryPercent, f.MaxTokens())
	return b
}

// chargesBudget reports whether a retry after reason r takes a token. A budget
// shared by all hosts limits the load on backend servers, so attempts that ended
// before dispatch are free there.
func (f *Retry) chargesBudget(r verdict.Reason) bool { return f.MaxTokens == nil || !notDispatched[r] }

// combineOutcomes returns the outcome of a request after two of its attempts.
// The refusal of a later attempt does not hide that an earlier one may have run.
func combineOutcomes(earlier, later filter.Outcome) filter.Outcome {
	if earlier.Verdict == verdict.Ran && later.Verdict != verdict.Ran {
		return earlier // the server's error response is more specific than a local failure
	}
	if earlier.Verdict == verdict.MayHaveRun && later.Verdict == verdict.NotRun {
		earlier.Cause = later.Cause
		return earlier
	}
	return later
}

// random uses the runtime's per-thread generators, which need no lock.
var random = rand.New(globalSource{})

type globalSource struct{}

// Uint64 implements rand.Source.
func (globalSource) Uint64() uint64 { return rand.Uint64() }

// sleep waits for d. It returns false if ctx ends first.
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
