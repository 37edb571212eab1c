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

// jump is a clock that can be set forward, as a paused process sees it.
type jump struct {
	clock.Monotonic
	by *clock.Manual
}

func (j *jump) Now() clock.Time { return j.Monotonic.Now() + j.by.Now() }

// TestPause guards against a process that acts on old state after a pause: from
// the moment it runs again until the re-sync is over it is not fresh, and a
// re-sync that hangs ends after its bound.
func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clk := &jump{*clock.NewMonotonic(), &clock.Manual{}}
		store := state.NewStore(state.Member{Name: "eh1"})
		calls, hang := 0, false
		g := &Detector{Clock: clk, Store: store, Counters: metrics.New(), Log: zap.NewNop(), Resync: func(ctx context.Context) {
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
			g.Run(ctx)
		}()
		time.Sleep(5 * time.Second)
		is.True(Fresh(store, clk.Now()))
		is.Equal(calls, 0)
		for _, hang = range []bool{false, true} {
			calls = 0
			clk.by.Advance(1500 * time.Millisecond)
			is.True(!Fresh(store, clk.Now())) // before the guard runs
			time.Sleep(250 * time.Millisecond)
			is.True(!Fresh(store, clk.Now())) // during the re-sync
			time.Sleep(ResyncTimeout)
			is.True(Fresh(store, clk.Now()))
			is.Equal(calls, 1)
		}
		clk.by.Advance(900 * time.Millisecond)
		time.Sleep(250 * time.Millisecond)
		is.Equal(calls, 1) // a short gap is no pause
		cancel()
		<-done
	})
}

// TestSuspended guards against a host that takes a suspended machine for no
// time at all, because its clock stood still meanwhile.
func TestSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clk := clock.NewMonotonic()
		store := state.NewStore(state.Member{Name: "eh1"})
		var suspended atomic.Int64
		var calls atomic.Int64
		g := &Detector{
			Clock: clk, Store: store, Counters: metrics.New(), Log: zap.NewNop(),
			Resync:    func(context.Context) { calls.Add(1) },
			Suspended: func() time.Duration { return time.Duration(suspended.Load()) },
		}
		suspended.Store(int64(time.Hour)) // before the start of the process
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); g.Run(ctx) }()
		time.Sleep(time.Second)
		is.Equal(calls.Load(), int64(0))
		suspended.Add(int64(3 * time.Second))
		time.Sleep(time.Second)
		is.Equal(calls.Load(), int64(1))
		cancel()
		<-done
	})
}
