package feed

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// A change spreads within a data centre as in a tree: a host serves a large item to a few
// others at a time, and each of them serves it when it has it whole. The time grows with
// the logarithm of the number of hosts.
const (
	// maxReceivers bounds the hosts that one host sends a large item to at a time. Their
	// parts take 80 ms together at 10 Mbit/s.
	maxReceivers = 3
	// receiverLease is how long a receiver keeps its turn without another request: the
	// timeout of a request.
	receiverLease = 500 * time.Millisecond
	// lastPartLease is the same after the last part, which no request follows.
	lastPartLease = 100 * time.Millisecond
	// maxPeers bounds the hosts that a host remembers as ahead of it.
	maxPeers = 8
	// busyDelay is the mean delay before a host is asked again that serves others.
	busyDelay = 60 * time.Millisecond
	// failedDelay is the delay before a host is asked again that did not reply.
	failedDelay = time.Second
)

// Receivers are the hosts that this host sends a large item to. It is not safe for
// concurrent use.
type Receivers struct {
	until map[string]clock.Time
}

// Admit reports whether a host may be sent the reply now.
func (s *Receivers) Admit(now clock.Time, host string, reply *Reply) bool {
	if reply.Part.Size == 0 {
		return true
	}
	for h, until := range s.until {
		if !now.Before(until) {
			delete(s.until, h)
		}
	}
	if _, ok := s.until[host]; !ok && len(s.until) >= maxReceivers {
		return false
	}
	if s.until == nil {
		s.until = map[string]clock.Time{}
	}
	lease := receiverLease
	if reply.Part.Offset+len(reply.Part.Data) == reply.Part.Size {
		lease = lastPartLease
	}
	s.until[host] = now.Add(lease)
	return true
}

// Peer is a host whose replica has changes that this one lacks.
type Peer struct {
	Address   string
	Changed   Position   // of its newest change
	Held      uint64     // digest of its held changes
	Confirmed clock.Time // its replica was complete at that time
	notBefore clock.Time // it is not asked before
}

// Peers are the hosts from which missing changes can be fetched. It is not safe for
// concurrent use.
type Peers struct {
	newestFirst   []Peer
	learned       []uint64 // digests of held changes that were fetched in learnedEra, the newest last
	learnedEra    uint64
	heldNotBefore clock.Time // held changes alone are not fetched before
}

const (
	// maxLearned bounds the digests of held changes that a host remembers as fetched.
	maxLearned = 64
	// heldDelay is the delay between two requests for held changes alone. They may contain
	// the configuration, and change with each entry that is written again.
	heldDelay = 250 * time.Millisecond
)

// Learned records that a host's held changes with a digest were fetched in an era.
func (s *Peers) Learned(now clock.Time, address string, era, digest uint64) {
	if era != s.learnedEra {
		s.learned, s.learnedEra = nil, era
	}
	for i := range s.newestFirst {
		if s.newestFirst[i].Address == address {
			s.newestFirst[i].Held = digest
		}
	}
	if digest == 0 {
		return
	}
	s.heldNotBefore = now.Add(heldDelay)
	if slices.Contains(s.learned, digest) {
		return
	}
	if len(s.learned) >= maxLearned {
		s.learned = slices.Delete(s.learned, 0, 1)
	}
	s.learned = append(s.learned, digest)
}

// ahead reports whether a peer has changes that a replica lacks, or held changes that it may
// lack. The replica is complete up to a position and has held changes with a digest.
func (s *Peers) ahead(now clock.Time, p *Peer, position Position, held uint64) bool {
	if position.Before(p.Changed) {
		return true
	}
	learned := p.Held == held || s.learnedEra == position.Era && slices.Contains(s.learned, p.Held)
	return p.Changed.Era == position.Era && p.Held != 0 && !learned && !now.Before(s.heldNotBefore)
}

// Ahead reports whether a host has changes after the position up to which a replica is
// complete.
func (s *Peers) Ahead(position Position) bool {
	return slices.ContainsFunc(s.newestFirst, func(p Peer) bool { return position.Before(p.Changed) })
}

// Announce records that a host has changes up to a revision.
func (s *Peers) Announce(p Peer) {
	for i := range s.newestFirst {
		if s.newestFirst[i].Address == p.Address {
			p.notBefore = s.newestFirst[i].notBefore
			copy(s.newestFirst[1:i+1], s.newestFirst[:i])
			s.newestFirst[0] = p
			return
		}
	}
	if len(s.newestFirst) < maxPeers {
		s.newestFirst = append(s.newestFirst, Peer{})
	}
	copy(s.newestFirst[1:], s.newestFirst)
	s.newestFirst[0] = p
}

// Pick returns a host that has changes after the position up to which this replica is
// complete, or held changes that it may lack: a random one of those with the newest change,
// so that a new process does not start from the state of a host that lags behind. held is
// the digest of this replica's held changes.
func (s *Peers) Pick(now clock.Time, position Position, held uint64, r *rand.Rand) (Peer, bool) {
	var picked Peer
	n := 0
	for _, p := range s.newestFirst {
		switch {
		case !s.ahead(now, &p, position, held) || now.Before(p.notBefore) || n > 0 && p.Changed.Before(picked.Changed):
		case n > 0 && p.Changed == picked.Changed:
			if n++; r.IntN(n) == 0 {
				picked = p
			}
		default:
			picked, n = p, 1
		}
	}
	return picked, n > 0
}

// Busy records that a host serves others now.
func (s *Peers) Busy(now clock.Time, address string, r *rand.Rand) {
	s.delay(address, now.Add(busyDelay/2+time.Duration(r.Int64N(int64(busyDelay)))))
}

// Failed records that a host did not reply.
func (s *Peers) Failed(now clock.Time, address string) { s.delay(address, now.Add(failedDelay)) }

func (s *Peers) delay(address string, until clock.Time) {
	for i := range s.newestFirst {
		if s.newestFirst[i].Address == address {
			s.newestFirst[i].notBefore = until
		}
	}
}
