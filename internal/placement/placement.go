// Package placement decides whether a request is sent and to which backend server,
// from the servers' estimated load and expected completion times and the request's
// latency objective and deadline. The placement filter calls it for each attempt.
// It reads no clock, keeps no state and takes its randomness from the caller.
package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/anvilfront/anvilfront/internal/load"
)

const (
	// nearFullUtilization is the share of occupied slots above which a server
	// slows down.
	nearFullUtilization = 0.8
	// nearFullSlowdown is the factor by which backend servers slow down above that
	// utilization.
	nearFullSlowdown = 1.7
	// remotePenalty is the part of PenaltyScale by which a server of another data
	// centre must finish earlier than a local one, since traffic between data
	// centres is charged.
	remotePenalty = 0.4
	// unknownPenalty is the part of PenaltyScale added for a server without a
	// recent reading.
	unknownPenalty = 0.5
	// unknownSpread is the mean of the random part of the score of a server without any
	// reading, as a multiple of the work, for a server of one slot. The least of such values
	// spreads requests in proportion to the slots: of two servers of which nothing is known,
	// the one with twice the slots is chosen about twice as often.
	unknownSpread = 0.6
	// unhealthyPenalty is the part of PenaltyScale added for a server that fails
	// its health check. It is not excluded, because health checks can be wrong.
	unhealthyPenalty = 1.0
	// connectionPenalty is the part of PenaltyScale added for a server to which a connection
	// would have to be opened. A host sees few requests for each of many servers: without
	// it, nearly every request opens a connection, and idle ones expire unused.
	connectionPenalty = 0.1
	// scoreJitter is the relative width of the random factor that keeps hosts with
	// equal views from choosing the same server.
	scoreJitter = 0.10
	// maxFailureRate bounds the failure rate in the score, so that a server that
	// fails every request is still tried when all others are worse.
	maxFailureRate = 0.95
	// retryTimeFactor is the multiple of the objective that must be left until the
	// deadline for a caller to retry later in time.
	retryTimeFactor = 2
	// readingDecayTime is the age at which a reading has 1/e of its weight left against the
	// service's typical load: requests start and end, and neighbours slow a server down or
	// stop, several times a second.
	readingDecayTime = 100 * time.Millisecond
	// maxReadingAge is the age up to which a reading counts as the current occupancy
	// of a server. It is five times the longest probe interval.
	maxReadingAge = 500 * time.Millisecond
)

// Requirements holds the demand and the time limits of a request.
type Requirements struct {
	Work              time.Duration // usual duration of its work
	Objective         time.Duration // time left until the response loses its value
	TotalObjective    time.Duration // the objective when the request arrived
	PenaltyScale      time.Duration // scale of the penalties for remote, unknown and unhealthy servers; the objective if the route has one
	TimeLeft          time.Duration // time left until the deadline
	SpareCapacityOnly bool          // use only a server with capacity, and only if in time: the request already runs elsewhere
	Urgency           float64       // 0 to 1; the share of the objective that waiting and work may use up
	// Typical is the mean completion time of the servers by their newest readings, or 0 if
	// it is not known. The older a reading, the more it counts in its place.
	Typical      time.Duration
	MostOccupied float64 // refused while a greater share of the slots is occupied: other accounts go first; 0: never
}

// Candidate is one backend server.
type Candidate struct {
	load.Estimate
	Local          bool          // in the local data centre
	ExtraRoundTrip time.Duration // round trip beyond that within the local data centre
	// RejectsExcess is set for a server that rejects requests beyond its slots. Its
	// score worsens with its utilization, to leave free slots to hosts that do not
	// know of this request yet.
	RejectsExcess bool
	// NeedsConnection is set for a server to which a connection would have to be opened.
	NeedsConnection bool
	// Queried is set for a server that was queried for this request. It has no random
	// factor, so that a server with an older reading does not win a tie.
	Queried bool
}

// Option is one server that could be chosen. The zero value is none.
type Option struct {
	Index          int           // of the candidate, as passed to Consider
	CompletionTime time.Duration // expected time until completion
	Slowdown       float64       // included in CompletionTime
	Known          bool          // the load comes from a recent reading
	HasCapacity    bool          // the server has a free slot and is not near full
	Found          bool
	Load           load.Estimate // on which the score is based
	score          float64
}

// Choice holds the best servers found so far. The zero value has none.
type Choice struct {
	Best             Option  // of all candidates
	BestByReading    Option  // of all candidates, whatever the age of their readings
	BestWithCapacity Option  // of the candidates with capacity
	occupied, slots  float64 // of all candidates
}

