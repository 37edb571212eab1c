// Package metrics holds the expvar counters of one entry host. Every refusal
// and retry reason in the table of package verdict has a counter. The front end,
// the filters and the controllers update them; alert rules and /debug/vars read
// them.
package metrics

import (
	"expvar"

	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Counters are the counters of one entry host. New does not publish them
// globally, because several entry hosts may run in one process (tests, demo).
type Counters struct {
	root          *expvar.Map
	refusals      [verdict.NumReasons]*expvar.Int
	retries       [verdict.NumReasons]*expvar.Int
	verdicts      [3]*expvar.Int
	retriesDenied *expvar.Int
}

// New returns counters with an entry for each reason and verdict.
func New() *Counters {
	c := &Counters{root: new(expvar.Map).Init()}
	refusals, retries, verdicts := new(expvar.Map).Init(), new(expvar.Map).Init(), new(expvar.Map).Init()
	for _, r := range verdict.Reasons() {
		c.refusals[r], c.retries[r] = new(expvar.Int), new(expvar.Int)
		refusals.Set(r.String(), c.refusals[r])
		retries.Set(r.String(), c.retries[r])
	}
	for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran} {
		c.verdicts[v] = new(expvar.Int)
		verdicts.Set(v.String(), c.verdicts[v])
	}
	c.retriesDenied = new(expvar.Int)
	c.root.Set("retries_denied", c.retriesDenied)
	c.root.Set("refusals", refusals)
	c.root.Set("retries", retries)
	c.root.Set("verdicts", verdicts)
	return c
}

// Refusal counts one response that does not come from a backend server, by
// reason.
func (c *Counters) Refusal(r verdict.Reason) { c.refusals[r].Add(1) }

// Retry counts one retry, by the reason of the previous attempt.
func (c *Counters) Retry(r verdict.Reason) { c.retries[r].Add(1) }

// RetryDenied counts one retry that the retry budget of the route did not allow.
func (c *Counters) RetryDenied() { c.retriesDenied.Add(1) }

// Verdict counts one response to a caller, by verdict.
func (c *Counters) Verdict(v verdict.Verdict) { c.verdicts[v].Add(1) }

// Refusals returns the number of refusals with reason r.
func (c *Counters) Refusals(r verdict.Reason) int64 { return c.refusals[r].Value() }

// Retries returns the number of retries with reason r.
func (c *Counters) Retries(r verdict.Reason) int64 { return c.retries[r].Value() }

// Int returns the named counter, which is created on first use. Callers keep the
// pointer, because the lookup takes a lock and must not be on the request path.
func (c *Counters) Int(name string) *expvar.Int {
	if v, ok := c.root.Get(name).(*expvar.Int); ok {
		return v
	}
	c.root.Add(name, 0)
	return c.root.Get(name).(*expvar.Int)
}

// Set publishes v under name, for gauges (expvar.Func) and nested maps.
func (c *Counters) Set(name string, v expvar.Var) { c.root.Set(name, v) }

// Map returns the root map, for publication or JSON output.
func (c *Counters) Map() *expvar.Map { return c.root }

// Value returns the value of the integer counter or gauge with a dotted name such
// as "refusals.shed", for alert rules. ok is false if there is none.
func (c *Counters) Value(name string) (value int64, ok bool) {
	return lookup(c.root, name)
}

func lookup(m *expvar.Map, name string) (int64, bool) {
	if v := m.Get(name); v != nil {
		switch v := v.(type) {
		case *expvar.Int:
			return v.Value(), true
		case expvar.Func:
			i, ok := v.Value().(int64)
			return i, ok
		}
	}
	for i := 0; i < len(name); i++ {
		if name[i] != '.' {
			continue
		}
		if sub, ok := m.Get(name[:i]).(*expvar.Map); ok {
			return lookup(sub, name[i+1:])
		}
	}
	return 0, false
}
