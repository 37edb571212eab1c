// Package precedence decides which requests of client accounts are refused first when a
// service is short of room. The priority of an account goes before that of the route; an
// account that sends many times its usual load yields to all others; none is starved. It reads
// no clock, knows nothing of messages, and takes its randomness from the caller.
package precedence

import (
	"math"
	"sync/atomic"

	"github.com/anvilfront/anvilfront/internal/manifest"
)

const (
	// ranks is the number of pairs of priorities of an account and a route.
	ranks = (manifest.MaxPriority + 1) * (manifest.MaxPriority + 1)
	// leastUrgency is the share of its objective that waiting and work of a request of the
	// lowest rank may use up when none of a higher rank competes with it.
	leastUrgency = 0.8
	// yieldingUrgency is the same for a request that competes with ones of a higher rank.
	yieldingUrgency = 0.65
	// yieldingMostOccupied and hotMostOccupied are the shares of occupied slots beyond which
	// requests are refused that compete with ones of a higher rank, or whose account sends
	// many times its usual load. Servers slow down above 0.8; with 0.6 for ranks, 3% fewer of
	// all requests were in time where three quarters of the slots are in use.
	yieldingMostOccupied, hotMostOccupied = 0.75, 0.65
	// yieldingShare is the share of requests of a higher rank from which on yieldingUrgency
	// applies in full.
	yieldingShare = 0.2
	// weight is the weight of the newest request in the share of higher ranks.
	weight = 0.02
	// exemptShare is the share of requests that neither their rank nor the load of their
	// account holds back. They are served as often as those of the highest rank, so that each
	// account is served a quarter as often as all requests are.
	exemptShare = 0.27
	// mildHeat and fullHeat are the multiples of its usual load at which an account begins
	// to yield, and yields with all requests that are not exempt.
	mildHeat, fullHeat = 2.0, 3.5
	// exemptHeat is the multiple of its usual load up to which exemptShare applies. An
	// account that sends more has exemptShare*exemptHeat, 1.35 times its usual load, exempt,
	// since others must not pay for its growth without bound.
	exemptHeat = 5.0
)

// Request is what the order depends on.
type Request struct {
	AccountPriority, RoutePriority int     // 0 to manifest.MaxPriority; higher is served first
	Heat                           float64 // load of the account as a multiple of its usual load; 0: not known
	Draw                           Draw
}

// Draw holds two independent random numbers from 0 to 1 that decide on a request. They must be
// the same on all hosts when its caller sends it again: with new ones for each try, a request
// would find room by being sent often enough.
type Draw struct{ Exempt, Yield float64 }

// Standing is how a request stands among those of other accounts.
type Standing struct {
	Urgency float64 // share of the objective that waiting and work may use up
	// MostOccupied is the share of a service's slots beyond which the request is refused, or
	// 0 if there is none.
	MostOccupied float64
}

// Order holds the share of a service's requests that have a higher rank than each rank. The
// zero value has seen none. It is safe for concurrent use and takes no lock.
type Order struct {
	higher [ranks]atomic.Uint64 // bits of a float64
}

// Judge records a request and returns its standing.
func (o *Order) Judge(r Request) Standing {
	rank := clamp(r.AccountPriority)*(manifest.MaxPriority+1) + clamp(r.RoutePriority)
	o.record(rank)
	if r.Draw.Exempt < exempt(r.Heat) {
		return Standing{Urgency: 1}
	}
	alone := leastUrgency + (1-leastUrgency)*float64(rank)/(ranks-1)
	yields := min(1, math.Float64frombits(o.higher[rank].Load())/yieldingShare)
	s := Standing{Urgency: alone - yields*(alone-yieldingUrgency)}
	switch {
	case r.Draw.Yield < (r.Heat-mildHeat)/(fullHeat-mildHeat):
		s.MostOccupied = hotMostOccupied
	case r.Draw.Yield < yields:
		s.MostOccupied = yieldingMostOccupied
	}
	return s
}

// exempt returns the share of an account's requests that nothing holds back.
func exempt(heat float64) float64 { return exemptShare * exemptHeat / max(exemptHeat, heat) }

func clamp(priority int) int { return min(max(priority, 0), manifest.MaxPriority) }

// record moves the shares towards a request of the given rank. When two goroutines update a
// share at the same time, one request is lost in it.
func (o *Order) record(rank int) {
	for i := range o.higher {
		is := 0.0
		if rank > i {
			is = 1
		}
		old := o.higher[i].Load()
		share := math.Float64frombits(old)
		o.higher[i].CompareAndSwap(old, math.Float64bits(share+weight*(is-share)))
	}
}
