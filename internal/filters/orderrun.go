package filters

import (
	"context"
	"time"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/ledger"
	"github.com/anvilfront/anvilfront/internal/orderkey"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// order is the one run of a keyed order at its owner.
type order struct {
	filter      *OrderKey
	book        *KeyedLedger
	rec         *ledger.Record
	key         *orderkey.Key
	fingerprint uint64
	attempts    attempts
}

// run runs the rest of the chain in its own goroutine, because a dispatched
// order goes on after its caller disconnected or its deadline passed. Until the
// dispatch, both revoke the key.
func (o *order) run(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	// The front end's context ends with its handler, so the run gets its own.
	runCtx, cancel := context.WithCancel(context.Background())
	y := *x
	y.BeforeDispatch, y.AfterAttempt = o.dispatch, o.ended
	result := make(chan filter.Outcome, 1)
	o.filter.Orders.Start(func() {
		defer cancel()
		o.execute(runCtx, &y, next, result)
	})
	timer := time.NewTimer(x.Deadline.Sub(o.filter.Clock.Now()))
	defer timer.Stop()
	early, late := verdict.ReasonDeadline, verdict.ReasonAnswerTimeout
	select {
	case out := <-result:
		return out
	case <-ctx.Done():
		early, late = verdict.ReasonCallerGone, verdict.ReasonCallerGone
	case <-timer.C:
	}
	a := ledger.Result{Verdict: verdict.NotRun, Reason: early, FreshKey: o.filter.freshKey()}
	if o.book.Cancel(o.rec, a) {
		cancel()
		return outcome(a)
	}
	select {
	case out := <-result:
		return out
	default:
		return filter.Unknown(late, nil)
	}
}

// execute runs the chain and finishes the record, also when the chain panics.
func (o *order) execute(ctx context.Context, y *filter.Exchange, next filter.Handler, result chan<- filter.Outcome) {
	out := filter.Unknown(verdict.ReasonInternal, nil)
	defer func() {
		if out.Verdict == verdict.NotRun {
			out.FreshKey = o.filter.freshKey()
		}
		kept := o.book.Finish(o.rec, ledger.Result{Verdict: out.Verdict, Reason: out.Reason, Response: out.Response, FreshKey: out.FreshKey})
		if kept.Verdict == verdict.Ran {
			o.filter.Orders.QueueCopy(o.key, o.fingerprint, kept)
		}
		if kept.Verdict != out.Verdict {
			out = outcome(kept)
		}
		result <- out
	}()
	out = o.attempts.correct(next.Handle(ctx, y))
}

// dispatch records the key before the first byte leaves.
func (o *order) dispatch() error {
	if !o.book.Dispatch(o.filter.Clock.Now(), o.rec) {
		return verdict.New(verdict.NotRun, verdict.ReasonKeyRevoked, nil)
	}
	o.attempts.sent = true
	return nil
}

// ended lets another attempt follow one that certainly did not run.
func (o *order) ended(out filter.Outcome) {
	if o.attempts.ended(out) {
		o.book.RevertDispatch(o.rec)
	}
}
