package load

import (
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// maxWindowEvents is the largest limit that a Window supports.
const maxWindowEvents = 32

// Window limits the events in any span of time. It is lock-free and safe for
// concurrent use.
type Window struct{ admitted [maxWindowEvents]atomic.Int64 }

// Take admits an event at now if fewer than n were admitted in the preceding span.
// Refused events are not counted. A stored time of 0 means that the entry is unused.
func (w *Window) Take(now clock.Time, n int, span time.Duration) bool {
	for i := range min(n, maxWindowEvents) {
		last := w.admitted[i].Load()
		if last != 0 && now.Sub(clock.Time(last)) <= span {
			continue
		}
		if w.admitted[i].CompareAndSwap(last, int64(now)) {
			return true
		}
	}
	return false
}
