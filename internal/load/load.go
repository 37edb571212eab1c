// Package load estimates the load of one backend server for the placement filter,
// from the readings that the measures controller and responses supply and from the
// requests of this host and their outcomes. It also limits the probes of a server and
// the requests to one that has just started. Except for Budget, the types are
// lock-free and safe for concurrent use.
package load

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// Reading is the load that a backend server reported. It is immutable.
type Reading struct {
	At        clock.Time // time of the report, on this host's clock
	Running   int        // requests running
	Waiting   int        // requests in the server's queue
	Slots     int        // requests that it runs at the same time; 0 if not reported
	Speed     float64    // duration of work now, as a multiple of the usual duration: higher is slower
	ColdUntil clock.Time // end of the cold start; 0 if warm
	Unhealthy bool       // the health check failed
	Silent    bool       // the server did not respond to the probe
	Leaving   bool       // the server finishes its requests and takes no new ones
	RateLimit float64    // requests per second that the server takes from all hosts together; 0: no limit
	// FromResponse is set for a reading from the response to a request, which does not
	// say whether the server is cold.
	FromResponse bool
	ownInflight  int32 // this host's requests in flight when the reading arrived
}

const (
	// speedDecayTime is the age at which a reported speed has 1/e of its weight
	// left. Noisy neighbours change the speed of a server several times a second.
	speedDecayTime = 300 * time.Millisecond
	// failureDecayTime is the time after which the failure rate has decayed to 1/e,
	// so that a server without traffic is tried again.
	failureDecayTime = 2 * time.Second
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.25
	// othersWeight is the weight of the newest reading in the mean number of
	// requests of other hosts.
	othersWeight = 0.1
	// slowdownWeight is the weight of the newest observation in the slowdown.
	slowdownWeight = 0.15
	// slowdownTolerance is the excess duration that does not count as a slowdown,
	// because stale readings cause it by themselves: a tenth of the requests took up
	// to four times as long as predicted from their reading.
	slowdownTolerance = 0.4
	// slowdownDecayTime is the time after which the excess of an observed slowdown
	// has decayed to 1/e.
	slowdownDecayTime = 4 * time.Second
)

// State is the load of one backend server.
type State struct {
	reading        atomic.Pointer[Reading]
	inflight       atomic.Int32
	failure        atomic.Pointer[decayingValue]
	slowdown       atomic.Pointer[decayingValue]
	others         atomic.Uint64 // mean number of other hosts' requests in readings; float64 bits
	suspendedUntil atomic.Int64  // clock.Time
	declinedUntil  atomic.Int64  // clock.Time
	leaving        atomic.Bool
	fromResponse   atomic.Pointer[Reading] // newest reading from a response that was not taken yet
	outcomeCounts  outcomeCounts
	// Cold limits this host's requests to the server while it is cold.
	Cold Window
	// SlowStart limits them for a server that does not report a cold start.
	SlowStart SlowStart
	// RateLimiter limits them while the server names a rate limit.
	RateLimiter RateLimiter
}

// decayingValue is a value that decays exponentially to 0, its neutral value. It is
// immutable; nil stands for 0.
type decayingValue struct {
	value float64
	at    clock.Time
}

func (d *decayingValue) now(now clock.Time, decayTime time.Duration) float64 {
	if d == nil || d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-float64(now.Sub(d.at))/float64(decayTime))
}

// Observe records a reading unless one as new or newer is known.
func (s *State) Observe(r Reading) {
	r.ownInflight = s.inflight.Load()
	for {
		old := s.reading.Load()
		if old != nil && !old.At.Before(r.At) {
			return
		}
		if r.FromResponse && r.ColdUntil == 0 && old != nil {
			r.ColdUntil = old.ColdUntil
		}
		if s.reading.CompareAndSwap(old, &r) {
			s.updateOthersMean(&r)
			return
		}
	}
}

// ObserveResponse records a reading from the response to a request of this host.
func (s *State) ObserveResponse(r Reading) {
	r.FromResponse = true
	s.Observe(r)
	if newest := s.reading.Load(); newest != nil && newest.At == r.At {
		s.fromResponse.Store(newest)
	}
}

