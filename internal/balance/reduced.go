package balance

import "github.com/anvilfront/anvilfront/internal/rendezvous"

// ReducedHosts returns the entry hosts that may use a server without a lease,
// one request each: the first floor(slots/2) of the rendezvous order of the
// listed entry hosts for that server.
func ReducedHosts(server string, slots int, listed []string) []string {
	order := rendezvous.Order(server, listed)
	return order[:min(max(slots/2, 0), len(order))]
}
