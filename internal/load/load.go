// Package load holds what this host knows of the load of one backend server:
// the newest reading, its own requests since, and what its requests met there.
// All methods are safe for concurrent use and take no lock.
package load

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// Reading is what a backend server said of itself. It is immutable.
type Reading struct {
	At        clock.Time // when the server said it, on this host's clock
	Running   int        // requests running
	Waiting   int        // requests in the server's queue
	Slots     int        // requests that it runs at the same time; 0 if it did not say
	Speed     float64    // duration of work now, as a multiple of the usual one
	ColdUntil clock.Time // end of the cold start; 0 when warm
	Unhealthy bool       // the health answer was negative
	Silent    bool       // the server did not answer the probe
	own       int32      // requests of this host in flight when the reading came
}

const (
	// speedMemory is how long the momentary speed of a server tells something.
	// Noisy neighbours change it some times a second.
	speedMemory = 300 * time.Millisecond
	// failureMemory is the time after which a failure counts for 1/e of its
	// weight, so that a server without traffic is tried again.
	failureMemory = 2 * time.Second
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.25
	// othersWeight is the weight of the newest reading in the mean of the requests
	// of other hosts.
	othersWeight = 0.1
	// slowdownWeight is the weight of the newest observation in the slowdown.
	slowdownWeight = 0.15
	// slowdownSlack is the excess that readings of some age cause by themselves: a
	// tenth of the runs took up to four times as long as their reading promised.
	slowdownSlack = 0.4
	// slowdownMemory is the time after which an observed slowdown counts for
	// 1/e of its excess.
	slowdownMemory = 4 * time.Second
)

// State is the load of one backend server.
type State struct {
	reading  atomic.Pointer[Reading]
	inflight atomic.Int32
	failure  atomic.Pointer[decaying]
	slowdown atomic.Pointer[decaying]
	others   atomic.Uint64 // mean of the requests of other hosts in readings; float64 bits
	shunned  atomic.Int64  // clock.Time until which no request is sent
	tally    tally
	// Cold bounds this host's requests to the server while it is cold.
	Cold Window
	// SlowStart bounds them for a server that does not tell when it is cold.
	SlowStart SlowStart
}

// decaying is a value that returns to its neutral value with time.
type decaying struct {
	value float64
	at    clock.Time
}

func (d *decaying) now(now clock.Time, memory time.Duration) float64 {
	if d == nil || d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-float64(now.Sub(d.at))/float64(memory))
}

// Observe takes a reading unless a newer one is known.
func (s *State) Observe(r Reading) {
	r.own = s.inflight.Load()
	for {
		old := s.reading.Load()
		if old != nil && !old.At.Before(r.At) {
			return
		}
		if s.reading.CompareAndSwap(old, &r) {
			s.average(&r)
			return
		}
	}
}

// average follows the number of requests of other hosts. A lost update between
// two threads is one lost reading.
func (s *State) average(r *Reading) {
	old := math.Float64frombits(s.others.Load())
	s.others.Store(math.Float64bits(old + othersWeight*(float64(r.others())-old)))
}

func (r *Reading) others() int { return max(0, r.Running-int(r.own)) }

// Reading returns the newest reading, or nil.
func (s *State) Reading() *Reading { return s.reading.Load() }

// Forget drops the reading, so that the server counts as unknown.
func (s *State) ResetReading() { s.reading.Store(nil) }

// Start counts a request of this host that is sent to the server.
func (s *State) Start() { s.inflight.Add(1) }

// StartWithin counts a request like Start unless limit requests of this host are
// in flight. It reports whether the request may be sent.
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

// End counts down.
func (s *State) End() { s.inflight.Add(-1) }

// Inflight returns this host's requests in flight at the server.
func (s *State) Inflight() int { return int(s.inflight.Load()) }

// Shun keeps requests away until t, as after a refused connection.
func (s *State) SuspendUntil(t clock.Time) { s.shunned.Store(int64(t)) }

// Shunned reports whether requests are kept away at now.
func (s *State) Suspended(now clock.Time) bool { return int64(now) < s.shunned.Load() }

