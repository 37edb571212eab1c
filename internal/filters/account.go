package filters

import (
	"context"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Account refuses a request that needs the key of a client account and has none. It does
// nothing while the configuration has no accounts.
type Account struct{}

// Name implements filter.Filter.
func (Account) Name() string { return "account" }

// Handle implements filter.Filter.
func (Account) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	if x.Accounts && x.Account == nil && !x.Route.Public {
		return filter.Refuse(verdict.ReasonUnauthorized, nil)
	}
	return next.Handle(ctx, x)
}
