package load

import (
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

const (
	// ColdStartTTL is how long a backend server counts as cold after another host
	// last reported its start. The host that probes the server repeats the report in
	// each heartbeat, several times within this period.
	ColdStartTTL = time.Second
	// SlowStartTimeout ends the slow start of a server that gets too few requests to
	// show that it is warm. Without it, a host without traffic would keep the server
	// cold for all other hosts.
	SlowStartTimeout = 30 * time.Second
	// successesPerStep is the number of successes per unit of limit before the limit
	// rises by one. With 8, a server with 4 slots goes from 1 to all in 48 requests.
	successesPerStep = 8
	// maxBackoffFactor bounds the factor by which failures lengthen the steps.
	maxBackoffFactor = 16
	// startSignalWindow is the time within which several signs of a start count as
	// one: each broken connection is a sign, and the connections to a process break
	// together.
	startSignalWindow = 200 * time.Millisecond
)

// SlowStart limits the concurrent requests to a backend server that has started,
// and raises the limit from one to all of its slots as requests succeed. It is for
// servers that do not report a cold start. The zero value is warm. All methods are
// lock-free and safe for concurrent use.
type SlowStart struct {
	step      atomic.Pointer[step] // nil: warm
	startedAt atomic.Int64         // clock.Time of the last sign of a start; 0: none
	instance  atomic.Pointer[string]
}

// step is the progress of a slow start. It is immutable.
type step struct {
	limit     int  // concurrent requests
	successes int  // since the limit was set
	backoff   int  // factor on the successes needed for the next step
	assumed   bool // no sign of a start was seen; see Assume
}

// Begin starts a slow start at a sign that the server's process started at now.
func (s *SlowStart) Begin(now clock.Time) {
	if last := s.StartedAt(); last != 0 && now.Sub(last) < startSignalWindow {
		return
	}
	s.startedAt.Store(max(int64(now), 1))
	s.step.Store(&step{limit: 1, backoff: 1})
}

// Assume starts a slow start without a sign of a start, because nothing is known of the
// server. ConfirmWarm ends it.
func (s *SlowStart) Assume(now clock.Time) {
	if s.step.CompareAndSwap(nil, &step{limit: 1, backoff: 1, assumed: true}) {
		s.startedAt.Store(max(int64(now), 1))
	}
}

// ConfirmWarm ends a slow start that was only assumed.
func (s *SlowStart) ConfirmWarm() {
	if v := s.step.Load(); v != nil && v.assumed && s.step.CompareAndSwap(v, nil) {
		s.startedAt.Store(0)
	}
}

// Assumed reports whether the slow start in progress is an assumption.
func (s *SlowStart) Assumed() bool {
	v := s.step.Load()
	return v != nil && v.assumed
}

// StartedAt returns the time of the last sign of a start, or 0.
func (s *SlowStart) StartedAt() clock.Time { return clock.Time(s.startedAt.Load()) }

// ObserveInstance records the name of the server process that sent a response. If
// it differs from the previous one, it begins a slow start and returns true. An empty
// name is ignored.
func (s *SlowStart) ObserveInstance(now clock.Time, name string) (changed bool) {
	if name == "" {
		return false
	}
	old := s.instance.Load()
	if old != nil && *old == name {
		return false
	}
	if !s.instance.CompareAndSwap(old, &name) || old == nil {
		return false // recorded by another goroutine, or the first one seen
	}
	s.Begin(now)
	return true
}

// RecordSuccess counts a request that the server completed. slots is the number of
// requests that it runs at the same time when warm.
func (s *SlowStart) RecordSuccess(slots int) {
	s.update(func(old step) *step {
		old.successes++
		if old.successes < successesPerStep*old.limit*old.backoff {
			return &old
		}
		if old.limit+1 >= slots {
			return nil
		}
		return &step{limit: old.limit + 1, backoff: old.backoff, assumed: old.assumed}
	})
}

// RecordFailure lowers the limit by one step. Each failure doubles the successes
// needed for a step, so that the limit is not raised into failure repeatedly.
func (s *SlowStart) RecordFailure() {
	s.update(func(old step) *step {
		return &step{limit: max(1, old.limit-1), backoff: min(2*old.backoff, maxBackoffFactor), assumed: old.assumed}
	})
}

// update replaces the step by f's result, unless the server is warm.
func (s *SlowStart) update(f func(old step) *step) {
	for {
		old := s.step.Load()
		if old == nil || s.step.CompareAndSwap(old, f(*old)) {
			return
		}
	}
}

// Limit returns the maximum number of concurrent requests to the server.
func (s *SlowStart) Limit(now clock.Time, slots int) int {
	if v := s.step.Load(); v != nil && now.Sub(s.StartedAt()) < SlowStartTimeout {
		return min(v.limit, slots)
	}
	return slots
}

// Cold reports whether the slow start is in progress.
func (s *SlowStart) Cold(now clock.Time) bool {
	return s.step.Load() != nil && now.Sub(s.StartedAt()) < SlowStartTimeout
}
