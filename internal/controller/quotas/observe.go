package quotas

import (
	"cmp"
	"expvar"
	"math"
	"slices"

	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/quota"
)

// maxNamesInMetrics bounds the accounts that are listed by name in the counters.
const maxNamesInMetrics = 64

// shareStep is the change of the part of the quotas that is logged.
const shareStep = 0.05

// accountCounts are the counters of one account on this host.
type accountCounts struct {
	Admitted int64   `json:"admitted"`
	Refused  int64   `json:"refused"`
	Rate     float64 `json:"rate"`
	Excess   float64 `json:"excess"`
}

// publishAccounts publishes the counters of the accounts with the most refusals.
func (c *Controller) publishAccounts() {
	c.cfg.Counters.Set("quotas.accounts", expvar.Func(func() any {
		all := *c.accounts.Load()
		names := make([]string, 0, len(all))
		for name := range all {
			names = append(names, name)
		}
		slices.SortFunc(names, func(a, b string) int {
			admittedA, refusedA := all[a].Counts()
			admittedB, refusedB := all[b].Counts()
			return cmp.Or(cmp.Compare(refusedB, refusedA), cmp.Compare(admittedB, admittedA), cmp.Compare(a, b))
		})
		counts := map[string]accountCounts{}
		for _, name := range names[:min(len(names), maxNamesInMetrics)] {
			a := all[name]
			admitted, refused := a.Counts()
			counts[name] = accountCounts{admitted, refused, a.rate, a.Excess()}
		}
		return counts
	}))
}

// report adds what the node counted since the last call to the counters, and logs when
// this host hands out quotas of other accounts than before or another part of them.
func (c *Controller) report(now clock.Time) {
	counts := c.node.Counts()
	takeovers, losses, pauses := counts[quota.Takeovers]-c.last[quota.Takeovers], counts[quota.Losses]-c.last[quota.Losses], counts[quota.Pauses]-c.last[quota.Pauses]
	for i, v := range counts {
		c.counted[i].Add(v - c.last[i])
	}
	c.last = counts
	c.fleetSize.Store(int64(c.node.FleetSize(now)))
	share := c.node.Share(now)
	if takeovers+losses+pauses > 0 || math.Abs(share-c.share) > shareStep || (share == 1) != (c.share == 1) {
		c.share = share
		c.log.Info("The quotas that this host hands out have changed.", zap.Int64("accounts_taken_over", takeovers),
			zap.Int64("accounts_lost", losses), zap.Int64("pauses", pauses), zap.Float64("part_of_quota", share))
	}
}
