package pools

import (
	"expvar"

	"github.com/anvilfront/anvilfront/internal/balance"
	"github.com/anvilfront/anvilfront/internal/metrics"
)

// counts are the counters of this controller, all under the map "pools".
type counts struct {
	granted, remote, reduced, queued, expired     *expvar.Int
	reportsDropped, doneDropped, doneLost         *expvar.Int
	probes, probeBytes, probeFailures             *expvar.Int
	stale, contradicted, ignored                  *expvar.Int
	ejections, coldStarts, sheds, failures, crash *expvar.Int
	panics                                        *expvar.Int
}

func newCounts(root *metrics.Counters) counts {
	m := new(expvar.Map).Init()
	root.Set("pools", m)
	i := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	return counts{
		granted: i("granted"), remote: i("granted_remote"), reduced: i("granted_reduced"),
		queued: i("queued"), expired: i("expired"),
		reportsDropped: i("reports_dropped"), doneDropped: i("done_dropped"), doneLost: i("done_lost"),
		probes: i("probes"), probeBytes: i("probe_bytes"), probeFailures: i("probe_failures"),
		stale: i("reports_stale"), contradicted: i("reports_contradicted"), ignored: i("reports_ignored"),
		ejections: i("ejections"), coldStarts: i("cold_starts"), sheds: i("sheds"),
		failures: i("failures"), crash: i("crashes"), panics: i("panics"),
	}
}

// add adds what a pool decided since the last call.
func (c *counts) add(now, before balance.Stats) {
	c.stale.Add(now.StaleReports - before.StaleReports)
	c.contradicted.Add(now.ContradictedReports - before.ContradictedReports)
	c.ignored.Add(now.IgnoredReports - before.IgnoredReports)
	c.ejections.Add(now.Ejections - before.Ejections)
	c.coldStarts.Add(now.ColdStarts - before.ColdStarts)
	c.sheds.Add(now.Sheds - before.Sheds)
	c.failures.Add(now.Failures - before.Failures)
	c.crash.Add(now.Crashes - before.Crashes)
}
