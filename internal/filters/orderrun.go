package filters

import (
	"context"
	"time"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/ledger"
	"github.com/anvilfront/anvilfront/internal/orderkey"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// orderRun is the single run of a keyed order at its owner.
type orderRun struct {
	filter      *OrderKey
	keyedLedger *KeyedLedger
	record      *ledger.Record
	key         *orderkey.Key
	fingerprint uint64
	attempts    attempts
}

// run runs the rest of the chain in its own goroutine, because a dispatched order
// continues after its caller disconnects or its deadline passes. Before dispatch,
// either event revokes the key.
func (o *orderRun) run(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	// The front end's context ends with its handler, so the run has its own context.
	runCtx, cancel := context.WithCancel(context.Background())
	runExchange := *x
	runExchange.BeforeDispatch, runExchange.AfterAttempt = o.dispatch, o.recordOutcome
	result := make(chan filter.Outcome, 1)
	o.filter.Orders.Start(func() {
		defer cancel()
		o.execute(runCtx, &runExchange, next, result)
	})
	timer := time.NewTimer(x.Deadline.Sub(o.filter.Clock.Now()))
	defer timer.Stop()
	reasonBeforeDispatch, reasonAfterDispatch := verdict.ReasonDeadline, verdict.ReasonAnswerTimeout
	select {
	case out := <-result:
		return out
	case <-ctx.Done():
		reasonBeforeDispatch, reasonAfterDispatch = verdict.ReasonCallerGone, verdict.ReasonCallerGone
	case <-timer.C:
	}
	cancelled := ledger.Result{Verdict: verdict.NotRun, Reason: reasonBeforeDispatch, FreshKey: o.filter.freshKey()}
	if o.keyedLedger.Cancel(o.record, cancelled) {
		cancel()
		return outcomeFromResult(cancelled)
	}
	select {
	case out := <-result:
		return out
	default:
		return filter.Unknown(reasonAfterDispatch, nil)
	}
}

// execute runs the chain and finishes the record, even if the chain panics.
func (o *orderRun) execute(ctx context.Context, runExchange *filter.Exchange, next filter.Handler, result chan<- filter.Outcome) {
	out := filter.Unknown(verdict.ReasonInternal, nil)
	defer func() {
		if out.Verdict == verdict.NotRun {
			out.FreshKey = o.filter.freshKey()
		}
		stored := o.keyedLedger.Finish(o.record, ledger.Result{Verdict: out.Verdict, Reason: out.Reason, Response: out.Response, FreshKey: out.FreshKey})
		if stored.Verdict == verdict.Ran {
			o.filter.Orders.QueueCopy(o.key, o.fingerprint, stored)
		}
		if stored.Verdict != out.Verdict {
			out = outcomeFromResult(stored)
		}
		result <- out
	}()
	out = o.attempts.correct(next.Handle(ctx, runExchange))
}

// dispatch marks the key as dispatched before the first byte is sent.
func (o *orderRun) dispatch() error {
	if !o.keyedLedger.Dispatch(o.filter.Clock.Now(), o.record) {
		return verdict.New(verdict.NotRun, verdict.ReasonKeyRevoked, nil)
	}
	o.attempts.inFlight = true
	return nil
}

// recordOutcome allows another attempt after one that certainly did not run.
func (o *orderRun) recordOutcome(out filter.Outcome) {
	if o.attempts.recordOutcome(out) {
		o.keyedLedger.RevertDispatch(o.record)
	}
}
