package load

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// TestSlowStart guards against several concurrent requests to a server that has
// just started, against a limit that rises without successes, and against a server
// that stays cold permanently.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	var s SlowStart
	is.Equal(s.Limit(at(1), 4), 4) // no start is known
	is.True(!s.ObserveInstance(at(1), "a"))
	is.True(!s.Cold(at(2))) // the first instance seen
	is.True(s.ObserveInstance(at(1000), "a-2"))
	is.Equal(s.Limit(at(1000), 4), 1)
	s.Begin(at(1100)) // another connection of the same process broke
	succeed := func(n int) {
		for range n {
			s.RecordSuccess(4)
		}
	}
	for want := 1; want < 4; want++ {
		is.Equal(s.Limit(at(1200), 4), want)
		is.True(s.Cold(at(1200)))
		succeed(successesPerStep*want - 1)
		is.Equal(s.Limit(at(1200), 4), want)
		succeed(1)
	}
	is.True(!s.Cold(at(1200)))
	succeed(1)
	is.Equal(s.Limit(at(1200), 4), 4)
	s.Begin(at(2000))
	is.Equal(s.Limit(at(2000), 4), 1)
	succeed(successesPerStep)
	is.Equal(s.Limit(at(2000), 4), 2)
	s.RecordFailure()
	is.Equal(s.Limit(at(2000), 4), 1) // goes back a step
	succeed(successesPerStep)
	is.Equal(s.Limit(at(2000), 4), 1) // and the next step takes longer
	succeed(successesPerStep)
	is.Equal(s.Limit(at(2000), 4), 2)
	is.True(s.Cold(at(31999)))
	is.True(!s.Cold(at(32000)))
	is.Equal(s.Limit(at(32000), 4), 4)
}

// TestTryStart guards against more requests in flight than the limit when several
// goroutines start requests at the same time.
func TestTryStart(t *testing.T) {
	is := is.New(t)
	var s State
	var wg sync.WaitGroup
	started := make(chan bool, 64)
	for range 64 {
		wg.Go(func() { started <- s.TryStart(3) })
	}
	wg.Wait()
	close(started)
	n := 0
	for ok := range started {
		if ok {
			n++
		}
	}
	is.Equal(n, 3)
	is.Equal(s.Inflight(), 3)
}

// TestBudget guards against probes beyond the budget, also right after a change of
// the probing host.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := float64(rapid.IntRange(1, 50).Draw(rt, "rate"))
		bytes := float64(rapid.SampledFrom([]int{0, 1000}).Draw(rt, "bytes"))
		b := NewBudget(rate, bytes, 0)
		if b.Take(0) {
			rt.Fatalf("a new budget is not empty")
		}
		probes, spent, largest := 0, 0, 0
		const seconds = 20
		for now := clock.Time(0); now < at(seconds*1000); now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(rt, "dt")) * time.Millisecond) {
			if b.Take(now) {
				n := rapid.IntRange(1, 900).Draw(rt, "size")
				b.SpendBytes(n)
				probes, spent, largest = probes+1, spent+n, max(largest, n)
			}
		}
		if float64(probes) > rate*seconds || bytes > 0 && float64(spent) > bytes*seconds+float64(largest) {
			rt.Fatalf("%d probes, %d bytes in %d s", probes, spent, seconds)
		}
	})
}
