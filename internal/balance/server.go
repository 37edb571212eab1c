// Package balance holds the pure decisions on a pool of backend servers:
// limits, slow start, straggler weight, ejection, choice of a server, queue
// order and measuring budget. It starts no goroutine and opens no socket.
package balance

import (
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// Kind is the result of one grant on a backend server.
type Kind uint8

const (
	// Success is a complete answer that is not a server error.
	Success Kind = iota
	// Failure is a server error, a refused connection or a missing or cut
	// answer. Its service time is never used as a latency.
	Failure
	// Crash is a connection that was reset while the request ran.
	Crash
	// Shed is the documented answer that the server did not run the request.
	Shed
	// Unused is a grant that ended before the first byte.
	Unused
)

// Report is the load that a backend server reports about itself.
type Report struct {
	Inflight int           // running requests; negative: no report
	Own      int           // in flight by the holder's count when the report was made
	Age      time.Duration // time since the server made the report
}

// Observation is what the holder learned from one grant or probe.
type Observation struct {
	Kind        Kind
	ServiceTime time.Duration // for Success
	Instance    string        // identity of the server process, "" if unknown
	Load        Report
	Probe       bool // from a probe: Kind and ServiceTime are not used
}

const (
	// stepSuccesses is the number of successes per unit of limit before the
	// limit rises by one. 8 takes a server with 4 slots from 1 to 4 in 48 runs.
	stepSuccesses = 8
	// maxBackoff bounds the factor on stepSuccesses after repeated failures.
	maxBackoff = 8
	// alphaTime is the weight of one service time in the running mean.
	alphaTime = 0.1
	// alphaTrickle is used while ejected, when samples are rare.
	alphaTrickle = 0.3
	// alphaBase is the weight of one service time in the long-term mean.
	alphaBase = 0.01
	// alphaFail is the weight of one result in the failure share.
	alphaFail = 0.05
	// clipRatio bounds one service time to this multiple of the median, so
	// that one long request does not mark a server as a straggler.
	clipRatio = 8
	// stragglerRatio marks a warm server slower than this multiple of the median.
	stragglerRatio = 2.5
	// coldStragglerRatio is the same for a cold server, which is slower by nature.
	coldStragglerRatio = 6
	// recoveredRatio ends the straggler state.
	recoveredRatio = 1.5
	// jumpRatio marks a server as cold when its service time exceeds this
	// multiple of its own long-term mean.
	jumpRatio = 3
	// transit is a round trip between data centres. A request of another data
	// centre has it in its service time, which says nothing about the server.
	transit = 3 * time.Millisecond
	// overdueSlack is the time that a grant may take on its way and back.
	overdueSlack = 20 * time.Millisecond
	// minSamples is the number of service times before comparisons are made.
	minSamples = 3
	// baseSamples is the number of service times before the long-term mean counts.
	baseSamples = 30
	// distrustAfter is the number of contradicted reports before a server's
	// reports are ignored.
	distrustAfter = 3
	// distrustFor is how long reports are ignored after that.
	distrustFor = 10 * time.Second
	// alphaForeign is the weight of one report in the running mean of requests
	// of others. Single reports differ by what is on its way, and old ones by
	// what has ended since; on average both cancel out.
	alphaForeign = 0.1
	// foreignReports is the number of reports before the mean is used.
	foreignReports = 10
	// shedTrust is how long a report of free slots counts as contradicted by a shed answer.
	shedTrust = 100 * time.Millisecond
)

// server is the state of one backend server at the holder.
type server struct {
	name    string
	slots   int
	counter *Counter

	limit   int
	credit  int
	backoff int
	cold    bool

	mean      float64 // running mean of service times in seconds
	base      float64 // long-term mean in seconds
	samples   int
	overdue   int           // requests in flight for longer than overdueRatio medians
	oldest    time.Duration // age of the oldest of them
	straggler bool

	fails   float64 // share of failures
	streak  int     // failures in a row
	failing bool

	ejected  bool
	instance string

	foreign       int // requests of others by the last trusted reports
	foreignUntil  clock.Time
	foreignMean   float64 // running mean of reported minus own requests
	reports       int
	freeReported  clock.Time // when a trusted report last showed a free slot; 0: never
	contradicted  int
	distrustUntil clock.Time
}

func newServer(name string, slots int, counter *Counter) *server {
	s := &server{name: name, slots: max(slots, 1), counter: counter}
	s.setCold()
	return s
}

// setCold starts the server over with one request in flight.
func (s *server) setCold() {
	s.cold, s.limit, s.credit, s.backoff = true, 1, 0, 1
	s.mean, s.base, s.samples, s.overdue = 0, 0, 0, 0
	s.straggler = false
	s.foreign, s.foreignMean, s.freeReported, s.reports = 0, 0, 0, 0
}

// succeed counts one success towards the next step of the limit.
func (s *server) succeed() {
	s.streak = 0
	s.fails -= alphaFail * s.fails
	if s.straggler || s.failing || s.limit >= s.slots {
		return
	}
	s.credit++
	if s.credit < s.limit*stepSuccesses*s.backoff {
		return
	}
	s.credit = 0
	s.limit++
	if s.limit == s.slots {
		s.cold, s.backoff = false, 1
	}
}

// stepBack lowers the limit by one step. Each step back doubles the successes
// needed for the next step up, so that a server that cannot carry the higher
// limit is not driven into failure again and again.
func (s *server) stepBack() {
	s.limit = max(1, s.limit-1)
	s.credit = 0
	s.backoff = min(maxBackoff, s.backoff*2)
}

// shed lowers the limit without counting a failure.
func (s *server) shed() {
	s.limit = max(1, s.limit-1)
	s.credit = 0
}

// fail counts one failure. A cold server goes back a step at once. A warm one
// does when its failures exceed twice the median share of the pool, so that an
// error in the application itself does not shrink the whole service.
func (s *server) fail(medianFails float64) {
	s.streak++
	s.fails += alphaFail * (1 - s.fails)
	if s.cold || s.streak >= 2 || s.fails > 0.1+2*medianFails {
		s.stepBack()
	}
}

// time adds the service time of a success, in seconds. median is that of the
// service, or 0 if unknown.
func (s *server) time(v, median float64) {
	if median > 0 {
		v = min(v, clipRatio*median)
	}
	alpha := alphaTime
	if s.ejected {
		alpha = alphaTrickle
	}
	s.samples++
	if s.samples == 1 {
		s.mean, s.base = v, v
		return
	}
	s.mean += alpha * (v - s.mean)
	if !s.straggler {
		s.base += max(alphaBase, 1/float64(s.samples)) * (v - s.base)
	}
}

// estimate returns the running mean with requests that are overdue counted as
// service times of their present age, less one transit.
func (s *server) estimate(median float64) float64 {
	e := s.mean
	v := min(s.oldest.Seconds(), clipRatio*median)
	for range s.overdue {
		e = max(e, e+alphaTime*(v-e))
	}
	return e - transit.Seconds()
}

// judge updates the straggler and failing states against the pool's medians.
func (s *server) judge(median, medianFails float64) {
	if s.failing {
		s.failing = s.streak > 0 || s.fails > 0.3
	} else {
		s.failing = s.streak >= 5 || s.fails > 0.5+medianFails
	}
	if median <= 0 || s.samples+s.overdue < minSamples {
		return
	}
	e := s.estimate(median)
	if s.straggler {
		if e < recoveredRatio*median {
			s.setCold()
		}
		return
	}
	ratio := float64(stragglerRatio)
	if s.cold {
		ratio = coldStragglerRatio
	}
	s.straggler = e > ratio*median
	if !s.cold && s.samples >= baseSamples && e > jumpRatio*s.base && e > 2*median {
		// The capacity behind the new service time is unknown: ramp up again.
		s.cold, s.limit, s.credit = true, 1, 0
	}
}

// weight is the share of work relative to a server at the median, 1/16 to 1. A
// failing server that may not be ejected gets the least, because quick failures
// keep it idle and would draw work to it.
func (s *server) weight(median float64) float64 {
	if s.failing {
		return 1.0 / 16
	}
	e := s.estimate(median)
	if median <= 0 || s.samples+s.overdue < minSamples || e <= recoveredRatio*median {
		return 1
	}
	return max(1.0/16, median/e)
}
