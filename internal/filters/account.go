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

// AccountLoads learns how much client accounts send.
type AccountLoads interface {
	// Observe records a request of an account. It does not block.
	Observe(account string)
	// Heat returns the load of an account as a multiple of its usual load, or 0 if that is
	// not high or not known.
	Heat(account string) float64
}

// Account refuses a request that needs the key of a client account and has none, and reports
// the others. It does nothing while the configuration has no accounts.
type Account struct {
	Loads AccountLoads // nil: requests are not reported
}

// Name implements filter.Filter.
func (*Account) Name() string { return "account" }

// Handle implements filter.Filter.
func (a *Account) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	if x.Accounts && x.Account == nil && !x.Route.Public {
		cause := errNoKey
		if x.Request.Credential != "" {
			cause = errUnknownKey
		}
		return filter.Refuse(verdict.ReasonUnauthorized, cause)
	}
	if x.Account != nil && a.Loads != nil {
		a.Loads.Observe(x.Account.Name)
	}
	return next.Handle(ctx, x)
}
