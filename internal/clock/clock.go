// Package clock is the source of time that is injected into code whose decisions
// depend on time, so that tests and simulations can set it. Times are durations
// since the start of the process on the monotonic clock, so that steps of the wall
// clock have no effect.
package clock

import (
	"sync/atomic"
	"time"
)

// Time is a point on a process-local monotonic clock, in nanoseconds since the
// clock was created.
type Time int64

// Add returns t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is before u.
func (t Time) Before(u Time) bool { return t < u }

// Clock returns the current time.
type Clock interface {
	Now() Time
}

// Monotonic is a Clock that reads Go's monotonic clock.
type Monotonic struct{ start time.Time }

// NewMonotonic returns a Clock that starts at zero.
func NewMonotonic() *Monotonic { return &Monotonic{start: time.Now()} }

// Now implements Clock.
func (m *Monotonic) Now() Time { return Time(time.Since(m.start)) }

// Manual is a Clock that tests and simulations set. It is safe for concurrent use.
type Manual struct{ now atomic.Int64 }

// Now implements Clock.
func (m *Manual) Now() Time { return Time(m.now.Load()) }

// Set moves the clock to t.
func (m *Manual) Set(t Time) { m.now.Store(int64(t)) }

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) { m.now.Add(int64(d)) }
