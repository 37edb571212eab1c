package filters

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// TestRetryPolicy guards against an order that is retried although it may have
// run, retries that multiply along call chains, and backoffs past the deadline.
func TestRetryPolicy(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		in := retryInput{
			Verdict:     verdict.Verdict(rapid.IntRange(0, 2).Draw(rt, "verdict")),
			Reason:      verdict.Reason(rapid.IntRange(0, int(verdict.NumReasons)-1).Draw(rt, "reason")),
			Idempotent:  rapid.Bool().Draw(rt, "idempotent"),
			Nested:      rapid.Bool().Draw(rt, "nested"),
			MaxRetries:  rapid.IntRange(0, 4).Draw(rt, "max retries"),
			RetriesDone: rapid.IntRange(0, 70).Draw(rt, "retries done"),
			Remaining:   time.Duration(rapid.Int64Range(-1e9, 1e9).Draw(rt, "remaining")),
		}
		seed := rapid.Uint64().Draw(rt, "seed")
		wait, retry := decideRetry(in, rand.New(rand.NewPCG(seed, 1)))
		if !retry {
			return
		}
		switch {
		case in.Verdict == verdict.Ran:
			rt.Fatalf("request retried after it ran: %+v", in)
		case !in.Idempotent && in.Verdict != verdict.NotRun:
			rt.Fatalf("order retried although it may have run: %+v", in)
		case in.Nested && (in.Verdict == verdict.MayHaveRun || in.Reason == verdict.ReasonShed):
			rt.Fatalf("nested request retried after dispatch: %+v", in)
		case in.RetriesDone >= in.MaxRetries:
			rt.Fatalf("more retries than the route allows: %+v", in)
		case wait < 0 || wait >= in.Remaining || wait > 2*backoffMax:
			rt.Fatalf("backoff of %v with %v until the deadline: %+v", wait, in.Remaining, in)
		}
	})
}

// TestRetryEveryReason guards against the same retries as TestRetryPolicy, for every
// reason, because random inputs rarely include a retryable one.
func TestRetryEveryReason(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for _, reason := range verdict.Reasons() {
		in := retryInput{Verdict: verdict.MayHaveRun, Reason: reason, MaxRetries: 4, Remaining: time.Minute}
		if _, retry := decideRetry(in, r); retry {
			t.Errorf("order retried although it may have run: %v", reason)
		}
		in.Idempotent, in.Nested = true, true
		if _, retry := decideRetry(in, r); retry {
			t.Errorf("nested request retried after dispatch: %v", reason)
		}
		in.Nested, in.Verdict = false, verdict.Ran
		if _, retry := decideRetry(in, r); retry {
			t.Errorf("request retried after it ran: %v", reason)
		}
	}
}

func exchange(idempotent bool) *filter.Exchange {
	return &filter.Exchange{
		Request:  &filter.Request{},
		Route:    &manifest.Route{Name: "r", Idempotent: idempotent, Retries: 3, RetryPercent: 100},
		Service:  &manifest.Service{Name: "s", RunLimit: manifest.Duration(time.Second)},
		Deadline: clock.Time(time.Second),
	}
}

// TestRetryBudget guards against retries beyond the route's share of requests,
// and against a retry that reuses the grant of the previous attempt.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &Retry{Clock: &clock.Manual{}, Counters: metrics.New()}
		attempts := 0
		h := filter.Chain(f, handler(func(_ context.Context, x *filter.Exchange) filter.Outcome {
			attempts++
			is.True(x.Grant == nil) // each attempt is placed again
			x.Grant = &filter.Grant{}
			return filter.Refuse(verdict.ReasonShed, nil)
		}))
		const requests = 1000
		for range requests {
			x := exchange(false)
			x.Route.RetryPercent = 10
			out := h.Handle(context.Background(), x)
			is.Equal(out.Reason, verdict.ReasonShed)
		}
		is.Equal(attempts, requests+requests/10)
		is.Equal(f.Counters.Retries(verdict.ReasonShed), int64(requests/10))
	})
}

// TestRetryKeepsMayHaveRun guards against "not run" for a request whose first
// attempt may have run and whose retry was refused.
func TestRetryKeepsMayHaveRun(t *testing.T) {
	is := is.New(t)
	f := &Retry{Clock: &clock.Manual{}, Counters: metrics.New()}
	attempts := 0
	out := filter.Chain(f, handler(func(context.Context, *filter.Exchange) filter.Outcome {
		if attempts++; attempts == 1 {
			return filter.Unknown(verdict.ReasonAnswerCut, nil)
		}
		return filter.Refuse(verdict.ReasonOverload, nil)
	})).Handle(context.Background(), exchange(true))
	is.Equal(attempts, 2)
	is.Equal(out.Verdict, verdict.MayHaveRun)
	is.Equal(out.Reason, verdict.ReasonAnswerCut)
}

