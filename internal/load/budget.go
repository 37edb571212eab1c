package load

import (
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// Budget bounds the measurements of one backend server to its share of the
// service's measuring budget. It starts empty, so that a change of the host that
// measures adds none. It is used by one goroutine.
type Budget struct {
	measurements, bytes float64 // per second
	left, byteLeft      float64
	at                  clock.Time
}

// budgetBurst is the time for which an unused budget is kept.
const budgetBurst = time.Second

// NewBudget returns an empty budget. measurements and bytes are per
// second; bytes 0 means no limit besides the measurements.
func NewBudget(measurements, bytes float64, now clock.Time) *Budget {
	return &Budget{measurements: measurements, bytes: bytes, at: now}
}

// Take takes one measurement from the budget if there is one. A byte debt from
// earlier ones must be paid off first.
func (b *Budget) Take(now clock.Time) bool {
	b.fill(now)
	if b.measurements <= 0 || b.left < 1 || (b.bytes > 0 && b.byteLeft <= 0) {
		return false
	}
	b.left--
	return true
}

// Spent takes n bytes of a finished measurement off the budget.
func (b *Budget) SpendBytes(n int) { b.byteLeft -= float64(n) }

func (b *Budget) fill(now clock.Time) {
	dt := now.Sub(b.at).Seconds()
	if dt <= 0 {
		return
	}
	b.at = now
	burst := budgetBurst.Seconds()
	b.left = min(b.left+dt*b.measurements, max(1, b.measurements*burst))
	b.byteLeft = min(b.byteLeft+dt*b.bytes, b.bytes*burst)
}
