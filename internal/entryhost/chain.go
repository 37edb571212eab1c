package entryhost

import (
	"github.com/anvilfront/anvilfront/internal/controller/pause"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
)

// newChain returns the path of a request, in order. Requests of callers and
// orders forwarded by other entry hosts run through the same chain.
func (e *EntryHost) newChain() filter.Handler {
	fresh := func() bool { return pause.Fresh(e.store, e.clock.Now()) }
	return filter.Chain(
		e.stopping,         // refuses after the notice period of a stop
		filters.Deadline{}, // absolute deadline from the caller's budget
		filters.Route{},    // route and service
		&filters.Retry{Clock: e.clock, Counters: e.counters},  // repeats what follows
		&filters.Selection{Clock: e.clock},                    // chooses a pool
		&filters.Admission{Clock: e.clock, Admitter: e.pools}, // asks the lease holder for a slot
		&filters.Dispatch{Clock: e.clock, Admitter: e.pools, Transport: e.transport, Store: e.store, Fresh: fresh},
	)
}
