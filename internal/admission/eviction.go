package admission

import (
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// Pace is the least rate at which a client has to send a request and to take a response.
type Pace struct {
	BytesPerSecond int64
	// After is how long a client may lag behind the rate before its connection counts as
	// slow and may be closed for others.
	After time.Duration
	// Grace is how long a connection that is unused or idle is kept at least, so that a
	// client that sends its request at once is not displaced before the request is read.
	Grace time.Duration
}

// allowed returns the time that the least rate allows for so many bytes.
func (p Pace) allowed(bytes int) time.Duration {
	return time.Duration(int64(bytes) * int64(time.Second) / max(1, p.BytesPerSecond))
}

// advance returns the new start of a transfer of which more bytes have passed: it moves
// forward by the time that the least rate allows for them, and never beyond now, so that a
// fast start does not excuse a later stop.
func (p Pace) advance(since, now clock.Time, bytes int) clock.Time {
	return max(1, min(now, since.Add(p.allowed(bytes))))
}

// EvictionReason is why a connection is closed to make room. Smaller values are closed
// first.
type EvictionReason uint8

// The reasons, in the order in which connections are closed.
const (
	NotEvicted  EvictionReason = iota // it runs a request, or has not taken long
	Unused                            // it has sent no byte of a request since it was opened
	SlowRequest                       // it has not sent the rest of a request for long
	SlowReader                        // it has not taken a response for long
	IdleLongest                       // it has served requests and waits for the next one
	NumEvictionReasons
)

// String returns the name used in counters and logs.
func (r EvictionReason) String() string {
	return [NumEvictionReasons]string{"none", "unused", "slow_request", "slow_reader", "idle"}[r]
}

// holdsMemory reports whether closing such a connection frees memory of requests.
func (r EvictionReason) holdsMemory() bool { return r == SlowRequest || r == SlowReader }

// eviction is the place of one connection in the order in which they are closed.
type eviction struct {
	reason EvictionReason
	since  clock.Time
}

// before reports whether e is closed ahead of o.
func (e eviction) before(o eviction) bool {
	if e.reason != o.reason {
		return e.reason < o.reason
	}
	return e.since < o.since
}

// evictionOf returns the place of a connection in the order. A connection is not closed while
// its request runs, unless it does not take a response: the request may have an effect, and
// its caller waits.
func evictionOf(a Activity, now clock.Time, p Pace) eviction {
	slow := func(since clock.Time) bool { return since != 0 && now.Sub(since) >= p.After }
	switch {
	case slow(a.Writing):
		return eviction{SlowReader, a.Writing}
	case a.Running, a.Writing != 0:
		return eviction{}
	case slow(a.Reading):
		return eviction{SlowRequest, a.Reading}
	case a.Reading != 0, a.Idle == 0, now.Sub(a.Idle) < p.Grace:
		return eviction{}
	case a.Served:
		return eviction{IdleLongest, a.Idle}
	}
	return eviction{Unused, a.Idle}
}
