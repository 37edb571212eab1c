package filters

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

const (
	// hedgeQuantile is the share of a service's attempts that complete before a
	// hedge is sent.
	hedgeQuantile = 0.95
	// hedgeMin is the shortest delay before a hedge.
	hedgeMin = 2 * time.Millisecond
)

// hedge holds the hedge budget and the latency estimate of a service.
type hedge struct {
	budget
	estimate atomic.Int64 // nanoseconds; 0 until the first observation
}

// observe moves the estimate towards the hedgeQuantile of the observed latencies:
// up by a large step if d is above it, down by a small step if d is below. When
// two goroutines update at the same time, one observation is lost.
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

// delay returns how long to wait before a hedge. The margin above the estimate
// avoids hedges where all latencies are nearly equal.
func (h *hedge) delay() time.Duration {
	estimate := time.Duration(h.estimate.Load())
	return max(estimate+estimate/4, hedgeMin)
}

// attempt runs the rest of the chain once. It hedges a slow idempotent request
// if the service allows it.
func (f *Retry) attempt(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	// A request that crashed a backend server is sent again once, not twice, so it
	// is not hedged.
	if f.MaxTokens != nil && x.Route.Idempotent && !x.Crashed && len(x.Tried) < x.Route.Retries {
		delaysAfterDispatch := func(g *filter.Grant) hedgeDelays {
			now := f.Clock.Now()
			return hedgeDelays{HedgeDelay(x.Route, g, now.Sub(x.Arrived)), SilenceDelay(g, now.Sub(x.Arrived), x.Deadline.Sub(now))}
		}
		return f.race(ctx, x, next, untilDispatch, delaysAfterDispatch, f.budgets.get(x.Service.Name).tryWithdraw)
	}
	if x.Service.HedgePercent <= 0 || !x.Route.Idempotent || x.Nested || x.Crashed {
		return next.Handle(ctx, x)
	}
	h := f.hedges.get(x.Service.Name)
	h.deposit(x.Service.HedgePercent, budgetBurst)
	start := f.Clock.Now()
	out := f.race(ctx, x, next, h.delay(), func(*filter.Grant) hedgeDelays { return hedgeDelays{} }, func() bool {
		return h.estimate.Load() != 0 && h.tryWithdraw()
	})
	if out.Verdict == verdict.Ran {
		h.observe(f.Clock.Now().Sub(start))
	}
	return out
}

// untilDispatch is the initial hedge delay where the real one is known only at
// dispatch. It is longer than any request runs.
const untilDispatch = time.Hour

const (
	// hedgeOverdueFactor is the multiple of the expected duration after which the
	// backend server is assumed to have become slow. With fresh readings, nine of
	// ten requests finish earlier.
	hedgeOverdueFactor = 1.6
	// hedgeTimeLeftFactor is the multiple of the expected duration that must be
	// left of the objective for a hedge to be worth its load.
	hedgeTimeLeftFactor = 1.0
)

// HedgeDelay returns how long after dispatch a hedge is sent: when the first copy
// is overdue and a hedge can still meet the objective. age is the time since the
// request arrived. 0 means no hedge.
func HedgeDelay(route *manifest.Route, g *filter.Grant, age time.Duration) time.Duration {
	if g == nil || g.Expected <= 0 || route.Objective <= 0 {
		return 0
	}
	left := time.Duration(route.Objective) - age
	overdue := time.Duration(hedgeOverdueFactor * float64(g.Expected))
	if left-overdue < time.Duration(hedgeTimeLeftFactor*float64(g.Expected)) {
		return 0
	}
	return overdue
}

const (
	// silenceFactor is the multiple of the expected duration after which a backend server
	// that has not responded is assumed not to respond at all.
	silenceFactor = 3
	// silenceTimeShare is the share of the caller's time after which that is assumed in any
	// case, so that more than half of it is left for the other copy.
	silenceTimeShare = 0.35
	// silenceTimeLeftFactor is the multiple of the expected duration that must be left then.
	silenceTimeLeftFactor = 1.5
)

// SilenceDelay returns how long after dispatch a hedge is sent whether or not it can meet
// the objective, since the backend server may never respond. age is the time since the
// request arrived, left the time until its deadline. 0 means no hedge.
func SilenceDelay(g *filter.Grant, age, left time.Duration) time.Duration {
	if g == nil || g.Expected <= 0 || left <= 0 {
		return 0
	}
	shareEnds := time.Duration(silenceTimeShare*float64(age+left)) - age
	delay := min(time.Duration(silenceFactor*float64(g.Expected)), max(shareEnds, time.Duration(hedgeOverdueFactor*float64(g.Expected))))
	if left-delay < time.Duration(silenceTimeLeftFactor*float64(g.Expected)) {
		return 0
	}
	return delay
}

