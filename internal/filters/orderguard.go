package filters

import (
	"context"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/orderkey"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// OrderGuard is the first filter. A refusal of a keyed request by a filter
// before the orderkey filter says nothing about an earlier copy of the order.
// The guard turns it into "may have run", unless this process is the owner and
// revokes the key.
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

// Settle returns what may be said of a keyed request that was refused with
// "not run" by a part that does not know the order's record.
func (g *OrderGuard) Resolve(x *filter.Exchange, out filter.Outcome) filter.Outcome {
	k, err := orderkey.Decode(x.Key)
	if err != nil {
		return filter.Unknown(out.Reason, out.Cause)
	}
	book := g.Orders.KeyedLedger(k.Incarnation)
	switch {
	case book == nil || !book.Secret.Verify(&k):
		return filter.Unknown(out.Reason, out.Cause)
	case book.Revoke(g.Clock.Now(), k.Sequence, k.Expiry):
		x.NotRunConfirmed = true
		if keys, err := g.Orders.Issue(1); err == nil {
			out.FreshKey = keys[0]
		}
		return out
	case book.Sealed():
		// The successor knows the order; the sender of a forward is told its name.
		return filter.Unknown(verdict.ReasonOwnerSealed, out.Cause)
	default:
		return filter.Unknown(out.Reason, out.Cause)
	}
}
