// Package placement chooses the backend server of a request by the time at
// which each is expected to finish it, and decides whether the request is sent
// at all. It is pure.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/anvilfront/anvilfront/internal/load"
)

const (
	// nearFull is the share of its slots above which a server slows down.
	nearFull = 0.8
	// nearFullFactor is the duration of work on such a server, as a multiple of
	// that on one with room. Bagmati's and Hat Vang's servers have 1.7.
	nearFullFactor = 1.7
	// remoteShare is the part of the objective by which a server of another data
	// centre must finish earlier than one of the own, since its bytes are paid.
	remoteShare = 0.4
	// unknownShare is the part of the objective added for a server without a
	// recent reading.
	unknownShare = 0.5
	// unhealthyShare is the part added for a server whose health answer is
	// negative. It is not excluded, because health answers can be wrong.
	unhealthyShare = 1.0
	// scatter is the relative width of the random factor that keeps hosts with
	// equal views from choosing the same server.
	scatter = 0.10
	// maxFailure bounds the failure rate in the expected time, so that a server
	// that fails everything is still tried when all others are worse.
	maxFailure = 0.95
	// lastChance is the multiple of the objective that must be left until the
	// deadline for a caller to come back in time for another try.
	lastChance = 2
	// recent is the age up to which a reading tells the occupancy of a server.
	// It is five periods of measuring.
	recent = 500 * time.Millisecond
)

// Ask is what a request needs.
type Requirements struct {
	Work              time.Duration // usual duration of its work
	Objective         time.Duration // left until the answer loses its worth
	TotalObjective    time.Duration // the objective when the request arrived
	PenaltyScale      time.Duration // what a detour or a doubt is weighed by; the objective, where there is one
	TimeLeft          time.Duration // left until the deadline
	SpareCapacityOnly bool          // served from spare slots only, and only in time: the request runs elsewhere already
	Urgency           float64       // 0 to 1; the share of the objective that its wait may use up
}

// Candidate is one backend server.
type Candidate struct {
	load.Estimate
	Local          bool          // in the own data centre
	ExtraRoundTrip time.Duration // round trip beyond that of the own data centre
	// Refuses is set for a server that refuses what exceeds its slots. Its free
	// slots are left to hosts that do not know of this request yet.
	RejectsExcess bool
}

// Option is one server that could be chosen. The zero value is none.
type Option struct {
	Index          int           // of the candidate, as given to Consider
	CompletionTime time.Duration // expected, from now
	Slowdown       float64       // that Finish contains
	Known          bool          // the server's load is known from a recent reading
	HasCapacity    bool          // the server has a free slot and is not near full
	Found          bool
	Load           load.Estimate // that it was decided on
	score          float64
}

// Choice holds the best servers found so far. The zero value has none.
type Choice struct {
	Best             Option // over all
	BestWithCapacity Option // of those with room
}

// Consider compares a candidate with the best ones so far.
func (c *Choice) Consider(index int, s Candidate, ask Requirements, r *rand.Rand) {
	finish, room := CompletionTime(s, ask.Work)
	score := float64(finish) / (1 - min(s.FailureRate, maxFailure))
	if !s.Known || s.Age > recent {
		score += unknownShare * float64(ask.PenaltyScale)
	}
	if s.Unhealthy {
		score += unhealthyShare * float64(ask.PenaltyScale)
	}
	if !s.Local {
		score += remoteShare * float64(ask.PenaltyScale)
	}
	if s.RejectsExcess {
		score *= 1 + s.Running/float64(max(s.Slots, 1))
	}
	score *= 1 + scatter*r.Float64()
	o := Option{
		Index: index, CompletionTime: finish, Load: s.Estimate, Slowdown: max(s.Slowdown, 1), HasCapacity: room, Found: true, score: score,
		Known: s.Known && s.Age <= recent,
	}
	if !c.Best.Found || score < c.Best.score {
		c.Best = o
	}
	if room && (!c.BestWithCapacity.Found || score < c.BestWithCapacity.score) {
		c.BestWithCapacity = o
	}
}

// Finish returns the expected time until a server has finished a request, and
// whether the server has room for it.
func CompletionTime(s Candidate, work time.Duration) (time.Duration, bool) {
	slots := float64(max(s.Slots, 1))
	w := float64(work) * s.Speed * max(s.Slowdown, 1)
	busy := s.Running + 1
	if busy > nearFull*slots {
		w *= nearFullFactor
	}
	var wait float64
	if ahead := s.Waiting + max(0, busy-slots); ahead > 0 {
		wait = ahead / slots * w
	}
	return time.Duration(wait+w) + s.ExtraRoundTrip, busy <= nearFull*slots && s.Waiting == 0
}

// Admission is the decision on a request.
type Admission uint8

const (
	// Send means that the request is sent to the chosen server.
	Send Admission = iota
	// TooLate means that no server would finish it before its deadline.
	TooLate
	// Crowded means that it would only lengthen the queues.
	AtCapacity
)

// Admit decides whether a request is sent, and where. One that would miss its
// objective is refused while its caller can still come back, since it would
// hold a slot of a slow server for others that come when it is fast again.
// Later it is sent to a server with room, but never into a queue, where it would
// make others miss their objectives.
func Admit(c Choice, ask Requirements) (Option, Admission) {
	switch {
	case ask.SpareCapacityOnly && (!c.Best.HasCapacity || c.Best.CompletionTime > ask.Objective):
		return c.Best, AtCapacity
	case !c.Best.Found:
		return c.Best, TooLate
	case c.Best.CompletionTime <= min(time.Duration(ask.Urgency*float64(ask.Objective)), ask.TimeLeft):
		return c.Best, Send
	case c.BestWithCapacity.Found && c.BestWithCapacity.CompletionTime <= ask.TimeLeft && ask.TimeLeft < lastChance*ask.TotalObjective:
		return c.BestWithCapacity, Send
	case c.Best.CompletionTime > ask.TimeLeft:
		return c.Best, TooLate
	}
	return c.Best, AtCapacity
}
