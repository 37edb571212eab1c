package load

import (
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// maxWindow bounds the limit of a Window.
const maxWindow = 32

// Window admits at most n events in any span of time, without a lock.
type Window struct{ taken [maxWindow]atomic.Int64 }

// Take admits an event at now if fewer than n were admitted in the span before.
// Times of refused events leave no trace. A time of 0 counts as never.
func (w *Window) Take(now clock.Time, n int, span time.Duration) bool {
	for i := range min(n, maxWindow) {
		last := w.taken[i].Load()
		if last != 0 && now.Sub(clock.Time(last)) <= span {
			continue
		}
		if w.taken[i].CompareAndSwap(last, int64(now)) {
			return true
		}
	}
	return false
}
