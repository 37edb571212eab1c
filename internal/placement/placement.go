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
	// recent is the age up to which a reading tells the occupancy of a server.
	// It is five periods of measuring.
	recent = 500 * time.Millisecond
)

// Ask is what a request needs.
type Ask struct {
	Work      time.Duration // usual duration of its work
	Objective time.Duration // left until the answer loses its worth
	Left      time.Duration // left until the deadline
	Urgency   float64       // 0 to 1; the share of the objective that its wait may use up
}

// Candidate is one backend server.
type Candidate struct {
	load.Estimate
	Local  bool          // in the own data centre
	Travel time.Duration // round trip beyond that of the own data centre
}

// Choice is the best server found so far. The zero value has none.
type Choice struct {
	Index  int           // of the candidate, as given to Consider
	Finish time.Duration // expected, from now
	Room   bool          // the server has a free slot and is not near full
	Found  bool
	score  float64
}

// Consider compares a candidate with the best one so far.
func (c *Choice) Consider(index int, s Candidate, ask Ask, r *rand.Rand) {
	finish, room := Finish(s, ask.Work)
	score := float64(finish) / (1 - min(s.Failure, maxFailure))
	if !s.Known || s.Age > recent {
		score += unknownShare * float64(ask.Objective)
	}
	if s.Unhealthy {
		score += unhealthyShare * float64(ask.Objective)
	}
	if !s.Local {
		score += remoteShare * float64(ask.Objective)
	}
	score *= 1 + scatter*r.Float64()
	if !c.Found || score < c.score {
		*c = Choice{Index: index, Finish: finish, Room: room, Found: true, score: score}
	}
}

// Finish returns the expected time until a server has finished a request, and
// whether the server has room for it.
func Finish(s Candidate, work time.Duration) (time.Duration, bool) {
	slots := float64(max(s.Slots, 1))
	w := float64(work) * s.Speed
	busy := s.Running + 1
	if busy > nearFull*slots {
		w *= nearFullFactor
	}
	var wait float64
	if ahead := s.Waiting + max(0, busy-slots); ahead > 0 {
		wait = ahead / slots * w
	}
	return time.Duration(wait+w) + s.Travel, busy <= nearFull*slots && s.Waiting == 0
}

// Verdict of an admission.
type Admission uint8

const (
	// Send means that the request is sent to the chosen server.
	Send Admission = iota
	// TooLate means that no server would finish it before its deadline.
	TooLate
	// Crowded means that it would only lengthen the queues.
	Crowded
)

// Admit decides whether a request is sent to the chosen server. One that would
// miss its objective is sent only where there is room: in a queue it would make
// others miss theirs.
func Admit(c Choice, ask Ask) Admission {
	switch {
	case !c.Found || c.Finish > ask.Left:
		return TooLate
	case c.Room:
		return Send
	case c.Finish > time.Duration(ask.Urgency*float64(ask.Objective)):
		return Crowded
	}
	return Send
}
