package filters

import (
	"context"

	"github.com/anvilfront/anvilfront/internal/filter"
)

// OrderAttempt reports the outcome of each attempt to the orderkey filter. It must
// directly follow the retry filter in the chain. Without it, each order gets only
// one attempt.
type OrderAttempt struct{}

// Name implements filter.Filter.
func (OrderAttempt) Name() string { return "orderattempt" }

// Handle implements filter.Filter.
func (OrderAttempt) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	out := next.Handle(ctx, x)
	if x.AfterAttempt != nil {
		x.AfterAttempt(out)
	}
	return out
}
