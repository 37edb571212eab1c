package feed

import (
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

const (
	// OutageThreshold is the time without a response of the platform to any host
	// after which the platform counts as unavailable. A registration expires after
	// three missed renewals, 1.5 s apart, so that none expires in a shorter outage.
	// It exceeds the 2 s (minWatchWait) within which a single watcher gets a response.
	OutageThreshold = 2800 * time.Millisecond
	// RemovalGrace is how long removals are held back after the platform has become
	// available again. Registrations that expired in the outage are renewed within
	// about two seconds.
	RemovalGrace = 2500 * time.Millisecond
)

// PlatformAvailability tracks when the platform last responded to this host or to
// another one. A host whose own requests are refused, or that alone has lost its
// connection, therefore does not make the platform count as unavailable.
type PlatformAvailability struct {
	lastResponse clock.Time // 0 before the first response
	recoveredAt  clock.Time // first response after the last outage; 0 if there was no outage
}

// RecordResponse records a response of the platform at t. It ignores a response
// that is not newer than the last one.
func (a *PlatformAvailability) RecordResponse(t clock.Time) {
	if t <= a.lastResponse {
		return
	}
	if a.lastResponse != 0 && t.Sub(a.lastResponse) > OutageThreshold {
		a.recoveredAt = t
	}
	a.lastResponse = t
}

// RecordEra records that the platform has come back from a copy, noticed at t. Registrations
// that the copy lacks are renewed as after an outage.
func (a *PlatformAvailability) RecordEra(t clock.Time) { a.recoveredAt = max(a.recoveredAt, t) }

// LastResponse returns the time of the newest response, or 0.
func (a *PlatformAvailability) LastResponse() clock.Time { return a.lastResponse }

// Unavailable reports whether the platform is unavailable at now.
func (a *PlatformAvailability) Unavailable(now clock.Time) bool {
	return a.lastResponse != 0 && now.Sub(a.lastResponse) > OutageThreshold
}

// HoldRemovalsUntil returns the time until which a removal received at now is held
// back, and whether it is held back at all.
func (a *PlatformAvailability) HoldRemovalsUntil(now clock.Time) (clock.Time, bool) {
	until := a.recoveredAt.Add(RemovalGrace)
	return until, a.recoveredAt != 0 && now.Before(until)
}
