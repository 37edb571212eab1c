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

// KeyedLedger is the ledger and the secret of one incarnation whose keys this
// process handles: its own, or one whose records it took over.
type KeyedLedger struct {
	*ledger.Ledger
	Secret orderkey.Secret
}

// Orders owns the order records. The orders controller implements it.
type Orders interface {
	// KeyedLedger returns the ledger of an incarnation, or nil if this process does
	// not handle its keys. It is a single atomic read.
	KeyedLedger(incarnation uint64) *KeyedLedger
	// Issue returns n fresh keys; errors are *verdict.Error with NotRun.
	Issue(n int) ([]string, error)
	// Start runs f in a goroutine that outlives the request.
	Start(f func())
	// QueueCopy queues a copy of a finished order for a peer. It does not block.
	QueueCopy(k *orderkey.Key, fingerprint uint64, a ledger.Result)
	// Find looks up a copy of an order whose owner cannot be reached. ok is false
	// if there is none.
	Find(ctx context.Context, s *state.Snapshot, k *orderkey.Key, fingerprint uint64) (c wire.OrderCopy, ok bool)
	// Header returns the message header of this process.
	Header() wire.Header
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
		// Not "not run": the key may belong to an order on another route.
		return filter.Unknown(verdict.ReasonKeyUnexpected, nil)
	case x.Key == "" && x.Route.KeyRequired:
		out := filter.Refuse(verdict.ReasonKeyRequired, nil)
		out.FreshKey = f.freshKey()
		return out
	case x.Key == "":
		return dispatchOnce(ctx, x, next)
	}
	k, err := orderkey.Decode(x.Key)
	if err != nil {
		// The key may be of a newer version that its owner can decode.
		return filter.Unknown(verdict.ReasonKeyMalformed, err)
	}
	var out filter.Outcome
	if keyedLedger := f.Orders.KeyedLedger(k.Incarnation); keyedLedger != nil {
		out = f.handleLocal(ctx, x, next, keyedLedger, &k)
	} else {
		out = f.handleRemote(ctx, x, &k)
	}
	// Both return NotRun only if the owner of the key confirms it.
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

func (f *OrderKey) handleLocal(ctx context.Context, x *filter.Exchange, next filter.Handler, keyedLedger *KeyedLedger, k *orderkey.Key) filter.Outcome {
	if !keyedLedger.Secret.Verify(k) {
		// Not "not run": it may be the damaged text of a key whose order ran.
		return filter.Unknown(verdict.ReasonKeyInvalid, nil)
	}
	fingerprint := ledger.Fingerprint(x.Route.Name, x.Request)
	beginResult, record := keyedLedger.Begin(f.Clock.Now(), k.Sequence, k.Expiry, fingerprint)
	switch beginResult {
	case ledger.BeginStarted:
		o := &orderRun{filter: f, keyedLedger: keyedLedger, record: record, key: k, fingerprint: fingerprint}
		return o.run(ctx, x, next)
	case ledger.BeginDuplicate:
		return f.awaitResult(ctx, x, record)
	case ledger.BeginConflict:
		return filter.Unknown(verdict.ReasonKeyConflict, nil)
	case ledger.BeginRevoked:
		return f.refuse(verdict.ReasonKeyRevoked)
	case ledger.BeginFull:
		return f.refuse(verdict.ReasonLedgerFull)
	case ledger.BeginStopping:
		return f.refuse(verdict.ReasonStopping)
	case ledger.BeginSealed:
		if to := x.Snapshot.Members.Successors[k.Incarnation]; to != nil && !x.Forwarded && reachableAddress(x.Snapshot.Members, to) != "" {
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

// awaitResult waits for the result of an order that another copy started. Only
// the copy that runs the order may revoke its key, so the outcome of the order is
// unknown if the deadline passes here.
func (f *OrderKey) awaitResult(ctx context.Context, x *filter.Exchange, record *ledger.Record) filter.Outcome {
	timer := time.NewTimer(x.Deadline.Sub(f.Clock.Now()))
	defer timer.Stop()
	select {
	case <-record.Done():
		return outcomeFromResult(*record.Result())
	case <-ctx.Done():
		return filter.Unknown(verdict.ReasonCallerGone, ctx.Err())
	case <-timer.C:
		return filter.Unknown(verdict.ReasonAnswerTimeout, nil)
	}
}

func outcomeFromResult(res ledger.Result) filter.Outcome {
	return filter.Outcome{Verdict: res.Verdict, Reason: res.Reason, Response: res.Response, FreshKey: res.FreshKey}
}

// attempts tracks the attempts of one order. It is used by one goroutine.
type attempts struct {
	last       filter.Outcome // of the last attempt that was dispatched
	inFlight   bool           // an attempt was dispatched and its outcome is not known yet
	mayHaveRun bool           // an attempt may have run
}

// recordOutcome records the outcome of an attempt. It returns true if the attempt
// was dispatched and certainly did not run.
func (a *attempts) recordOutcome(out filter.Outcome) bool {
	if !a.inFlight {
		return false
	}
	a.inFlight, a.last = false, out
	if out.Verdict != verdict.NotRun {
		a.mayHaveRun = true
		return false
	}
	return true
}

// correct returns the outcome of the order after the chain returned out. The
// refusal of a later attempt must not hide that an earlier one may have run.
func (a *attempts) correct(out filter.Outcome) filter.Outcome {
	if out.Verdict != verdict.NotRun || !a.mayHaveRun {
		return out
	}
	if a.last.Verdict == verdict.Ran {
		return a.last
	}
	return filter.Unknown(a.last.Reason, out.Cause)
}

// dispatchOnce runs an order without a key. It dispatches at most one attempt,
// even if the backend server sheds it.
func dispatchOnce(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	var a attempts
	started, retryBlocked := false, false
	x.BeforeDispatch = func() error {
		if started {
			retryBlocked = true
			return verdict.New(verdict.NotRun, verdict.ReasonRetryBudget, nil)
		}
		started, a.inFlight = true, true
		return nil
	}
	x.AfterAttempt = func(out filter.Outcome) { a.recordOutcome(out) }
	out := a.correct(next.Handle(ctx, x))
	if retryBlocked && out.Verdict == verdict.NotRun {
		return a.last // holds the reason why the single attempt did not run
	}
	return out
}