// hedgeDelays are the times after dispatch at which a hedge may be sent. 0 means none.
type hedgeDelays struct{ overdue, silent time.Duration }

// next returns the first delay after the given time, or 0.
func (d hedgeDelays) next(after time.Duration) time.Duration {
	first := time.Duration(0)
	for _, delay := range [...]time.Duration{d.overdue, d.silent} {
		if delay > after && (first == 0 || delay < first) {
			first = delay
		}
	}
	return first
}

type copyResult struct {
	x   *filter.Exchange
	out filter.Outcome
}

// race sends one copy of the request, and a hedge if the first copy is slow and
// allowHedge returns true. The hedge is sent after delay, or after the first of the times
// from dispatch that delaysAfterDispatch returns at which it is allowed. The first
// complete response that is not an error wins and the other copy is cancelled. x.Tried gets
// the servers of both copies, since both count as attempts.
func (f *Retry) race(ctx context.Context, x *filter.Exchange, next filter.Handler, delay time.Duration, delaysAfterDispatch func(*filter.Grant) hedgeDelays, allowHedge func() bool) filter.Outcome {
	// Cancels the copies that still run at the end; runCopy cancels those that have ended.
	unfinished := map[*filter.Exchange]context.CancelFunc{}
	defer func() {
		for _, cancel := range unfinished {
			cancel()
		}
	}()
	results := make(chan copyResult, 2)
	start := func(c *filter.Exchange) {
		copyCtx, cancel := context.WithCancel(ctx)
		unfinished[c] = cancel
		go runCopy(copyCtx, cancel, c, next, results)
	}
	var firstServer, secondServer atomic.Pointer[string] // set when the copy is dispatched
	dispatched := make(chan hedgeDelays, 1)
	x.Tried = slices.Clip(x.Tried) // the copies append to it while this goroutine does
	first := *x
	first.BeforeDispatch = func() error {
		firstServer.Store(&first.Grant.Server.Name)
		if d := delaysAfterDispatch(first.Grant); d.next(0) > 0 {
			dispatched <- d
		}
		if x.BeforeDispatch != nil {
			return x.BeforeDispatch()
		}
		return nil
	}
	start(&first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	running := 1
	var delays hedgeDelays
	var waited time.Duration // since dispatch
	var last, earlier copyResult
	defer func() {
		for _, server := range [...]*string{firstServer.Load(), secondServer.Load()} {
			if server != nil {
				x.Tried = appendNew(x.Tried, *server)
			}
		}
		x.PlacementEstimate = last.x.PlacementEstimate
	}()
	for running > 0 {
		select {
		case last = <-results:
			delete(unfinished, last.x)
			for _, server := range last.x.Tried {
				x.Tried = appendNew(x.Tried, server)
			}
			if earlier.x != nil {
				last.out = combineOutcomes(earlier.out, last.out)
			}
			earlier = last
			running--
			x.Crashed, x.CrashRetry = x.Crashed || last.x.Crashed, x.CrashRetry || last.x.CrashRetry
			if last.out.Verdict == verdict.Ran && last.out.Reason != verdict.ReasonBackendError {
				return last.out
			}
		case delays = <-dispatched:
			waited = delays.next(0)
			timer.Reset(waited)
		case <-timer.C:
			server := firstServer.Load()
			if server == nil || !allowHedge() {
				if later := delays.next(waited); later > 0 {
					timer.Reset(later - waited)
					waited = later
				}
				continue
			}
			second := *x
			second.Grant, second.IsHedge, second.MayMissObjective = nil, true, delays.silent > 0 && waited >= delays.silent
			second.Tried = append(append([]string(nil), x.Tried...), *server)
			second.BeforeDispatch = func() error {
				secondServer.Store(&second.Grant.Server.Name)
				if x.BeforeDispatch != nil {
					return x.BeforeDispatch()
				}
				return nil
			}
			f.Counters.Retry(verdict.ReasonHedge)
			running++
			start(&second)
		}
	}
	return last.out
}

// appendNew appends name unless names contains it.
func appendNew(names []string, name string) []string {
	if contains(names, name) {
		return names
	}
	return append(names, name)
}

// runCopy runs one copy of a request. Its context outlives it while the rest of its
// response is forwarded.
func runCopy(ctx context.Context, cancel context.CancelFunc, x *filter.Exchange, next filter.Handler, results chan<- copyResult) {
	done := copyResult{x: x, out: filter.Unknown(verdict.ReasonInternal, nil)}
	defer func() {
		if p := recover(); p != nil {
			done.out.Cause = errors.Errorf("panic: %v", p)
		}
		if r := done.out.Response; r != nil && r.Rest != nil {
			x.Cleanup.Add(cancel)
		} else {
			cancel()
		}
		results <- done
	}()
	done.out = next.Handle(ctx, x)
}
