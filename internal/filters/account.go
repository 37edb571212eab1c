package filters

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// The causes that the log gives for a refusal. They do not contain the key.
var (
	errNoKey      = errors.New("the request has no key, several, or one of another scheme")
	errUnknownKey = errors.New("no account of the configuration has the key")
)

// Account refuses a request that needs the key of a client account and has none. It does
// nothing while the configuration has no accounts.
type Account struct{}

// Name implements filter.Filter.
func (Account) Name() string { return "account" }

// Handle implements filter.Filter.
func (Account) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	if x.Accounts && x.Account == nil && !x.Route.Public {
		cause := errNoKey
		if x.Request.Credential != "" {
			cause = errUnknownKey
		}
		return filter.Refuse(verdict.ReasonUnauthorized, cause)
	}
	return next.Handle(ctx, x)
}
