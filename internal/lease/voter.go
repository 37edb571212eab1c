package lease

import (
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
)

// Times of the protocol. A holder measures the term from before it asks, a
// voter from when it hears, so no clock is compared with another one. Margin
// covers clocks that run at different rates: 5% of a term.
const (
	Term   = 2 * time.Second
	Renew  = 500 * time.Millisecond // between renewals; three may be lost in a row
	Margin = 100 * time.Millisecond
)

// maxPromises bounds the memory that peers can make a voter use. The target
// size has fewer than 1,000 pools.
const maxPromises = 16384

// Process is one process of an entry host. A restarted entry host is another
// process, which must not be given the promises of the one before: that one
// may be paused and still believe in its lease.
type Process struct {
	Name        string
	Incarnation uint64
}

// promise is what a voter has promised for one pool.
type promise struct {
	to       Process
	sequence uint64
	until    clock.Time
}

// Voter holds the promises of one process, in memory only.
type Voter struct {
	ready    clock.Time // no promise before: an earlier process may have promised
	promises map[manifest.PoolID]promise
}

// NewVoter returns a voter for a process that started at start. With wait it
// promises nothing for one term, after which every promise that an earlier
// process of this entry host made has ended.
func NewVoter(start clock.Time, wait bool) *Voter {
	v := &Voter{ready: start, promises: map[manifest.PoolID]promise{}}
	if wait {
		v.ready = start.Add(Term)
	}
	return v
}

// Promise decides on a request. When it is refused, holder is the process
// promised before, if that is the reason.
func (v *Voter) Promise(now clock.Time, to Process, sequence uint64, pool manifest.PoolID, term time.Duration) (granted bool, holder string) {
	if now.Before(v.ready) || term <= 0 || term > Term {
		return false, ""
	}
	p, ok := v.promises[pool]
	if ok && p.to != to && now.Before(p.until) {
		return false, p.to.Name
	}
	if !ok && len(v.promises) >= maxPromises {
		return false, ""
	}
	next := promise{to: to, sequence: sequence, until: now.Add(term)}
	if ok && p.to == to {
		// Messages of one candidate may overtake each other.
		next.sequence = max(p.sequence, sequence)
		next.until = max(p.until, next.until)
	}
	v.promises[pool] = next
	return true, ""
}

// Release ends the promise to a process that stopped using the lease, and
// reserves the pool for the successor for one term, if there is one. A release
// that is older than the promise is ignored: it arrived late.
func (v *Voter) Release(now clock.Time, from Process, sequence uint64, pool manifest.PoolID, successor Process) {
	p, ok := v.promises[pool]
	if !ok || p.to != from || p.sequence >= sequence {
		return
	}
	if successor.Name == "" {
		delete(v.promises, pool)
		return
	}
	v.promises[pool] = promise{to: successor, until: now.Add(Term)}
}

// Expire forgets promises that have ended.
func (v *Voter) Expire(now clock.Time) {
	for pool, p := range v.promises {
		if !now.Before(p.until) {
			delete(v.promises, pool)
		}
	}
}