// TakeResponseReading returns the newest reading from a response since the previous call,
// or nil.
func (s *State) TakeResponseReading() *Reading {
	if s.fromResponse.Load() == nil {
		return nil
	}
	return s.fromResponse.Swap(nil)
}

// updateOthersMean adds a reading to the mean number of other hosts' requests. A
// concurrent update may be lost, which amounts to one lost reading.
func (s *State) updateOthersMean(r *Reading) {
	old := math.Float64frombits(s.others.Load())
	s.others.Store(math.Float64bits(old + othersWeight*(float64(r.others())-old)))
}

// others returns the number of requests of other hosts in the reading.
func (r *Reading) others() int { return max(0, r.Running-int(r.ownInflight)) }

// Reading returns the newest reading, or nil.
func (s *State) Reading() *Reading { return s.reading.Load() }

// ResetReading drops the reading, so that the server's load counts as unknown.
func (s *State) ResetReading() { s.reading.Store(nil) }

// Start counts a request of this host to the server as in flight.
func (s *State) Start() { s.inflight.Add(1) }

// TryStart counts a request like Start unless limit requests of this host are in
// flight already. It reports whether the request may be sent.
func (s *State) TryStart(limit int) bool {
	for {
		old := s.inflight.Load()
		if int(old) >= limit {
			return false
		}
		if s.inflight.CompareAndSwap(old, old+1) {
			return true
		}
	}
}

// End counts a request as no longer in flight.
func (s *State) End() { s.inflight.Add(-1) }

// Inflight returns the number of this host's requests in flight to the server.
func (s *State) Inflight() int { return int(s.inflight.Load()) }

// SuspendUntil excludes the server from placement until the given time, for example
// after a refused connection.
func (s *State) SuspendUntil(until clock.Time) { s.suspendedUntil.Store(int64(until)) }

// Suspended reports whether the server is excluded from placement at now.
func (s *State) Suspended(now clock.Time) bool { return int64(now) < s.suspendedUntil.Load() }

