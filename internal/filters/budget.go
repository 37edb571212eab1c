package filters

import (
	"maps"
	"sync/atomic"
)

// budgetBurst is how many retries the budget of a route can save up, where
// budgets are per host. It lets a route with few requests retry at all.
const budgetBurst = 10

const (
	// maxShare bounds a host's part of the fleet's slack, because a host that
	// knows no other may be cut off from many.
	maxShare = 2.5
	// unknownHosts is the factor by which there may be more hosts than are known:
	// hosts that join, and those behind a partition.
	unknownHosts = 1.5
)

// ShareOfSlack returns how many repeated sends a host may save up, so that those
// of all hosts stay within the slack that the fleet has beside its ratio. known
// is the number of hosts that it knows, itself included.
func SlackShare(slack float64, known int) float64 {
	return min(maxShare, slack/(unknownHosts*float64(max(known, 1))))
}

const budgetUnit = 1000 // parts of one token

// budget is a token bucket filled by requests: each request adds a share of a
// token and each retry takes one, so that retries stay a fraction of requests
// at any rate. The zero value is empty.
type budget struct{ parts atomic.Int64 }

// earn adds percent/100 of a token, up to burst tokens.
func (b *budget) earn(percent, burst float64) {
	add, most := int64(percent/100*budgetUnit), int64(burst*budgetUnit)
	for {
		old := b.parts.Load()
		next := min(old+add, most)
		if next == old || b.parts.CompareAndSwap(old, next) {
			return
		}
	}
}

// spend takes one token and returns false when there is none.
func (b *budget) spend() bool {
	for {
		old := b.parts.Load()
		if old < budgetUnit {
			return false
		}
		if b.parts.CompareAndSwap(old, old-budgetUnit) {
			return true
		}
	}
}

// table maps names to values that are created on first use. Reads take one
// atomic load; the map is copied when a name is new.
type table[T any] struct{ p atomic.Pointer[map[string]*T] }

func (t *table[T]) get(name string) *T {
	for {
		old := t.p.Load()
		if old != nil {
			if v := (*old)[name]; v != nil {
				return v
			}
		}
		next := map[string]*T{}
		if old != nil {
			next = maps.Clone(*old)
		}
		next[name] = new(T)
		t.p.CompareAndSwap(old, &next)
	}
}
