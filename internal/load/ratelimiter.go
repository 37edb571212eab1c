package load

import (
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

const (
	// maxAhead is how many requests a RateLimiter admits ahead of an even rate after a
	// pause. Requests do not arrive evenly: without this, a fifth of the rate is lost.
	maxAhead = 3
	// maxAheadTime bounds how far ahead they are, so that a server that takes less than
	// a request in this time gets none ahead.
	maxAheadTime = 2 * time.Second
)

// RateLimiter admits requests to one backend server at a rate that may change with
// each call. The zero value admits maxAhead requests and one more at once. It is
// lock-free and safe for concurrent use.
type RateLimiter struct {
	next atomic.Int64 // clock.Time at which the next request is due at an even rate
}

// Restart makes the limiter wait for one interval, and admit none ahead, for a host that takes over from
// another one.
func (l *RateLimiter) Restart(now clock.Time, perSecond float64) {
	l.next.Store(int64(now.Add(interval(perSecond) + ahead(perSecond))))
}

// Ready reports whether a request may be sent now.
func (l *RateLimiter) Ready(now clock.Time, perSecond float64) bool {
	return clock.Time(l.next.Load()).Sub(now) <= ahead(perSecond)
}

// Take is Ready, and counts the request if it may be sent.
func (l *RateLimiter) Take(now clock.Time, perSecond float64) bool {
	for {
		old := l.next.Load()
		if clock.Time(old).Sub(now) > ahead(perSecond) {
			return false
		}
		if l.next.CompareAndSwap(old, int64(max(clock.Time(old), now).Add(interval(perSecond)))) {
			return true
		}
	}
}

// ahead returns how long before a request is due it may be sent.
func ahead(perSecond float64) time.Duration {
	if i := interval(perSecond); i <= maxAheadTime {
		return min(maxAhead*i, maxAheadTime)
	}
	return 0
}

func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}
