package load

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/clock"
)

func at(ms int64) clock.Time { return clock.Time(ms * int64(time.Millisecond)) }

// TestWindow guards against more than n events in any span of time.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(rt, "n")
		var w Window
		var admitted []int64
		now := int64(1)
		for range 300 {
			now += int64(rapid.IntRange(0, 200).Draw(rt, "gap"))
			if w.Take(at(now), n, time.Second) {
				admitted = append(admitted, now)
			}
		}
		for i := range admitted {
			if i >= n && admitted[i]-admitted[i-n] <= 1000 {
				rt.Fatalf("%d events from %d to %d ms, %d allowed", n+1, admitted[i-n], admitted[i], n)
			}
		}
	})
}

// TestEstimate guards against a server that looks idle because requests sent
// since its last reading are not counted, and against a stale reading that is
// used as the current load.
func TestEstimate(t *testing.T) {
	is := is.New(t)
	var s State
	is.True(!s.Estimate(at(5), 2, 6).Known)
	s.Start()
	s.Observe(Reading{At: at(10), Running: 3, Slots: 4, Speed: 4})
	s.Start()
	s.Start()
	e := s.Estimate(at(10), 2, 6)
	is.Equal(e.Running, 5.0) // three reported, two sent since
	is.Equal(e.Slots, 4)
	is.Equal(e.Speed, 4.0)
	s.Observe(Reading{At: at(5), Running: 0, Speed: 1}) // arrives late
	is.Equal(s.Estimate(at(10), 2, 6).Running, 5.0)
	s.End()
	s.End()
	s.End()
	is.Equal(s.Estimate(at(10), 2, 6).Running, 2.0)
	is.True(s.Estimate(at(2010), 2, 6).Speed < 2.1) // decayed to the usual speed
	s.Observe(Reading{At: at(3000), Speed: 1, ColdUntil: at(3500)})
	is.True(s.Estimate(at(3400), 2, 6).Cold)
	is.True(!s.Estimate(at(3500), 2, 6).Cold)
}

// TestOutcomes guards against a failing server that is never tried again, against
// a server that is avoided after a single failure, and against missing a slowdown
// that the server does not report.
func TestOutcomes(t *testing.T) {
	is := is.New(t)
	var s State
	s.RecordOutcome(at(0), true, 0)
	is.True(s.Estimate(at(0), 1, 4).FailureRate < 0.3)
	for range 8 {
		s.RecordOutcome(at(10), true, 0)
	}
	is.True(s.Estimate(at(10), 1, 4).FailureRate > 0.7)
	is.True(s.Estimate(at(10_000), 1, 4).FailureRate < 0.01)
	s.Observe(Reading{At: at(10_000), Speed: 1})
	for range 4 {
		s.RecordOutcome(at(10_000), false, 12)
	}
	is.True(s.Estimate(at(10_000), 1, 4).Slowdown > 2.5)
	stats := s.TakeOutcomeStats()
	is.Equal(stats.Count, 13)
	is.Equal(stats.Failed, 9)
	is.Equal(stats.Ratio, float64(maxDurationRatio))
	is.Equal(s.TakeOutcomeStats(), OutcomeStats{})
}