// Consider compares a candidate with the best ones so far. The lowest score wins:
// the completion time, corrected by failure rate, penalties and jitter.
func (c *Choice) Consider(index int, s Candidate, req Requirements, r *rand.Rand) {
	completion, hasCapacity := CompletionTime(s, req.Work)
	c.occupied += s.Running + s.Waiting
	c.slots += float64(max(s.Slots, 1))
	aged := float64(withAge(completion, s, req.Typical) - completion)
	score := float64(completion) / (1 - min(s.FailureRate, maxFailureRate))
	if !s.Known || s.Age > maxReadingAge {
		score += unknownPenalty * float64(req.PenaltyScale)
	}
	if !s.Known {
		score += unknownSpread * float64(req.Work) * r.ExpFloat64() / float64(max(s.Slots, 1))
	}
	if s.Unhealthy {
		score += unhealthyPenalty * float64(req.PenaltyScale)
	}
	if s.NeedsConnection {
		score += connectionPenalty * float64(req.PenaltyScale)
	}
	if !s.Local {
		score += remotePenalty * float64(req.PenaltyScale)
	}
	if s.RejectsExcess {
		score *= 1 + s.Running/float64(max(s.Slots, 1))
	}
	if !s.Queried {
		score *= 1 + scoreJitter*r.Float64()
	}
	o := Option{
		Index: index, CompletionTime: completion, Load: s.Estimate, Slowdown: max(s.Slowdown, 1), HasCapacity: hasCapacity, Found: true, score: score,
		Known: s.Known && s.Age <= maxReadingAge,
	}
	if !c.BestByReading.Found || score < c.BestByReading.score {
		c.BestByReading = o
	}
	score += aged
	if o.score = score; !c.Best.Found || score < c.Best.score {
		c.Best = o
	}
	if hasCapacity && (!c.BestWithCapacity.Found || score < c.BestWithCapacity.score) {
		c.BestWithCapacity = o
	}
}

// withAge returns the expected completion time at a server whose reading has an age. The
// reading was one of many when the server was chosen for it, so that it is rather too good
// than too bad: a time above the typical one is kept.
func withAge(completion time.Duration, s Candidate, typical time.Duration) time.Duration {
	if typical <= completion || s.Queried || !s.Known || s.RejectsExcess {
		return completion
	}
	weight := math.Exp(-float64(max(s.Age, 0)) / float64(readingDecayTime))
	return typical - time.Duration(weight*float64(typical-completion))
}

// ConsiderFull records a server that cannot be chosen because it would refuse the request.
func (c *Choice) ConsiderFull(slots int) {
	c.occupied += float64(max(slots, 1))
	c.slots += float64(max(slots, 1))
}

// CompletionTime returns the expected time until a server has finished a request
// of the given work, and whether the server has capacity for it.
func CompletionTime(s Candidate, work time.Duration) (time.Duration, bool) {
	slots := float64(max(s.Slots, 1))
	duration := float64(work) * s.Speed * max(s.Slowdown, 1)
	occupied := s.Running + 1
	if occupied > nearFullUtilization*slots {
		duration *= nearFullSlowdown
	}
	var wait float64
	if ahead := s.Waiting + max(0, occupied-slots); ahead > 0 {
		wait = ahead / slots * duration
	}
	return time.Duration(wait+duration) + s.ExtraRoundTrip, occupied <= nearFullUtilization*slots && s.Waiting == 0
}

// Admission is the decision whether a request is sent.
type Admission uint8

const (
	// Send means that the request is sent to the chosen server.
	Send Admission = iota
	// TooLate means that no server would finish the request before its deadline.
	TooLate
	// AtCapacity means that the request would only lengthen the queues.
	AtCapacity
	// RoomIsForOthers means that too many slots are occupied for a request that yields.
	RoomIsForOthers
)

// Admit decides whether a request is sent, and to which server. A request that
// would miss its objective is refused while its caller still has time to retry
// later: it would occupy a slot of a slow server that later requests need when
// the server is fast again. Without time for a retry it is sent to a server with
// capacity, but never queued, since it would make other requests miss their
// objectives. A request that yields to other accounts is refused while all servers together
// are too occupied: a single one may look free at some moment, since readings are late.
//
// What an old reading promises is not believed for the order of the servers, but it is no
// reason to refuse a request either.
func Admit(c Choice, req Requirements) (Option, Admission) {
	o, admission := c.admit(req)
	if admission == Send || !c.BestByReading.Found {
		return o, admission
	}
	c.Best = c.BestByReading
	if byReading, admission := c.admit(req); admission == Send {
		return byReading, Send
	}
	return o, admission
}

func (c *Choice) admit(req Requirements) (Option, Admission) {
	switch {
	case req.SpareCapacityOnly && (!c.Best.HasCapacity || c.Best.CompletionTime > req.Objective):
		return c.Best, AtCapacity
	case !c.Best.Found:
		return c.Best, TooLate
	case req.MostOccupied > 0 && c.occupied > req.MostOccupied*c.slots:
		return c.Best, RoomIsForOthers
	case c.Best.CompletionTime <= min(time.Duration(req.Urgency*float64(req.Objective)), req.TimeLeft):
		return c.Best, Send
	case c.BestWithCapacity.Found && c.BestWithCapacity.CompletionTime <= req.TimeLeft && req.TimeLeft < retryTimeFactor*req.TotalObjective:
		return c.BestWithCapacity, Send
	case c.Best.CompletionTime > req.TimeLeft:
		return c.Best, TooLate
	}
	return c.Best, AtCapacity
}
