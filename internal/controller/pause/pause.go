// Package pause notices that this process did not run for a while, so that it
// does not act on outdated state.
package pause

import (
	"context"
	"expvar"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/state"
)

// Times of the guard.
const (
	beat           = 100 * time.Millisecond
	PauseThreshold = time.Second // without a beat: the process was paused
	ResyncTimeout  = time.Second
)

// Guard beats and re-syncs after a pause.
type Detector struct {
	Clock  clock.Clock
	Store  *state.Store
	Resync func(ctx context.Context) // brings the state up to date
	// Suspended returns how long the whole machine was suspended since its start,
	// which the clock does not count. nil: not watched.
	Suspended func() time.Duration
	suspended time.Duration
	Counters  *metrics.Counters
	Log       *zap.Logger
}

// Fresh reports whether the process ran without a pause and the state is up to
// date. It compares with the last beat because a request may run again before
// the guard does. It costs two atomic reads.
func Fresh(s *state.Store, now clock.Time) bool {
	return !s.Stale() && now.Sub(s.LastTick()) <= PauseThreshold
}

// Run beats until ctx ends. The store counts as beating from the call on.
func (g *Detector) Run(ctx context.Context) {
	pauses := g.Counters.Int("pauses")
	g.Store.Tick(g.Clock.Now())
	if g.Suspended != nil {
		g.suspended = g.Suspended()
	}
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	done := make(chan struct{}, 1)
	running, again := false, false
	start := func() {
		running = true
		wg.Go(func() {
			resyncCtx, cancel := context.WithTimeout(ctx, ResyncTimeout)
			defer cancel()
			g.Resync(resyncCtx)
			done <- struct{}{}
		})
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-done:
			running = false
			if again {
				again = false
				start()
				continue
			}
			g.Store.SetStale(false)
		case <-ticker.C:
			if !g.step(pauses) {
				continue
			}
			if again = running; !running {
				start()
			}
		}
	}
}

// step records a beat and reports whether there was a pause before it. Stale
// is set before the beat, so that Fresh is false throughout.
func (g *Detector) step(pauses *expvar.Int) bool {
	now := g.Clock.Now()
	gap := now.Sub(g.Store.LastTick())
	if g.Suspended != nil {
		total := g.Suspended()
		gap += total - g.suspended
		g.suspended = total
	}
	if gap > PauseThreshold {
		g.Store.SetStale(true)
		pauses.Add(1)
		g.Log.Warn("The process was paused.", zap.Duration("gap", gap))
	}
	g.Store.Tick(now)
	return gap > PauseThreshold
}
