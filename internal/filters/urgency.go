package filters

import "github.com/anvilfront/anvilfront/internal/manifest"

const (
	// leastUrgency is the share of its objective that waiting and work of a request of the
	// lowest priority may use up when no other requests compete with it; one of the
	// highest priority may use all of it.
	leastUrgency = 0.8
	// yieldingUrgency is the same for a request that competes with more urgent ones. It
	// is refused earlier, so that they find free slots.
	yieldingUrgency = 0.65
	// yieldingShare is the share of more urgent requests from which on yieldingUrgency
	// applies in full.
	yieldingShare = 0.2
	// urgencyWeight is the weight of the newest request in the share of more urgent ones.
	urgencyWeight = 0.02
)

// urgency holds the share of a service's requests that are more urgent than each
// priority. It answers a load that is more than the servers of a service can bear and in
// which requests of several priorities compete.
type urgency struct {
	moreUrgent [manifest.MaxPriority + 1]average
}

// observe records the priority of a request and returns the share of its objective that
// its waiting and work may use up.
func (u *urgency) observe(priority int) float64 {
	priority = min(max(priority, 0), manifest.MaxPriority)
	for i := range u.moreUrgent[:priority] {
		u.moreUrgent[i].addToMean(1, urgencyWeight, 0)
	}
	for i := priority; i <= manifest.MaxPriority; i++ {
		u.moreUrgent[i].addToMean(0, urgencyWeight, 0)
	}
	alone := leastUrgency + (1-leastUrgency)*float64(priority)/manifest.MaxPriority
	yields := min(1, u.moreUrgent[priority].get(0)/yieldingShare)
	return alone - yields*(alone-yieldingUrgency)
}
