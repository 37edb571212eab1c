package balance

import (
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// Budget bounds the probes of one pool to its share of the service's measuring
// budget. It starts empty, so that a change of holder adds no probes.
type Budget struct {
	probes, bytes       float64 // per second
	probeLeft, byteLeft float64
	at                  clock.Time
}

// budgetBurst is the time for which an unused budget is kept.
const budgetBurst = time.Second

// NewBudget returns an empty budget. bytes 0 means no limit besides probes.
func NewBudget(probes, bytes float64, now clock.Time) *Budget {
	return &Budget{probes: probes, bytes: bytes, at: now}
}

// Take takes one probe from the budget if there is one. A byte debt from
// earlier probes must be paid off first.
func (b *Budget) Take(now clock.Time) bool {
	b.fill(now)
	if b.probes <= 0 || b.probeLeft < 1 || (b.bytes > 0 && b.byteLeft <= 0) {
		return false
	}
	b.probeLeft--
	return true
}

// Spent takes n bytes of a finished probe off the budget.
func (b *Budget) Spent(n int) { b.byteLeft -= float64(n) }

// Wait returns the time until Take can succeed, at most budgetBurst when
// bytes are owed, or 0 if there is no budget at all.
func (b *Budget) Wait(now clock.Time) time.Duration {
	b.fill(now)
	if b.probes <= 0 {
		return 0
	}
	wait := time.Duration((1 - b.probeLeft) / b.probes * float64(time.Second))
	if b.bytes > 0 && b.byteLeft <= 0 {
		wait = max(wait, time.Duration((1-b.byteLeft)/b.bytes*float64(time.Second)))
	}
	return max(wait, time.Millisecond)
}

func (b *Budget) fill(now clock.Time) {
	dt := now.Sub(b.at).Seconds()
	if dt <= 0 {
		return
	}
	b.at = now
	burst := budgetBurst.Seconds()
	b.probeLeft = min(b.probeLeft+dt*b.probes, max(1, b.probes*burst))
	b.byteLeft = min(b.byteLeft+dt*b.bytes, b.bytes*burst)
}
