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
	if x.Key == "" || out.Verdict != verdict.NotRun || x.KeyBound {
		return out
	}
	return g.Settle(x, out)
}

// Settle returns what may be said of a keyed request that was refused with
// "not run" by a part that does not know the order's record.
func (g *OrderGuard) Settle(x *filter.Exchange, out filter.Outcome) filter.Outcome {
	if g.revoke(x.Key) {
		x.KeyBound = true
		if keys, err := g.Orders.Issue(1); err == nil {
			out.FreshKey = keys[0]
		}
		return out
	}
	return filter.Unknown(out.Reason, out.Cause)
}

func (g *OrderGuard) revoke(text string) bool {
	k, err := orderkey.Decode(text)
	if err != nil {
		return false
	}
	book := g.Orders.Book(k.Incarnation)
	return book != nil && book.Secret.Verify(&k) && book.Revoke(g.Clock.Now(), k.Sequence, k.Expiry)
}
