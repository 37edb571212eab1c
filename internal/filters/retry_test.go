package filters

import (
	"context"
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

// TestRetryPolicy guards against an order that is sent again although it may
// have run, retries that multiply along call chains, and waits past the deadline.
func TestRetryPolicy(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		in := retryInput{
			Verdict:    verdict.Verdict(rapid.IntRange(0, 2).Draw(rt, "verdict")),
			Reason:     verdict.Reason(rapid.IntRange(0, int(verdict.NumReasons)-1).Draw(rt, "reason")),
			Idempotent: rapid.Bool().Draw(rt, "idempotent"),
			Nested:     rapid.Bool().Draw(rt, "nested"),
			Allowed:    rapid.IntRange(0, 4).Draw(rt, "allowed"),
			Done:       rapid.IntRange(0, 70).Draw(rt, "done"),
			Left:       time.Duration(rapid.Int64Range(-1e9, 1e9).Draw(rt, "left")),
		}
		seed := rapid.Uint64().Draw(rt, "seed")
		wait, again := decideRetry(in, rand.New(rand.NewPCG(seed, 1)))
		if !again {
			return
		}
		switch {
		case in.Verdict == verdict.Ran:
			rt.Fatalf("sent again after it ran: %+v", in)
		case !in.Idempotent && in.Verdict != verdict.NotRun:
			rt.Fatalf("an order that may have run was sent again: %+v", in)
		case in.Nested && (in.Verdict == verdict.MayHaveRun || in.Reason == verdict.ReasonShed):
			rt.Fatalf("a nested request was sent again after dispatch: %+v", in)
		case in.Done >= in.Allowed:
			rt.Fatalf("more retries than the route allows: %+v", in)
		case wait < 0 || wait >= in.Left || wait > 2*retryMax:
			rt.Fatalf("wait %v with %v left: %+v", wait, in.Left, in)
		}
	})
}

// TestRetryAfterDoubt guards against the same as TestRetryPolicy over every
// reason, since random inputs rarely meet a reason that is retried at all.
func TestRetryAfterDoubt(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for _, reason := range verdict.Reasons() {
		in := retryInput{Verdict: verdict.MayHaveRun, Reason: reason, Allowed: 4, Left: time.Minute}
		if _, again := decideRetry(in, r); again {
			t.Errorf("an order that may have run was sent again: %v", reason)
		}
		in.Idempotent, in.Nested = true, true
		if _, again := decideRetry(in, r); again {
			t.Errorf("a nested request was sent again after dispatch: %v", reason)
		}
		in.Nested, in.Verdict = false, verdict.Ran
		if _, again := decideRetry(in, r); again {
			t.Errorf("sent again after it ran: %v", reason)
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
// and against a retry that keeps the grant of the attempt before.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &Retry{Clock: &clock.Manual{}, Counters: metrics.New()}
		attempts := 0
		h := filter.Chain(f, handler(func(_ context.Context, x *filter.Exchange) filter.Outcome {
			attempts++
			is.True(x.Grant == nil) // chosen anew for each attempt
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

// TestRetryKeepsDoubt guards against "not run" for a request whose first attempt
// may have run and whose second one was refused, in sequence and side by side.
func TestRetryKeepsDoubt(t *testing.T) {
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

// TestRetryStopsWithCaller guards against retries for a caller that went away.
func TestRetryStopsWithCaller(t *testing.T) {
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

// TestHedge guards against a second copy of an order, a copy before the first
// is dispatched, a loser that runs on, and copies beyond the budget.
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
		run(true, 50) // learns the usual time and saves up 5 copies
		is.Equal(copies.Load(), int64(50))
		slow.Store(true)
		run(true, 20)
		synctest.Wait()
		hedged := f.Counters.Retries(verdict.ReasonHedge)
		is.Equal(hedged, int64(7)) // 10% of 70 requests
		is.Equal(cancelled.Load(), hedged)
		run(false, 5)
		is.Equal(copies.Load(), 75+hedged) // orders have one copy
	})
}

// TestHedgeKeepsDoubt guards against "not run" for a request of which one copy
// may have run and the other was refused afterwards.
func TestHedgeKeepsDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &Retry{Clock: clock.NewMonotonic(), Counters: metrics.New()}
		f.hedges.get("s").estimate.Store(int64(10 * time.Millisecond))
		f.hedges.get("s").parts.Store(budgetUnit)
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

// noOrders owns no order key.
type noOrders struct{ Orders }

func (noOrders) KeyedLedger(uint64) *KeyedLedger { return nil }

// TestStopping guards against a stop that cuts a request in the chain, and
// against "not run" for a key whose owner was not asked.
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

// TestFleetBudget guards against repeated sends of many hosts that together
// exceed the fleet's budget of a service in some ten seconds, whatever each host
// knows of the others, and with hosts that join and restart.
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
			hosts[i] = host{&budget{}, 1 + rng.IntN(16)} // any view, also a cut-off one
		}
		var requests, repeats []int // per step
		sum := func(list []int, from, to int) (n int) {
			for _, v := range list[max(from, 0):max(to, 0)] {
				n += v
			}
			return n
		}
		for n := range 800 {
			r, s := 0, 0
			storm := n/200%2 == 1 // every host saves up, then all spend
			for i := range hosts {
				h := &hosts[i]
				for range rng.IntN(3) {
					r++
					h.b.earn(100*ratio, SlackShare(slack, h.known))
				}
				if storm && rng.IntN(10) == 0 {
					for h.b.spend() {
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
			requests, repeats = append(requests, r), append(repeats, s)
			n, now := int(window/step), len(repeats)
			if got, allowed := float64(sum(repeats, now-n, now)), ratio*float64(sum(requests, now-n, now))+slack; got > allowed {
				rt.Fatalf("%v repeated sends in %v, %v allowed", got, window, allowed)
			}
		}
	})
}
