package filters

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/quota"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

type fakeQuotas struct {
	decision        quota.Decision
	taken, returned int
}

func (q *fakeQuotas) Take(context.Context, *manifest.Account) quota.Decision {
	q.taken++
	return q.decision
}

func (q *fakeQuotas) Return(_ *manifest.Account, t quota.Token) {
	if t == q.decision.Token {
		q.returned++
	}
}

// TestQuota guards against a request that runs without a token, against an account without
// a rate that needs one, and against tokens that are lost, or given back although the
// request may have run.
func TestQuota(t *testing.T) {
	limited, unlimited := &manifest.Account{Name: "a1", Rate: 2}, &manifest.Account{Name: "a2"}
	admitted := quota.Decision{Admitted: true, Token: quota.Token{Expires: 7}}
	refused := quota.Decision{Refusal: quota.Refusal{RetryAfter: 3 * time.Second}}
	for name, c := range map[string]struct {
		account         *manifest.Account
		decision        quota.Decision
		outcome         filter.Outcome // of the rest of the chain
		ran             bool           // the rest of the chain ran
		taken, returned int
	}{
		"no account":        {nil, refused, filter.Outcome{Verdict: verdict.Ran}, true, 0, 0},
		"no rate":           {unlimited, refused, filter.Outcome{Verdict: verdict.Ran}, true, 0, 0},
		"ran":               {limited, admitted, filter.Outcome{Verdict: verdict.Ran}, true, 1, 0},
		"may have run":      {limited, admitted, filter.Unknown(verdict.ReasonAnswerCut, nil), true, 1, 0},
		"refused elsewhere": {limited, admitted, filter.Refuse(verdict.ReasonOverload, nil), true, 1, 1},
		"over the quota":    {limited, refused, filter.Outcome{Verdict: verdict.Ran}, false, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := &fakeQuotas{decision: c.decision}
			ran := false
			chain := filter.Chain(&Quota{Quotas: q}, filterFunc(func(context.Context, *filter.Exchange) filter.Outcome {
				ran = true
				return c.outcome
			}))
			out := chain.Handle(context.Background(), &filter.Exchange{Account: c.account})
			is.Equal(ran, c.ran)
			is.Equal(q.taken, c.taken)
			is.Equal(q.returned, c.returned)
			if c.ran {
				is.Equal(out, c.outcome)
				return
			}
			is.Equal(out.Reason, verdict.ReasonQuota)
			is.Equal(out.Verdict, verdict.NotRun)
			is.Equal(out.RetryAfter, 3*time.Second)
		})
	}
}
