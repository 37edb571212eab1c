package filters

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/anvilfront/anvilfront/internal/balance"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Selection chooses the pool of an attempt. When the pool refuses before
// dispatch it asks another one; this is not a retry, because nothing was sent.
type Selection struct {
	Clock clock.Clock
}

const (
	// maxAsked bounds the pools asked for one attempt.
	maxAsked = 3
	// askWithin is how long after the start of the attempt a pool of another
	// data centre is asked. One more round trip between data centres (3 ms) then still leaves
	// a refusal under 5 ms.
	askWithin = 1500 * time.Microsecond
	// maxCandidates bounds the pools of a service that are considered.
	maxCandidates = 64
)

// Name implements filter.Filter.
func (*Selection) Name() string { return "selection" }

// Handle implements filter.Filter.
func (f *Selection) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	var pools [maxCandidates]*manifest.Pool
	var known [maxCandidates]balance.Candidate
	start := f.Clock.Now()
	n := candidates(x, start, &pools, &known)
	if n == 0 {
		return filter.Refuse(verdict.ReasonNoBackend, nil)
	}
	var asked uint64
	var out filter.Outcome
	for try := range maxAsked {
		if try > 0 && f.Clock.Now().Sub(start) > askWithin {
			asked = balance.AskLocal(known[:n], asked)
		}
		i := balance.ChoosePool(known[:n], asked, x.Route.Idempotent, rand.IntN)
		if i < 0 {
			break
		}
		asked |= 1 << i
		x.Pool, x.Grant, x.Spill = pools[i], nil, balance.Spill(known[:n], i)
		out = next.Handle(ctx, x)
		if x.Grant != nil || !otherPoolMayServe(out) {
			return out
		}
	}
	if n > 1 && full(out.Reason) {
		out.Reason = verdict.ReasonOverload
	}
	return out
}

// candidates fills in the service's pools whose data centre is not out.
func candidates(x *filter.Exchange, now clock.Time, pools *[maxCandidates]*manifest.Pool, known *[maxCandidates]balance.Candidate) int {
	n := 0
	for _, p := range x.Snapshot.Manifest.ByName[x.Service.Name] {
		if p.Out || n == maxCandidates {
			continue
		}
		pools[n] = p
		known[n] = balance.Candidate{Local: p.ID.DataCentre == x.Snapshot.Members.Self.DataCentre}
		if load := loadOf(x.Snapshot, p.ID); load != nil {
			known[n].Free, known[n].Queued, known[n].Slots = load.Free, load.Queued, load.Slots
			known[n].Median = load.Median
			known[n].Age = now.Sub(load.At)
		}
		n++
	}
	return n
}

func loadOf(s *state.Snapshot, id manifest.PoolID) *state.PoolLoad {
	if p := s.Pools.Load[id]; p != nil {
		return p.Load()
	}
	return nil
}

// otherPoolMayServe reports whether a refusal came from the pool and not from
// the request itself.
func otherPoolMayServe(out filter.Outcome) bool {
	if out.Verdict != verdict.NotRun {
		return false
	}
	switch out.Reason {
	case verdict.ReasonNoLease, verdict.ReasonGrantLost, verdict.ReasonNoBackend:
		return true
	}
	return full(out.Reason)
}

func full(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonOverload, verdict.ReasonQueueFull, verdict.ReasonWontFinish, verdict.ReasonDisplaced:
		return true
	}
	return false
}
