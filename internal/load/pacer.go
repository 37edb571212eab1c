package load

import (
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// pacerBurst is the time over which unused permits of a Pacer accumulate.
const pacerBurst = time.Second

// Pacer limits the rate of an action. It is lock-free and safe for concurrent use. The
// zero value has all permits of pacerBurst.
type Pacer struct {
	usedUntil atomic.Int64 // clock.Time up to which the permits are used
}

// Take takes a permit if one is left at a rate per second.
func (p *Pacer) Take(now clock.Time, perSecond float64) bool {
	if perSecond <= 0 {
		return false
	}
	step := time.Duration(float64(time.Second) / perSecond)
	for {
		old := p.usedUntil.Load()
		next := max(clock.Time(old), now.Add(-pacerBurst)).Add(step)
		if next > now {
			return false
		}
		if p.usedUntil.CompareAndSwap(old, int64(next)) {
			return true
		}
	}
}