// TestRetryStopsWhenCallerDisconnects guards against retries for a caller that
// has disconnected.
func TestRetryStopsWhenCallerDisconnects(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	attempts := 0
	f := &Retry{Clock: &clock.Manual{}, Counters: metrics.New()}
	filter.Chain(f, handler(func(context.Context, *filter.Exchange) filter.Outcome {
		attempts++
		return filter.Refuse(verdict.ReasonConnectFailed, nil)
	})).Handle(ctx, exchange(true))
	is.Equal(attempts, 1)
}

type handler filter.HandlerFunc

func (handler) Name() string { return "test" }

func (h handler) Handle(ctx context.Context, x *filter.Exchange, _ filter.Handler) filter.Outcome {
	return h(ctx, x)
}

// TestHedge guards against a hedged order, a hedge before the first copy is
// dispatched, a losing copy that is not cancelled, and hedges beyond the budget.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &Retry{Clock: clock.NewMonotonic(), Counters: metrics.New()}
		var slow atomic.Bool
		var copies, cancelled atomic.Int64
		h := filter.Chain(f, handler(func(ctx context.Context, x *filter.Exchange) filter.Outcome {
			copies.Add(1)
			x.Grant = &filter.Grant{Server: &manifest.BackendServer{Name: "b1"}}
			first := len(x.Tried) == 0
			if x.BeforeDispatch != nil {
				_ = x.BeforeDispatch()
			}
			if first && slow.Load() {
				select {
				case <-ctx.Done():
					cancelled.Add(1)
					return filter.Unknown(verdict.ReasonCallerGone, nil)
				case <-time.After(time.Second):
				}
			}
			time.Sleep(10 * time.Millisecond)
			return filter.Outcome{Verdict: verdict.Ran}
		}))
		run := func(idempotent bool, n int) {
			for range n {
				x := exchange(idempotent)
				x.Service.HedgePercent = 10
				is.Equal(h.Handle(context.Background(), x).Verdict, verdict.Ran)
			}
		}
		run(true, 50) // trains the latency estimate and saves up 5 hedges
		is.Equal(copies.Load(), int64(50))
		slow.Store(true)
		run(true, 20)
		synctest.Wait()
		hedged := f.Counters.Retries(verdict.ReasonHedge)
		is.Equal(hedged, int64(7)) // 10% of 70 requests
		is.Equal(cancelled.Load(), hedged)
		run(false, 5)
		is.Equal(copies.Load(), 75+hedged) // orders are not hedged
	})
}

// TestHedgeKeepsMayHaveRun guards against "not run" for a request when one copy
// may have run and the other was refused afterwards.
func TestHedgeKeepsMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &Retry{Clock: clock.NewMonotonic(), Counters: metrics.New()}
		f.hedges.get("s").estimate.Store(int64(10 * time.Millisecond))
		f.hedges.get("s").milliTokens.Store(milliTokensPerToken)
		h := filter.Chain(f, handler(func(_ context.Context, x *filter.Exchange) filter.Outcome {
			if len(x.Tried) > 0 {
				time.Sleep(time.Second)
				return filter.Refuse(verdict.ReasonOverload, nil)
			}
			x.Grant = &filter.Grant{Server: &manifest.BackendServer{Name: "b1"}}
			_ = x.BeforeDispatch()
			time.Sleep(100 * time.Millisecond)
			return filter.Unknown(verdict.ReasonAnswerCut, nil)
		}))
		x := exchange(true)
		x.Service.HedgePercent, x.Route.Retries = 10, 0
		out := h.Handle(context.Background(), x)
		is.Equal(f.Counters.Retries(verdict.ReasonHedge), int64(1))
		is.Equal(out.Verdict, verdict.MayHaveRun)
		is.Equal(out.Reason, verdict.ReasonAnswerCut)
	})
}

