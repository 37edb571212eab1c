package filters

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// stoppingRetryAfter is the mean retry delay of callers that a stopping host
// refuses. It is short, since the balancer sends them to another host. Jitter of
// half the mean keeps the callers of one host from retrying at the same time.
const stoppingRetryAfter = 40 * time.Millisecond

// withJitter returns a random duration from 0.5 to 1.5 times the mean.
func withJitter(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// Stopping counts the requests in the chain and refuses new ones after Stop.
type Stopping struct {
	stopping  atomic.Bool
	endsAt    atomic.Int64 // clock.Time at which the process ends; 0: no stop has begun
	inflight  atomic.Int64
	drainOnce sync.Once
	drained   chan struct{}
}

// NewStopping returns a filter that passes requests on until Stop is called.
func NewStopping() *Stopping { return &Stopping{drained: make(chan struct{})} }

// Name implements filter.Filter.
func (*Stopping) Name() string { return "stopping" }

// Handle implements filter.Filter. The orderguard filter before this one
// corrects the refusal of a request with an order key.
func (s *Stopping) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	s.inflight.Add(1)
	defer s.requestDone()
	if s.stopping.Load() {
		out := filter.Refuse(verdict.ReasonStopping, nil)
		out.RetryAfter = withJitter(stoppingRetryAfter)
		return out
	}
	x.HostEnds = clock.Time(s.endsAt.Load())
	out := next.Handle(ctx, x)
	if out.Verdict == verdict.NotRun && x.HostEnds != 0 {
		out.RetryAfter = withJitter(stoppingRetryAfter)
	}
	return out
}

// Announce begins a stop: requests are still served, except those that would probably not
// end before endsAt.
func (s *Stopping) Announce(endsAt clock.Time) { s.endsAt.Store(int64(endsAt)) }

// requestDone decrements inflight before it reads stopping, and Stop sets stopping
// before it reads inflight, so that at least one of them sees that the last request
// has ended.
func (s *Stopping) requestDone() {
	if s.inflight.Add(-1) == 0 && s.stopping.Load() {
		s.drainOnce.Do(func() { close(s.drained) })
	}
}

// Stop refuses new requests from now on.
func (s *Stopping) Stop() {
	s.stopping.Store(true)
	if s.inflight.Load() == 0 {
		s.drainOnce.Do(func() { close(s.drained) })
	}
}

// Drain waits after Stop until no request is in the chain or ctx is done.
func (s *Stopping) Drain(ctx context.Context) error {
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Inflight returns how many requests are in the chain.
func (s *Stopping) Inflight() int64 { return s.inflight.Load() }
