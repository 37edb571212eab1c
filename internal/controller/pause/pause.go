// Package pause detects that this process did not run for a while, so that it does
// not act on stale state. It compares the clock with the last tick recorded in the
// state, marks the state as stale after a pause and starts a resync. The request
// path calls Fresh.
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

// Intervals and timeouts of the detector.
const (
	tickInterval   = 100 * time.Millisecond
	PauseThreshold = time.Second // a longer time without a tick counts as a pause
	ResyncTimeout  = time.Second
)

// Detector records ticks and starts a resync after a pause.
type Detector struct {
	Clock  clock.Clock
	Store  *state.Store
	Resync func(ctx context.Context) // refreshes the state
	// Suspended returns how long the machine was suspended since it started, which
	// the clock does not count. If it is nil, suspension is not detected.
	Suspended     func() time.Duration
	lastSuspended time.Duration
	Counters      *metrics.Counters
	Log           *zap.Logger
}

// Fresh reports whether the process ran without a pause and the state is up to
// date. It compares now with the last tick, because after a pause a request may
// run before the detector does. It costs two atomic reads.
func Fresh(s *state.Store, now clock.Time) bool {
	return !s.Stale() && now.Sub(s.LastTick()) <= PauseThreshold
}

// Run records ticks until ctx is cancelled. The first tick is recorded at the call.
func (d *Detector) Run(ctx context.Context) {
	pauses := d.Counters.Int("pauses")
	d.Store.Tick(d.Clock.Now())
	if d.Suspended != nil {
		d.lastSuspended = d.Suspended()
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	done := make(chan struct{}, 1)
	resyncRunning, resyncAgain := false, false
	startResync := func() {
		resyncRunning = true
		wg.Go(func() {
			resyncCtx, cancel := context.WithTimeout(ctx, ResyncTimeout)
			defer cancel()
			d.Resync(resyncCtx)
			done <- struct{}{}
		})
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-done:
			resyncRunning = false
			if resyncAgain {
				resyncAgain = false
				startResync()
				continue
			}
			d.Store.SetStale(false)
		case <-ticker.C:
			if !d.tick(pauses) {
				continue
			}
			if resyncAgain = resyncRunning; !resyncRunning {
				startResync()
			}
		}
	}
}

// tick records a tick and reports whether there was a pause before it. The state
// is marked as stale before the tick is recorded, so that Fresh stays false.
func (d *Detector) tick(pauses *expvar.Int) bool {
	now := d.Clock.Now()
	gap := now.Sub(d.Store.LastTick())
	if d.Suspended != nil {
		total := d.Suspended()
		gap += total - d.lastSuspended
		d.lastSuspended = total
	}
	if gap > PauseThreshold {
		d.Store.SetStale(true)
		pauses.Add(1)
		d.Log.Warn("The process was paused; refreshing its state.", zap.Duration("gap", gap))
	}
	d.Store.Tick(now)
	return gap > PauseThreshold
}
