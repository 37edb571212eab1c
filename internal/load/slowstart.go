package load

import (
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

const (
	// ColdTold is how long a backend server counts as cold after its last start
	// was told by another host. The host that measures the server repeats it with
	// each beat, of which it sends several in this time.
	ColdStartTTL = time.Second
	// slowStartLimit ends a slow start of a server that gets too few requests to
	// show that it is warm: without it a host that gets no callers would keep the
	// server from all others.
	slowStartLimit = 30 * time.Second
	// stepSuccesses is the number of successes per unit of limit before the limit
	// rises by one. 8 takes a server with 4 slots from 1 to all in 48 runs.
	stepSuccesses = 8
	// maxBackoff bounds the factor by which failures lengthen the steps.
	maxBackoff = 16
	// sameStart is the time within which signs of a start are taken for one:
	// each connection that breaks is a sign, and they break together.
	sameStart = 200 * time.Millisecond
)

// SlowStart raises the requests that a backend server gets at a time after a
// start from one to all of its slots, with its own successes. It is for servers
// that do not tell a cold start. The zero value is warm. All methods are safe for
// concurrent use and take no lock.
type SlowStart struct {
	step     atomic.Pointer[step] // nil: warm
	began    atomic.Int64         // clock.Time of the last sign of a start; 0: none
	instance atomic.Pointer[string]
}

// step is how far a slow start has come. It is immutable.
type step struct {
	limit     int // requests at a time
	successes int // since the limit was reached
	backoff   int // factor on the successes that the next step takes
}

// Begin notes a sign that the server's process started at now.
func (s *SlowStart) Begin(now clock.Time) {
	if last := s.StartedAt(); last != 0 && now.Sub(last) < sameStart {
		return
	}
	s.began.Store(max(int64(now), 1))
	s.step.Store(&step{limit: 1, backoff: 1})
}

// Began returns the time of the last sign of a start, or 0.
func (s *SlowStart) StartedAt() clock.Time { return clock.Time(s.began.Load()) }

// Instance takes the process that answered, and reports whether it is another
// one than before. An empty name says nothing.
func (s *SlowStart) Instance(now clock.Time, name string) (changed bool) {
	if name == "" {
		return false
	}
	old := s.instance.Load()
	if old != nil && *old == name {
		return false
	}
	if !s.instance.CompareAndSwap(old, &name) || old == nil {
		return false // noted by another thread, or the first one seen
	}
	s.Begin(now)
	return true
}

// Success counts a request that the server ran to its end. slots is how many it
// runs at the same time when it is warm.
func (s *SlowStart) RecordSuccess(slots int) {
	s.edit(func(old step) *step {
		old.successes++
		if old.successes < stepSuccesses*old.limit*old.backoff {
			return &old
		}
		if old.limit+1 >= slots {
			return nil
		}
		return &step{limit: old.limit + 1, backoff: old.backoff}
	})
}

// Failure goes back a step. Each one doubles the successes that a step takes, so
// that the limit is not driven into failure again and again.
func (s *SlowStart) RecordFailure() {
	s.edit(func(old step) *step {
		return &step{limit: max(1, old.limit-1), backoff: min(2*old.backoff, maxBackoff)}
	})
}

func (s *SlowStart) edit(f func(old step) *step) {
	for {
		old := s.step.Load()
		if old == nil || s.step.CompareAndSwap(old, f(*old)) {
			return
		}
	}
}

// Limit returns how many requests the server may get at a time.
func (s *SlowStart) Limit(now clock.Time, slots int) int {
	if v := s.step.Load(); v != nil && now.Sub(s.StartedAt()) < slowStartLimit {
		return min(v.limit, slots)
	}
	return slots
}

// Cold reports whether the slow start goes on.
func (s *SlowStart) Cold(now clock.Time) bool {
	return s.step.Load() != nil && now.Sub(s.StartedAt()) < slowStartLimit
}