// Outcomes takes the outcomes of n requests of which failed had no usable answer.
func (s *State) Outcomes(now clock.Time, n, failed int) {
	old := s.failure.Load()
	rate := old.now(now, failureMemory)
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
	s.failure.CompareAndSwap(old, &decaying{rate, now})
}

// Slower takes an observed duration as a multiple of the expected one.
func (s *State) RecordSlowdown(now clock.Time, ratio float64) {
	old := s.slowdown.Load()
	excess := old.now(now, slowdownMemory)
	excess += slowdownWeight * (min(ratio, maxRatio) - 1 - excess)
	s.slowdown.CompareAndSwap(old, &decaying{excess, now})
}

// maxRatio bounds one observation, so that a single request that hung does not
// decide alone.
const maxRatio = 8

// Estimate is the load of a server as it is believed to be now.
type Estimate struct {
	Known       bool
	Running     float64 // requests running, those of this host since the reading included
	Waiting     float64
	Slots       int
	Speed       float64 // expected duration of work, as a multiple of the usual one, from what servers say
	Slowdown    float64 // by how much requests took longer than that; 1 if they did not
	FailureRate float64 // share of requests that fail, 0 to 1
	Age         time.Duration
	Cold        bool
	Unhealthy   bool
	Silent      bool
}

// Estimate returns the load at now. usual is the mean of Speed over the
// service, to which an old reading decays; slots is used when the server did
// not say how many it has.
func (s *State) Estimate(now clock.Time, usual float64, slots int) Estimate {
	e := Estimate{Slots: slots, Speed: usual, Slowdown: 1, FailureRate: s.failure.Load().now(now, failureMemory)}
	own := float64(s.inflight.Load())
	r := s.reading.Load()
	if r == nil {
		e.Running = own
		return e
	}
	e.Known, e.Age = true, now.Sub(r.At)
	if r.Slots > 0 {
		e.Slots = r.Slots
	}
	e.Cold, e.Unhealthy, e.Silent = now.Before(r.ColdUntil), r.Unhealthy, r.Silent
	e.Waiting = float64(r.Waiting)
	e.Running = max(float64(r.Running)+own-float64(r.own), own-e.Waiting, 0)
	recent := math.Exp(-float64(max(e.Age, 0)) / float64(speedMemory))
	e.Speed = r.Speed*recent + usual*(1-recent)
	e.Slowdown = max(1, 1+s.slowdown.Load().now(now, slowdownMemory)-slowdownSlack)
	return e
}

// Outdate lets the requests of other hosts that a reading counted end with time,
// where readings are older than a request runs: after turnover, the usual time of
// a run, 1/e of their difference from the mean is left.
func (s *State) DecayByAge(e *Estimate, turnover time.Duration) {
	r := s.reading.Load()
	if r == nil || turnover <= 0 {
		return
	}
	left := math.Exp(-float64(max(e.Age, 0)) / float64(turnover))
	mean := math.Float64frombits(s.others.Load())
	e.Running = float64(s.inflight.Load()) + mean + (float64(r.others())-mean)*left
	e.Waiting *= left
}

// Tally counts what this host's requests met since the last Drain.
type OutcomeStats struct {
	Count, Failed int
	Ratio         float64 // mean duration as a multiple of the expected one; 0 if none was measured
}

type tally struct {
	count, failed, measured, ratio atomic.Int64 // ratio in thousandths, summed
}

// Note takes the outcome of one request of this host. ratio is 0 when its
// duration tells nothing.
func (s *State) RecordOutcome(now clock.Time, failed bool, ratio float64) {
	s.tally.count.Add(1)
	n := 0
	if failed {
		s.tally.failed.Add(1)
		n = 1
	}
	s.Outcomes(now, 1, n)
	if ratio > 0 {
		s.tally.measured.Add(1)
		s.tally.ratio.Add(int64(1000 * min(ratio, maxRatio)))
		s.RecordSlowdown(now, ratio)
	}
}

// Drain returns the tally and starts a new one.
func (s *State) TakeOutcomeStats() OutcomeStats {
	t := OutcomeStats{Count: int(s.tally.count.Swap(0)), Failed: int(s.tally.failed.Swap(0))}
	if n := s.tally.measured.Swap(0); n > 0 {
		t.Ratio = float64(s.tally.ratio.Swap(0)) / float64(1000*n)
	}
	return t
}
