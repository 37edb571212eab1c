package feed

import (
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

const (
	// OutageGap is the time without an answer of the platform to any host after
	// which it counts as having been away. A registration lapses after three
	// missed renewals of 1.5 s, so that a shorter outage makes none lapse, and
	// a lone watcher is answered at least every 2 s (leastWait).
	OutageThreshold = 2800 * time.Millisecond
	// LapseGrace is how long after the platform's return removals are held back.
	// Registrations that lapsed meanwhile are back within about two seconds.
	RemovalGrace = 2500 * time.Millisecond
)

// Contact follows when the platform answered, this host or another one. A host
// that is refused or cut off by itself does not make the platform count as away.
type PlatformAvailability struct {
	answered clock.Time // 0 before the first answer
	returned clock.Time // first answer after the last outage; 0 if there was none
}

// Answered takes an answer of the platform at t. Older ones change nothing.
func (c *PlatformAvailability) RecordResponse(t clock.Time) {
	if t <= c.answered {
		return
	}
	if c.answered != 0 && t.Sub(c.answered) > OutageThreshold {
		c.returned = t
	}
	c.answered = t
}

// Last returns the time of the newest answer, or 0.
func (c *PlatformAvailability) LastResponse() clock.Time { return c.answered }

// Away reports whether the platform is away at now.
func (c *PlatformAvailability) Unavailable(now clock.Time) bool {
	return c.answered != 0 && now.Sub(c.answered) > OutageThreshold
}

// HoldUntil returns the time up to which a removal that is seen at now is held
// back, and whether it is.
func (c *PlatformAvailability) HoldRemovalsUntil(now clock.Time) (clock.Time, bool) {
	until := c.returned.Add(RemovalGrace)
	return until, c.returned != 0 && now.Before(until)
}
