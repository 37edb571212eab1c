package metrics

import (
	"expvar"
	"maps"
	"sync/atomic"

	"github.com/anvilfront/anvilfront/internal/verdict"
)

// maxAccountNames bounds the client accounts that are counted by name, to some 0.6 MB: those
// used most recently, in two generations of half as many. At least maxAccountNames/2 accounts
// that are all in use are never dropped.
const maxAccountNames = 1024

// Accounts counts the requests of client accounts: in all, and by name for a bounded number
// of names. Reads and counts take no lock; a new name copies a generation.
type Accounts struct {
	admitted *expvar.Int
	refused  [verdict.NumReasons]*expvar.Int
	dropped  *expvar.Int
	names    atomic.Pointer[accountNames]
}

// accountNames is immutable but for the counts. Names that were not used while current filled
// up are in older, and are dropped when it fills up again.
type accountNames struct{ current, older map[string]*accountCounts }

type accountCounts struct {
	admitted atomic.Int64
	refused  [verdict.NumReasons]atomic.Int64
}

// NewAccounts returns counts that c publishes under "accounts".
func NewAccounts(c *Counters) *Accounts {
	a := &Accounts{admitted: new(expvar.Int), dropped: new(expvar.Int)}
	root, refused := new(expvar.Map).Init(), new(expvar.Map).Init()
	for _, r := range verdict.Reasons() {
		a.refused[r] = new(expvar.Int)
		refused.Set(r.String(), a.refused[r])
	}
	root.Set("admitted", a.admitted)
	root.Set("refused", refused)
	root.Set("names_dropped", a.dropped)
	root.Set("by_name", expvar.Func(func() any { return a.byName() }))
	c.Set("accounts", root)
	return a
}

// Admitted counts a request that ran or may have run. name is that of its account, or "".
func (a *Accounts) Admitted(name string) {
	a.admitted.Add(1)
	if name != "" {
		a.counts(name).admitted.Add(1)
	}
}

// Refused counts a request that has not run, by reason.
func (a *Accounts) Refused(name string, r verdict.Reason) {
	a.refused[r].Add(1)
	if name != "" {
		a.counts(name).refused[r].Add(1)
	}
}

// counts returns the counts of a name, which are created on first use.
func (a *Accounts) counts(name string) *accountCounts {
	for {
		old := a.names.Load()
		var n accountNames
		if old != nil {
			n = *old
		}
		if c := n.current[name]; c != nil {
			return c
		}
		c := n.older[name]
		if c == nil {
			c = new(accountCounts)
		}
		next, dropped := n.with(name, c)
		if a.names.CompareAndSwap(old, next) {
			a.dropped.Add(int64(dropped))
			return c
		}
	}
}

// with returns n with a name that its current generation lacks, and how many names that drops.
func (n accountNames) with(name string, c *accountCounts) (next *accountNames, dropped int) {
	if len(n.current) < maxAccountNames/2 {
		current := maps.Clone(n.current)
		if current == nil {
			current = map[string]*accountCounts{}
		}
		current[name] = c
		return &accountNames{current, n.older}, 0
	}
	for old := range n.older {
		if n.current[old] == nil && old != name {
			dropped++
		}
	}
	return &accountNames{map[string]*accountCounts{name: c}, n.current}, dropped
}

// accountReport is what is published of one name.
type accountReport struct {
	Admitted int64            `json:"admitted"`
	Refused  map[string]int64 `json:"refused,omitempty"` // by reason
}

func (a *Accounts) byName() map[string]accountReport {
	out := map[string]accountReport{}
	n := a.names.Load()
	if n == nil {
		return out
	}
	for _, generation := range []map[string]*accountCounts{n.older, n.current} {
		for name, c := range generation {
			r := accountReport{Admitted: c.admitted.Load()}
			for i := range c.refused {
				if v := c.refused[i].Load(); v > 0 {
					if r.Refused == nil {
						r.Refused = map[string]int64{}
					}
					r.Refused[verdict.Reason(i).String()] = v
				}
			}
			out[name] = r
		}
	}
	return out
}
