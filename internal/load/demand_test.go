package load

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// TestProbesAtStart guards against a host that probes all servers of its data centre while
// it does not know the other hosts yet, as each of them would after a restart of all, and
// against one that never probes because it is alone.
func TestProbesAtStart(t *testing.T) {
	is := is.New(t)
	is.True(!ProbesAtStart(startProbeDelay-1, 0, maxServersAlone+1))
	is.True(ProbesAtStart(startProbeDelay-1, 1, maxServersAlone+1))
	is.True(ProbesAtStart(0, 0, maxServersAlone))
	is.True(ProbesAtStart(startProbeDelay, 0, 1000))
}

// TestProbeInterval replays a service that is new, then busy, then idle. It guards against
// servers that are probed far more often than requests need their load, and against a
// busy service whose servers are rarely probed.
func TestProbeInterval(t *testing.T) {
	is := is.New(t)
	const servers, shortest, tick = 10, 60 * time.Millisecond, 50 * time.Millisecond
	var d Demand
	now := clock.Time(1)
	run := func(seconds, perSecond int) time.Duration {
		for range seconds * int(time.Second/tick) {
			d.Add(perSecond / int(time.Second/tick))
			now = now.Add(tick)
			d.Update(now)
		}
		return d.ProbeInterval(servers, 0.2, shortest)
	}
	d.Update(now)
	is.Equal(d.ProbeInterval(servers, 0.2, shortest), shortest) // nothing is known yet
	is.Equal(run(4, 400), shortest)
	// 180 requests a second are placed by half as many probes, over all servers.
	usual := run(10, 180)
	is.True(usual > 105*time.Millisecond && usual < 117*time.Millisecond)
	is.Equal(d.ProbeInterval(servers, 0.7, shortest), shortest) // few slots are free
	is.Equal(run(10, 0), MaxProbeGap)
}

// TestProbeDue guards against a probe that a recent response makes useless, and against a
// server that is never probed because its responses always tell its load.
func TestProbeDue(t *testing.T) {
	is := is.New(t)
	const interval = 100 * time.Millisecond
	at := clock.Time(time.Second)
	is.True(ProbeDue(at, at, nil, interval))
	is.True(!ProbeDue(at.Add(interval/2), at, &Reading{At: at}, interval))
	is.True(ProbeDue(at.Add(interval), at, &Reading{At: at}, interval))
	recent := &Reading{At: at.Add(MaxProbeGap - time.Millisecond), FromResponse: true}
	is.True(!ProbeDue(at.Add(MaxProbeGap-time.Millisecond), at, recent, interval))
	is.True(ProbeDue(at.Add(MaxProbeGap), at, recent, interval))
}

// TestResponseKeepsCold guards against a cold server that counts as warm after its first
// response, because only probes say that it is cold.
func TestResponseKeepsCold(t *testing.T) {
	is := is.New(t)
	var s State
	at := clock.Time(time.Second)
	s.Observe(Reading{At: at, Slots: 4, Speed: 1, ColdUntil: at.Add(3 * time.Second)})
	s.ObserveResponse(Reading{At: at.Add(time.Millisecond), Running: 1, Slots: 4, Speed: 1})
	e := s.Estimate(at.Add(2*time.Millisecond), 1, 4)
	is.True(e.Cold)
	is.Equal(e.Running, 1.0)
	is.True(s.TakeResponseReading() != nil)
	is.True(s.TakeResponseReading() == nil)
	s.Observe(Reading{At: at.Add(2 * time.Millisecond), Slots: 4, Speed: 1})
	is.True(!s.Estimate(at.Add(3*time.Millisecond), 1, 4).Cold) // a probe says that it is warm
}

// TestPacer guards against more queries of servers than their budget, also after a calm
// time, and against a budget that is never used.
func TestPacer(t *testing.T) {
	is := is.New(t)
	var p Pacer
	now := clock.Time(time.Hour)
	taken := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if p.Take(now, 30) {
			taken++
		}
	}
	is.True(taken >= 300 && taken <= 331) // 10 s, and the burst of one
	is.True(!p.Take(now, 0))
}
