package filters

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// TestSilentServerIsHedged guards against an idempotent request that waits until its
// deadline for a backend server that never responds, because a hedge could not meet the
// objective or its token was in use when the response was overdue.
func TestSilentServerIsHedged(t *testing.T) {
	for name, c := range map[string]struct {
		expected, noTokenUntil time.Duration
	}{
		"objective cannot be met": {expected: 300 * time.Millisecond},
		"no token when overdue":   {expected: 100 * time.Millisecond, noTokenUntil: 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &Retry{Clock: clock.NewMonotonic(), Counters: metrics.New(), MaxTokens: func() float64 { return 1 }}
				var hedge atomic.Pointer[filter.Exchange]
				h := filter.Chain(f, handler(func(ctx context.Context, x *filter.Exchange) filter.Outcome {
					x.Grant = &filter.Grant{Server: &manifest.BackendServer{Name: fmt.Sprint("b", len(x.Tried))}, Expected: c.expected}
					if x.BeforeDispatch != nil {
						_ = x.BeforeDispatch()
					}
					if x.IsHedge {
						hedge.Store(x)
						time.Sleep(c.expected)
						return filter.Outcome{Verdict: verdict.Ran, Response: &filter.Response{Status: 200}}
					}
					<-ctx.Done()
					return filter.Unknown(verdict.ReasonCallerGone, nil)
				}))
				go func() {
					time.Sleep(c.noTokenUntil)
					f.budgets.get("s").milliTokens.Store(milliTokensPerToken)
				}()
				x := exchange(true)
				x.Route.Retries, x.Route.RetryPercent, x.Route.Objective = 1, 0, manifest.Duration(600*time.Millisecond)
				x.Arrived = f.Clock.Now()
				x.Deadline = x.Arrived.Add(4 * time.Second)
				ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
				defer cancel()
				out := h.Handle(ctx, x)
				is.Equal(out.Verdict, verdict.Ran)
				is.True(hedge.Load().MayMissObjective)
				is.True(f.Clock.Now().Sub(x.Arrived) < 2*time.Second) // half of the caller's time
			})
		})
	}
}
