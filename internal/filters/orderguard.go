package filters

import (
	"context"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/orderkey"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// OrderGuard is the first filter. A filter before the orderkey filter can refuse
// a keyed request without knowing whether an earlier copy of the order ran. The
// guard changes such a refusal to "may have run", unless this process is the owner
// and revokes the key.
type OrderGuard struct {
	Clock  clock.Clock
	Orders Orders
}

// Name implements filter.Filter.
func (*OrderGuard) Name() string { return "orderguard" }

// Handle implements filter.Filter.
func (g *OrderGuard) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	out := next.Handle(ctx, x)
	if x.Key == "" || out.Verdict != verdict.NotRun || x.NotRunConfirmed {
		return out
	}
	return g.Resolve(x, out)
}

// Resolve returns the outcome of a keyed request that was refused as "not run" by
// code that does not know the order's record.
func (g *OrderGuard) Resolve(x *filter.Exchange, out filter.Outcome) filter.Outcome {
	k, err := orderkey.Decode(x.Key)
	if err != nil {
		return filter.Unknown(out.Reason, out.Cause)
	}
	keyedLedger := g.Orders.KeyedLedger(k.Incarnation)
	switch {
	case keyedLedger == nil || !keyedLedger.Secret.Verify(&k):
		return filter.Unknown(out.Reason, out.Cause)
	case keyedLedger.Revoke(g.Clock.Now(), k.Sequence, k.Expiry):
		x.NotRunConfirmed = true
		if keys, err := g.Orders.Issue(1); err == nil {
			out.FreshKey = keys[0]
		}
		return out
	case keyedLedger.Sealed():
		// The successor holds the record; the reply to a forwarded order names it.
		return filter.Unknown(verdict.ReasonOwnerSealed, out.Cause)
	default:
		return filter.Unknown(out.Reason, out.Cause)
	}
}