// DeclineUntil records that the server wants nothing from this host until then.
func (s *State) DeclineUntil(until clock.Time) {
	for {
		old := s.declinedUntil.Load()
		if int64(until) <= old || s.declinedUntil.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}

// Declined reports whether the server wants nothing from this host at now.
func (s *State) Declined(now clock.Time) bool { return int64(now) < s.declinedUntil.Load() }

// MarkLeaving records that the server said to this host that it is leaving. It stays so:
// a process that leaves does not return, and another one gets another State.
func (s *State) MarkLeaving() { s.leaving.Store(true) }

// Leaving reports whether the server said that it is leaving, to this host or in its
// newest reading.
func (s *State) Leaving() bool {
	r := s.reading.Load()
	return s.leaving.Load() || r != nil && r.Leaving
}

// UpdateFailureRate adds the results of n requests to the failure rate; failed is the
// number of those without a usable response.
func (s *State) UpdateFailureRate(now clock.Time, n, failed int) {
	old := s.failure.Load()
	rate := old.now(now, failureDecayTime)
	if failed == 0 && rate < 0.01 {
		return
	}
	for i := range n {
		x := 0.0
		if i < failed {
			x = 1
		}
		rate += failureWeight * (x - rate)
	}
	s.failure.CompareAndSwap(old, &decayingValue{rate, now})
}

// RecordSlowdown updates the slowdown with the ratio of an observed duration to the
// expected one.
func (s *State) RecordSlowdown(now clock.Time, ratio float64) {
	old := s.slowdown.Load()
	excess := old.now(now, slowdownDecayTime)
	excess += slowdownWeight * (min(ratio, maxDurationRatio) - 1 - excess)
	s.slowdown.CompareAndSwap(old, &decayingValue{excess, now})
}

// maxDurationRatio bounds one observation, so that a single request that hung does
// not determine the slowdown alone.
const maxDurationRatio = 8

// Estimate is the estimated current load of a server.
type Estimate struct {
	Known       bool
	Running     float64 // requests running, including those of this host since the reading
	Waiting     float64
	Slots       int
	Speed       float64 // expected duration of work as a multiple of the usual duration, from readings
	Slowdown    float64 // observed duration as a multiple of that; at least 1
	FailureRate float64 // share of requests that fail, 0 to 1
	Age         time.Duration
	Cold        bool
	Unhealthy   bool
	Silent      bool
	RateLimit   float64 // requests per second that the server takes from all hosts; 0: no limit
}

// Estimate returns the estimated load at now. usualSpeed is the mean of Speed over
// the service, to which a reading decays with age. slots is used if the server did
// not report its own.
func (s *State) Estimate(now clock.Time, usualSpeed float64, slots int) Estimate {
	e := Estimate{Slots: slots, Speed: usualSpeed, Slowdown: 1, FailureRate: s.failure.Load().now(now, failureDecayTime)}
	ownInflight := float64(s.inflight.Load())
	r := s.reading.Load()
	if r == nil {
		e.Running = ownInflight
		return e
	}
	e.Known, e.Age = true, now.Sub(r.At)
	if r.Slots > 0 {
		e.Slots = r.Slots
	}
	e.Cold, e.Unhealthy, e.Silent = now.Before(r.ColdUntil), r.Unhealthy, r.Silent
	e.RateLimit = r.RateLimit
	e.Waiting = float64(r.Waiting)
	e.Running = max(float64(r.Running)+ownInflight-float64(r.ownInflight), ownInflight-e.Waiting, 0)
	weight := math.Exp(-float64(max(e.Age, 0)) / float64(speedDecayTime))
	e.Speed = r.Speed*weight + usualSpeed*(1-weight)
	e.Slowdown = max(1, 1+s.slowdown.Load().now(now, slowdownDecayTime)-slowdownTolerance)
	return e
}

// DecayByAge corrects e for readings that are older than a request runs. The number
// of other hosts' requests decays to its mean, and that of waiting requests to 0:
// after usualDuration, the usual time of a run, 1/e of the difference is left.
func (s *State) DecayByAge(e *Estimate, usualDuration time.Duration) {
	r := s.reading.Load()
	if r == nil || usualDuration <= 0 {
		return
	}
	left := math.Exp(-float64(max(e.Age, 0)) / float64(usualDuration))
	mean := math.Float64frombits(s.others.Load())
	e.Running = float64(s.inflight.Load()) + mean + (float64(r.others())-mean)*left
	e.Waiting *= left
}

// OutcomeStats summarizes the outcomes of this host's requests to a server.
type OutcomeStats struct {
	Count, Failed int
	Ratio         float64 // mean duration as a multiple of the expected one; 0 if none was measured
}

type outcomeCounts struct {
	count, failed, measured, ratio atomic.Int64 // ratio is a sum in thousandths
}

// RecordOutcome records the outcome of one request of this host. ratio is its
// duration as a multiple of the expected one, or 0 if that is not known.
func (s *State) RecordOutcome(now clock.Time, failed bool, ratio float64) {
	s.outcomeCounts.count.Add(1)
	n := 0
	if failed {
		s.outcomeCounts.failed.Add(1)
		n = 1
	}
	s.UpdateFailureRate(now, 1, n)
	if ratio > 0 {
		s.outcomeCounts.measured.Add(1)
		s.outcomeCounts.ratio.Add(int64(1000 * min(ratio, maxDurationRatio)))
		s.RecordSlowdown(now, ratio)
	}
}

// TakeOutcomeStats returns the outcomes since the previous call and resets them.
func (s *State) TakeOutcomeStats() OutcomeStats {
	stats := OutcomeStats{Count: int(s.outcomeCounts.count.Swap(0)), Failed: int(s.outcomeCounts.failed.Swap(0))}
	if n := s.outcomeCounts.measured.Swap(0); n > 0 {
		stats.Ratio = float64(s.outcomeCounts.ratio.Swap(0)) / float64(1000*n)
	}
	return stats
}
