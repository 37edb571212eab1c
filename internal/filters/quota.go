package filters

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/quota"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// errOwnerSilent is the cause of a refusal of an account that may be inside its quota.
var errOwnerSilent = errors.New("the host that owns the quota does not answer")

// Quotas decides whether an account is inside its quota over all entry hosts.
type Quotas interface {
	// Take takes a token of the account. It may wait for another entry host, for at most
	// about a tenth of a second.
	Take(ctx context.Context, a *manifest.Account) quota.Decision
	// Return gives back the token of a request that did not run. It never blocks.
	Return(a *manifest.Account, t quota.Token)
}

// Quota refuses the requests of a client account that is over its quota. It runs once for
// all attempts of a request.
type Quota struct{ Quotas Quotas }

// Name implements filter.Filter.
func (*Quota) Name() string { return "quota" }

// Handle implements filter.Filter.
func (q *Quota) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	if x.Account == nil || !x.Account.Limited() {
		return next.Handle(ctx, x)
	}
	d := q.Quotas.Take(ctx, x.Account)
	if !d.Admitted {
		out := filter.Refuse(verdict.ReasonQuota, nil)
		if out.RetryAfter = d.Refusal.RetryAfter; d.Refusal.Silent {
			out.Cause = errOwnerSilent
		}
		return out
	}
	out := next.Handle(ctx, x)
	if out.Verdict == verdict.NotRun {
		q.Quotas.Return(x.Account, d.Token)
	}
	return out
}
