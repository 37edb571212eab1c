package entryhost

import (
	"github.com/anvilfront/anvilfront/internal/controller/pause"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
)

// newChain returns the filter chain, in the order in which a request runs through
// it. Requests from callers and orders forwarded by other entry hosts share it.
func (e *EntryHost) newChain() filter.Handler {
	fresh := func() bool { return pause.Fresh(e.store, e.clock.Now()) }
	return filter.Chain(
		// Corrects refusals of keyed requests: only the owner of a key may report
		// "not run".
		&filters.OrderGuard{Clock: e.clock, Orders: e.orders},
		// Refuses new requests after the notice period of a planned stop.
		e.stopping,
		// Turns the caller's time budget into an absolute deadline.
		filters.Deadline{},
		// Selects the route and the service.
		filters.Route{},
		// Runs a keyed order at its owner, at most once.
		&filters.OrderKey{Clock: e.clock, Orders: e.orders, Peers: e.peerClient},
		// Retries the rest of the chain within the retry budget of the route.
		&filters.Retry{Clock: e.clock, Counters: e.counters},
		// Reports the outcome of each attempt to the orderkey filter.
		filters.OrderAttempt{},
		// Refuses poison requests and checks each attempt for a crash.
		&filters.Poison{Clock: e.clock, Store: e.store, Reporter: e.poisonrequests},
		// Chooses a backend server by expected completion time.
		e.placement,
		// Sends the request, reads the response and determines the verdict.
		&filters.Dispatch{Clock: e.clock, Placement: e.placement, Transport: e.transport, Fresh: fresh},
	)
}
