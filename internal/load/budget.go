package load

import (
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// Budget is a token bucket that bounds the probes of one backend server, in count
// and bytes, to its share of the service's probe budget. It starts empty, so that
// a change of the probing host adds no probes. It is not safe for concurrent use.
type Budget struct {
	probesPerSecond, bytesPerSecond float64
	probesLeft, bytesLeft           float64
	refilledAt                      clock.Time
}

// budgetBurst is the time over which unused budget accumulates.
const budgetBurst = time.Second

// NewBudget returns an empty budget. If bytesPerSecond is 0, only the number of
// probes is limited.
func NewBudget(probesPerSecond, bytesPerSecond float64, now clock.Time) *Budget {
	return &Budget{probesPerSecond: probesPerSecond, bytesPerSecond: bytesPerSecond, refilledAt: now}
}

// Take takes one probe from the budget if one is left. A byte budget that earlier
// probes have overdrawn must recover first.
func (b *Budget) Take(now clock.Time) bool {
	b.refill(now)
	if b.probesPerSecond <= 0 || b.probesLeft < 1 || (b.bytesPerSecond > 0 && b.bytesLeft <= 0) {
		return false
	}
	b.probesLeft--
	return true
}

// SpendBytes subtracts the n bytes of a finished probe from the budget.
func (b *Budget) SpendBytes(n int) { b.bytesLeft -= float64(n) }

func (b *Budget) refill(now clock.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	burst := budgetBurst.Seconds()
	b.probesLeft = min(b.probesLeft+elapsed*b.probesPerSecond, max(1, b.probesPerSecond*burst))
	b.bytesLeft = min(b.bytesLeft+elapsed*b.bytesPerSecond, b.bytesPerSecond*burst)
}