// TestHedgeCountsAsAttempt guards against a request that is sent to more backend
// servers than its route allows, because its hedge is not counted, and against a retry
// that replaces a copy which is still running.
func TestHedgeCountsAsAttempt(t *testing.T) {
	failure := filter.Unknown(verdict.ReasonAnswerCut, nil)
	serverError := filter.Outcome{Verdict: verdict.Ran, Reason: verdict.ReasonBackendError, Response: &filter.Response{Status: 500}}
	success := filter.Outcome{Verdict: verdict.Ran, Response: &filter.Response{Status: 200}}
	for name, c := range map[string]struct {
		outcomes []filter.Outcome // of the first copy and its hedge
		took     []time.Duration
		want     filter.Outcome
	}{
		"both fail":                   {[]filter.Outcome{failure, failure}, []time.Duration{300, 100}, failure},
		"first fails last":            {[]filter.Outcome{failure, failure}, []time.Duration{100, 300}, failure},
		"errors":                      {[]filter.Outcome{serverError, serverError}, []time.Duration{300, 100}, serverError},
		"success after hedge's error": {[]filter.Outcome{success, serverError}, []time.Duration{300, 10}, success},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &Retry{Clock: clock.NewMonotonic(), Counters: metrics.New(), MaxTokens: func() float64 { return 5 }}
				f.budgets.get("s").milliTokens.Store(5 * milliTokensPerToken)
				var sent atomic.Int32
				h := filter.Chain(f, handler(func(ctx context.Context, x *filter.Exchange) filter.Outcome {
					n := int(sent.Add(1)) - 1
					name := fmt.Sprint("b", n)
					x.Grant = &filter.Grant{Server: &manifest.BackendServer{Name: name}, Expected: 50 * time.Millisecond}
					x.Tried = append(x.Tried, name)
					if x.BeforeDispatch != nil {
						_ = x.BeforeDispatch()
					}
					if n > 1 {
						return success
					}
					select {
					case <-time.After(c.took[n] * time.Millisecond):
						return c.outcomes[n]
					case <-ctx.Done():
						return filter.Unknown(verdict.ReasonCallerGone, nil)
					}
				}))
				x := exchange(true)
				x.Route.Retries, x.Route.RetryErrors, x.Route.Objective = 1, true, manifest.Duration(600*time.Millisecond)
				out := h.Handle(context.Background(), x)
				is.Equal(sent.Load(), int32(2))
				is.Equal(out.Verdict, c.want.Verdict)
				is.Equal(out.Response, c.want.Response)
				is.Equal(len(x.Tried), 2)
			})
		})
	}
}

// noOrders handles no order keys.
type noOrders struct{ Orders }

func (noOrders) KeyedLedger(uint64) *KeyedLedger { return nil }

// TestStopping guards against a shutdown that interrupts a request in the chain,
// and against "not run" for a key whose owner was not queried.
func TestStopping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStopping()
		guard := &OrderGuard{Clock: &clock.Manual{}, Orders: noOrders{}}
		h := filter.Chain(guard, s, handler(func(context.Context, *filter.Exchange) filter.Outcome {
			time.Sleep(time.Second)
			return filter.Outcome{Verdict: verdict.Ran}
		}))
		done := make(chan filter.Outcome, 1)
		go func() { done <- h.Handle(context.Background(), exchange(true)) }()
		synctest.Wait()
		s.Stop()
		is.Equal(s.Inflight(), int64(1))
		is.Equal(h.Handle(context.Background(), exchange(true)).Verdict, verdict.NotRun)
		keyed := exchange(false)
		keyed.Key = "key"
		is.Equal(h.Handle(context.Background(), keyed).Verdict, verdict.MayHaveRun)
		start := time.Now()
		is.NoErr(s.Drain(context.Background()))
		is.Equal(time.Since(start), time.Second)
		is.Equal((<-done).Verdict, verdict.Ran)
	})
}

// TestFleetBudget guards against retries of many hosts that together exceed the
// fleet's budget of a service within a window of ten seconds, however many other
// hosts each host knows, and with hosts that join and restart.
func TestFleetBudget(t *testing.T) {
	const (
		ratio, slack = 0.2, 60.0
		window       = 10 * time.Second
		step         = 50 * time.Millisecond
	)
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		type host struct {
			b     *budget
			known int
		}
		hosts := make([]host, 16)
		for i := range hosts {
			hosts[i] = host{&budget{}, 1 + rng.IntN(16)} // any view, including that of a partitioned host
		}
		var requests, retries []int // per step
		sum := func(list []int, from, to int) (n int) {
			for _, v := range list[max(from, 0):max(to, 0)] {
				n += v
			}
			return n
		}
		for n := range 800 {
			r, s := 0, 0
			burst := n/200%2 == 1 // all hosts save up tokens, then spend them together
			for i := range hosts {
				h := &hosts[i]
				for range rng.IntN(3) {
					r++
					h.b.deposit(100*ratio, SlackShare(slack, h.known))
				}
				if burst && rng.IntN(10) == 0 {
					for h.b.tryWithdraw() {
						s++
					}
				}
				if rng.IntN(4000) == 0 {
					*h = host{&budget{}, 1}
				}
			}
			if len(hosts) < 20 && rng.IntN(200) == 0 {
				hosts = append(hosts, host{&budget{}, 1})
			}
			requests, retries = append(requests, r), append(retries, s)
			n, now := int(window/step), len(retries)
			if got, allowed := float64(sum(retries, now-n, now)), ratio*float64(sum(requests, now-n, now))+slack; got > allowed {
				rt.Fatalf("%v retries in %v, %v allowed", got, window, allowed)
			}
		}
	})
}
