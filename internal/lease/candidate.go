package lease

import (
	"math/rand/v2"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
)

// Bid asks the electorate for the lease of a pool.
type Bid struct {
	Pool       manifest.PoolID
	Electorate []string
	Ask        []string // the voters to ask, a part of the electorate
}

// round is one attempt to get or renew the lease of one pool.
type round struct {
	sent     clock.Time
	majority int
	voters   map[string]bool // electorate; true: granted
	granted  int
}

type candidacy struct {
	until  clock.Time // end of the lease; 0 or past: not held
	rounds map[uint64]*round
	pause  clock.Time // ask again from here on
}

// Candidate keeps the leases that one process holds or asks for.
type Candidate struct {
	sequence uint64
	pools    map[manifest.PoolID]*candidacy
	rand     *rand.Rand
}

// NewCandidate returns a candidate without leases.
func NewCandidate(r *rand.Rand) *Candidate {
	return &Candidate{pools: map[manifest.PoolID]*candidacy{}, rand: r}
}

// Held reports whether the lease of the pool is in force.
func (c *Candidate) Held(now clock.Time, pool manifest.PoolID) bool {
	p := c.pools[pool]
	return p != nil && now.Before(p.until)
}

// Paused reports whether the candidate waits because another one was promised
// the pool.
func (c *Candidate) Paused(now clock.Time, pool manifest.PoolID) bool {
	p := c.pools[pool]
	return p != nil && now.Before(p.pause)
}

// Start opens a round for the bids. now must be taken before the first request
// of the round is sent; the sequence number goes with the requests.
func (c *Candidate) Start(now clock.Time, bids []Bid) (sequence uint64) {
	c.sequence++
	for _, b := range bids {
		p := c.pools[b.Pool]
		if p == nil {
			p = &candidacy{rounds: map[uint64]*round{}}
			c.pools[b.Pool] = p
		}
		for seq, r := range p.rounds {
			if now.Sub(r.sent) >= Term {
				delete(p.rounds, seq)
			}
		}
		r := &round{sent: now, majority: len(b.Electorate)/2 + 1, voters: make(map[string]bool, len(b.Electorate))}
		for _, v := range b.Electorate {
			r.voters[v] = false
		}
		p.rounds[c.sequence] = r
	}
	return c.sequence
}

// Answer takes the answer of one voter. until is the end of the lease if this
// answer completed a majority, else 0. The caller must compare it with the
// current time, since the answers may have come too late.
func (c *Candidate) Answer(sequence uint64, voter string, pool manifest.PoolID, granted bool) (until clock.Time) {
	p := c.pools[pool]
	if p == nil {
		return 0
	}
	r := p.rounds[sequence]
	if r == nil || !granted {
		return 0
	}
	if counted, listed := r.voters[voter]; !listed || counted {
		return 0
	}
	r.voters[voter] = true
	if r.granted++; r.granted != r.majority {
		return 0
	}
	end := r.sent.Add(Term - Margin)
	if end <= p.until {
		return 0
	}
	p.until, p.pause = end, 0
	return end
}

// Refused makes the candidate wait for one to one and a half terms after a
// refusal in favour of a live holder. Two candidates that share the votes then
// let go of them at different times.
func (c *Candidate) Refused(now clock.Time, pool manifest.PoolID) {
	if p := c.pools[pool]; p != nil && !now.Before(p.until) {
		p.pause = now.Add(Term).Add(c.jitter())
	}
}

func (c *Candidate) jitter() time.Duration { return time.Duration(c.rand.Int64N(int64(Term / 2))) }

// Resume lets the candidate ask again at once.
func (c *Candidate) Resume(pool manifest.PoolID) {
	if p := c.pools[pool]; p != nil {
		p.pause = 0
	}
}

// Release gives up the pools. Answers to earlier rounds have no effect. The
// sequence number goes with the release messages.
func (c *Candidate) Release(pools []manifest.PoolID) (sequence uint64) {
	c.sequence++
	for _, id := range pools {
		delete(c.pools, id)
	}
	return c.sequence
}
