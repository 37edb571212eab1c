package pause

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/state"
)

// jumpClock is a clock that can be advanced, as a paused process observes it.
type jumpClock struct {
	clock.Monotonic
	offset *clock.Manual
}

func (j *jumpClock) Now() clock.Time { return j.Monotonic.Now() + j.offset.Now() }

// TestPause guards against a process that acts on stale state after a pause: Fresh
// must be false from the moment the process runs again until the resync ends, and
// a resync that hangs must end after ResyncTimeout.
func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clk := &jumpClock{*clock.NewMonotonic(), &clock.Manual{}}
		store := state.NewStore(state.Member{Name: "eh1"})
		calls, hang := 0, false
		d := &Detector{Clock: clk, Store: store, Counters: metrics.New(), Log: zap.NewNop(), Resync: func(ctx context.Context) {
			calls++
			if hang {
				<-ctx.Done()
				return
			}
			time.Sleep(300 * time.Millisecond)
		}}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.Run(ctx)
		}()
		time.Sleep(5 * time.Second)
		is.True(Fresh(store, clk.Now()))
		is.Equal(calls, 0)
		for _, hang = range []bool{false, true} {
			calls = 0
			clk.offset.Advance(1500 * time.Millisecond)
			is.True(!Fresh(store, clk.Now())) // before the detector runs
			time.Sleep(250 * time.Millisecond)
			is.True(!Fresh(store, clk.Now())) // during the resync
			time.Sleep(ResyncTimeout)
			is.True(Fresh(store, clk.Now()))
			is.Equal(calls, 1)
		}
		clk.offset.Advance(900 * time.Millisecond)
		time.Sleep(250 * time.Millisecond)
		is.Equal(calls, 1) // a short gap is not a pause
		cancel()
		<-done
	})
}

// TestSuspended guards against a suspension of the machine that goes undetected
// because the clock stood still meanwhile.
func TestSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clk := clock.NewMonotonic()
		store := state.NewStore(state.Member{Name: "eh1"})
		var suspended atomic.Int64
		var calls atomic.Int64
		d := &Detector{
			Clock: clk, Store: store, Counters: metrics.New(), Log: zap.NewNop(),
			Resync:    func(context.Context) { calls.Add(1) },
			Suspended: func() time.Duration { return time.Duration(suspended.Load()) },
		}
		suspended.Store(int64(time.Hour)) // before the process started
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); d.Run(ctx) }()
		time.Sleep(time.Second)
		is.Equal(calls.Load(), int64(0))
		suspended.Add(int64(3 * time.Second))
		time.Sleep(time.Second)
		is.Equal(calls.Load(), int64(1))
		cancel()
		<-done
	})
}
