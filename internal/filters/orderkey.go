package filters

import (
	"context"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/ledger"
	"github.com/anvilfront/anvilfront/internal/orderkey"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// Book is the ledger and secret of one incarnation that this process answers for.
type KeyedLedger struct {
	*ledger.Ledger
	Secret orderkey.Secret
}

// Orders is the owner of order records. The orders controller implements it.
type Orders interface {
	// Book returns the book of an incarnation, or nil if this process does not
	// answer for it. It is a single atomic read.
	KeyedLedger(incarnation uint64) *KeyedLedger
	// Issue returns n fresh keys; errors are *verdict.Error with NotRun.
	Issue(n int) ([]string, error)
	// Start runs f in a goroutine that outlives the request.
	Start(f func())
	// Finished queues a copy of a finished order for a peer. It does not block.
	QueueCopy(k *orderkey.Key, fingerprint uint64, a ledger.Result)
	// Find looks for a copy of an order whose owner cannot be reached. ok is
	// false when there is none.
	Find(ctx context.Context, s *state.Snapshot, k *orderkey.Key, fingerprint uint64) (c wire.OrderCopy, ok bool)
	// Header returns the message header of this process.
	Header(s *state.Snapshot) wire.Header
}

// OrderKey runs a keyed order at its owner, at most once.
type OrderKey struct {
	Clock  clock.Clock
	Orders Orders
	Peers  peer.Caller
}

// Name implements filter.Filter.
func (*OrderKey) Name() string { return "orderkey" }

// Handle implements filter.Filter.
func (f *OrderKey) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	switch {
	case x.Route.Idempotent && x.Key == "":
		return next.Handle(ctx, x)
	case x.Route.Idempotent:
		// Not "not run": the key may stand for an order on another route.
		return filter.Unknown(verdict.ReasonKeyUnexpected, nil)
	case x.Key == "" && x.Route.KeyRequired:
		out := filter.Refuse(verdict.ReasonKeyRequired, nil)
		out.FreshKey = f.freshKey()
		return out
	case x.Key == "":
		return once(ctx, x, next)
	}
	k, err := orderkey.Decode(x.Key)
	if err != nil {
		// The text may be of a newer version, which its owner understands.
		return filter.Unknown(verdict.ReasonKeyMalformed, err)
	}
	var out filter.Outcome
	if book := f.Orders.KeyedLedger(k.Incarnation); book != nil {
		out = f.local(ctx, x, next, book, &k)
	} else {
		out = f.remote(ctx, x, &k)
	}
	// Both return NotRun only on the word of the owner.
	x.NotRunConfirmed = out.Verdict == verdict.NotRun
	return out
}

// freshKey returns a new key, or "" when none can be issued now.
func (f *OrderKey) freshKey() string {
	keys, err := f.Orders.Issue(1)
	if err != nil {
		return ""
	}
	return keys[0]
}

func (f *OrderKey) local(ctx context.Context, x *filter.Exchange, next filter.Handler, book *KeyedLedger, k *orderkey.Key) filter.Outcome {
	if !book.Secret.Verify(k) {
		// Not "not run": it may be a damaged text of a key that ran.
		return filter.Unknown(verdict.ReasonKeyInvalid, nil)
	}
	fingerprint := ledger.Fingerprint(x.Route.Name, x.Request)
	entry, rec := book.Begin(f.Clock.Now(), k.Sequence, k.Expiry, fingerprint)
	switch entry {
	case ledger.BeginStarted:
		o := &order{filter: f, book: book, rec: rec, key: k, fingerprint: fingerprint}
		return o.run(ctx, x, next)
	case ledger.BeginDuplicate:
		return f.join(ctx, x, rec)
	case ledger.BeginConflict:
		return filter.Unknown(verdict.ReasonKeyConflict, nil)
	case ledger.BeginRevoked:
		return f.refuse(verdict.ReasonKeyRevoked)
	case ledger.BeginFull:
		return f.refuse(verdict.ReasonLedgerFull)
	case ledger.BeginStopping:
		return f.refuse(verdict.ReasonStopping)
	case ledger.BeginSealed:
		if to := x.Snapshot.Members.Successors[k.Incarnation]; to != nil && !x.Forwarded && reachable(x.Snapshot.Members, to) != "" {
			return f.forward(ctx, x, k, to.Address)
		}
		return filter.Unknown(verdict.ReasonOwnerSealed, nil)
	default:
		return filter.Unknown(verdict.ReasonKeyExpired, nil)
	}
}

func (f *OrderKey) refuse(r verdict.Reason) filter.Outcome {
	out := filter.Refuse(r, nil)
	out.FreshKey = f.freshKey()
	return out
}

// join waits for the answer of the same order. Only the copy that runs the
// order may revoke it, so a deadline here says nothing about the order.
func (f *OrderKey) join(ctx context.Context, x *filter.Exchange, rec *ledger.Record) filter.Outcome {
	timer := time.NewTimer(x.Deadline.Sub(f.Clock.Now()))
	defer timer.Stop()
	select {
	case <-rec.Done():
		return outcome(*rec.Result())
	case <-ctx.Done():
		return filter.Unknown(verdict.ReasonCallerGone, ctx.Err())
	case <-timer.C:
		return filter.Unknown(verdict.ReasonAnswerTimeout, nil)
	}
}

func outcome(a ledger.Result) filter.Outcome {
	return filter.Outcome{Verdict: a.Verdict, Reason: a.Reason, Response: a.Response, FreshKey: a.FreshKey}
}

// attempts follows the attempts of one order. It is used by one goroutine.
type attempts struct {
	last   filter.Outcome // of the attempts that were dispatched
	sent   bool           // an attempt was dispatched and its outcome is not known yet
	unsure bool           // an attempt may have run
}

// ended records the outcome of an attempt. It returns true when the attempt
// was dispatched and certainly did not run.
func (a *attempts) ended(out filter.Outcome) bool {
	if !a.sent {
		return false
	}
	a.sent, a.last = false, out
	if out.Verdict != verdict.NotRun {
		a.unsure = true
		return false
	}
	return true
}

// correct returns what can be said of the order after the chain returned out. A
// refusal of a later attempt must not hide that an earlier one may have run.
func (a *attempts) correct(out filter.Outcome) filter.Outcome {
	if out.Verdict != verdict.NotRun || !a.unsure {
		return out
	}
	if a.last.Verdict == verdict.Ran {
		return a.last
	}
	return filter.Unknown(a.last.Reason, out.Cause)
}

// once runs an order without a key: at most one attempt is dispatched, even if
// the backend server shed it.
func once(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	var a attempts
	started, blocked := false, false
	x.BeforeDispatch = func() error {
		if started {
			blocked = true
			return verdict.New(verdict.NotRun, verdict.ReasonRetryBudget, nil)
		}
		started, a.sent = true, true
		return nil
	}
	x.AfterAttempt = func(out filter.Outcome) { a.ended(out) }
	out := a.correct(next.Handle(ctx, x))
	if blocked && out.Verdict == verdict.NotRun {
		return a.last // why the one attempt did not run
	}
	return out
}
