package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/load"
)

const ms = time.Millisecond

func server(running, waiting, speed float64) Candidate {
	return Candidate{Local: true, Estimate: load.Estimate{Known: true, Slots: 4, Running: running, Waiting: waiting, Speed: speed, Slowdown: 1}}
}

func requirements() Requirements {
	return Requirements{Work: 60 * ms, Objective: 200 * ms, PenaltyScale: 200 * ms, TotalObjective: 200 * ms, TimeLeft: 800 * ms, Urgency: 0.9}
}

func choose(req Requirements, candidates ...Candidate) Choice {
	var c Choice
	r := rand.New(rand.NewPCG(1, 1))
	for i, s := range candidates {
		c.Consider(i, s, req, r)
	}
	return c
}

// TestChoice guards against choosing a server by its request count alone, without
// regard to its speed, its failures, the age of its reading and the cost of
// traffic to another data centre.
func TestChoice(t *testing.T) {
	remote, stale, failing, unhealthy := server(0, 0, 1), server(0, 0, 1), server(0, 0, 1), server(0, 0, 1)
	remote.Local, remote.ExtraRoundTrip = false, 3*ms
	stale.Age = time.Second
	failing.FailureRate = 0.7
	unhealthy.Unhealthy = true
	slowed := server(0, 0, 1)
	slowed.Slowdown = 5
	for name, c := range map[string]struct {
		list []Candidate
		want int
	}{
		"idle but slow":                 {[]Candidate{server(0, 0, 4), server(2, 0, 1)}, 1},
		"near full":                     {[]Candidate{server(3, 0, 1), server(2, 0, 1)}, 1},
		"queue":                         {[]Candidate{server(4, 6, 1), server(3, 0, 1)}, 1},
		"local first":                   {[]Candidate{remote, server(2, 0, 1)}, 1},
		"remote when local is slow":     {[]Candidate{server(0, 0, 4), remote}, 1},
		"stale reading":                 {[]Candidate{stale, server(2, 0, 1)}, 1},
		"failing":                       {[]Candidate{failing, server(2, 0, 1)}, 1},
		"fails its health check":        {[]Candidate{unhealthy, server(2, 0, 1)}, 1},
		"slower than reported":          {[]Candidate{slowed, server(2, 0, 1)}, 1},
		"failing, but all others worse": {[]Candidate{server(4, 12, 4), failing}, 1},
	} {
		if got := choose(requirements(), c.list...); got.Best.Index != c.want {
			t.Errorf("%s: chose %d, want %d", name, got.Best.Index, c.want)
		}
	}
}

// TestAdmit guards against queueing requests that will be late anyway, against
// refusing requests that can be served in time, and against refusing a caller
// that has no time to retry later while a server has capacity.
func TestAdmit(t *testing.T) {
	is := is.New(t)
	_, got := Admit(choose(requirements()), requirements())
	is.Equal(got, TooLate) // no server at all
	_, got = Admit(choose(requirements(), server(3, 0, 1)), requirements())
	is.Equal(got, Send) // near full, but in time
	_, got = Admit(choose(requirements(), server(4, 12, 1)), requirements())
	is.Equal(got, AtCapacity) // late in a queue
	_, got = Admit(choose(requirements(), server(0, 0, 4)), requirements())
	is.Equal(got, AtCapacity) // late on a slow server; there is time to retry later
	last := requirements()
	last.TimeLeft = 300 * ms
	_, got = Admit(choose(last, server(0, 0, 4)), last)
	is.Equal(got, Send) // late, but there is no time for a retry and a slot is free
	_, got = Admit(choose(last, server(4, 12, 1)), last)
	is.True(got != Send) // not into a queue
	last.TimeLeft = 30 * ms
	_, got = Admit(choose(last, server(0, 0, 1)), last)
	is.Equal(got, TooLate)
	hedge := requirements()
	hedge.SpareCapacityOnly = true
	_, got = Admit(choose(hedge, server(3, 0, 1)), hedge)
	is.Equal(got, AtCapacity) // a hedge takes no slot that other requests need
	_, got = Admit(choose(hedge, server(1, 0, 1)), hedge)
	is.Equal(got, Send)
}

// TestOverload simulates a burst beyond the capacity of the servers, with
// readings up to 80 ms old, and guards against admitting so many requests that
// hardly any is in time.
func TestOverload(t *testing.T) {
	const (
		servers, slots = 10, 4
		work           = 60 * ms
		burst          = 1000 // requests per second; the servers complete 10*3/60ms = 500 without being near full
	)
	rng := rand.New(rand.NewPCG(7, 7))
	type run struct{ end, arrived time.Duration }
	var running [servers][]run
	readings := [servers]Candidate{}
	inTime, late := 0, 0
	for now := time.Duration(0); now < 4*time.Second; now += ms {
		for i := range running {
			kept := running[i][:0]
			for _, r := range running[i] {
				switch {
				case r.end > now:
					kept = append(kept, r)
				case r.end-r.arrived <= 200*ms:
					inTime++
				default:
					late++
				}
			}
			running[i] = kept
			if now%(80*ms) == 0 {
				n := float64(len(running[i]))
				readings[i] = server(min(n, slots), max(0, n-slots), 1)
			}
		}
		for range burst / 1000 {
			c, admission := Admit(choose(requirements(), readings[:]...), requirements())
			if admission != Send {
				continue
			}
			i := c.Index
			readings[i].Running++ // a host knows its own requests at once
			took := time.Duration(float64(work) * (0.7 + 0.6*rng.Float64()))
			if n := len(running[i]); n >= slots {
				took = took*17/10 + time.Duration(n-slots+1)*work/slots
			} else if float64(n+1) > nearFullUtilization*slots {
				took = took * 17 / 10
			}
			running[i] = append(running[i], run{now + took, now})
		}
	}
	if share := float64(inTime) / 4 / 500; share < 0.8 || late > inTime/10 {
		t.Errorf("%d in time, %d late: %.2f of the servers' capacity in time", inTime, late, share)
	}
}

// TestOpenConnectionPreferred guards against a request that opens a connection although a
// server that would be as fast has an idle one, and against one that keeps to its connections
// when another server would be much faster.
func TestOpenConnectionPreferred(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	req := Requirements{Work: 200 * time.Millisecond, Objective: 600 * time.Millisecond, PenaltyScale: 600 * time.Millisecond, TimeLeft: time.Second, Urgency: 1}
	for speed, want := range map[float64]int{1: 1, 1.1: 1, 2: 0} {
		for range 100 {
			var c Choice
			c.Consider(0, Candidate{Estimate: load.Estimate{Known: true, Slots: 2, Speed: 1, Slowdown: 1}, Local: true, NeedsConnection: true}, req, rng)
			c.Consider(1, Candidate{Estimate: load.Estimate{Known: true, Slots: 2, Speed: speed, Slowdown: 1}, Local: true}, req, rng)
			is.Equal(c.Best.Index, want)
		}
	}
}

// TestOldReadings replays a service of which most servers are busy or slow, so that a server
// that looks free by an old reading probably is not. It guards against a request that goes to
// such a server rather than to one that is known to have a slot, and against one that avoids
// an old reading when all servers are free.
func TestOldReadings(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	req := Requirements{Work: 200 * time.Millisecond, Objective: 600 * time.Millisecond, PenaltyScale: 600 * time.Millisecond, TimeLeft: time.Second, Urgency: 1}
	old := Candidate{Estimate: load.Estimate{Known: true, Slots: 2, Speed: 1, Slowdown: 1, Age: 150 * time.Millisecond}, Local: true}
	known := Candidate{Estimate: load.Estimate{Known: true, Slots: 2, Speed: 1, Slowdown: 1, Running: 1, Age: time.Millisecond}, Local: true, Queried: true}
	for typical, want := range map[time.Duration]int{200 * time.Millisecond: 0, 600 * time.Millisecond: 1, 0: 0} {
		req.Typical = typical
		for range 100 {
			var c Choice
			c.Consider(0, old, req, rng)
			c.Consider(1, known, req, rng)
			is.Equal(c.Best.Index, want)
		}
	}
}

// TestUnknownServersBySlots guards against hosts that have just started and send a small
// server as many requests as a large one, of which they know no more than the slots.
func TestUnknownServersBySlots(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	req := Requirements{Work: 200 * time.Millisecond, Objective: 600 * time.Millisecond, PenaltyScale: 600 * time.Millisecond}
	chosen := map[int]int{} // by slots
	for range 3000 {
		var c Choice
		for i, slots := range []int{2, 2, 4, 4} {
			c.Consider(i, Candidate{Estimate: load.Estimate{Slots: slots, Speed: 1}, Local: true}, req, r)
		}
		chosen[c.Best.Load.Slots]++
	}
	t.Logf("requests by slots: %v", chosen)
	is.True(chosen[4] > 3*chosen[2]/2 && chosen[4] < 3*chosen[2])
}

// TestOldReadingIsNoRefusal guards against a request that is refused because the only servers
// known to be slow are preferred to one that looks free by an old reading.
func TestOldReadingIsNoRefusal(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	req := Requirements{
		Work: 200 * ms, Objective: 300 * ms, TotalObjective: 300 * ms, PenaltyScale: 300 * ms, TimeLeft: time.Second, Urgency: 1,
		Typical: 600 * ms,
	}
	var c Choice
	c.Consider(0, Candidate{Estimate: load.Estimate{Known: true, Slots: 2, Speed: 1, Slowdown: 1, Age: 300 * ms}, Local: true}, req, rng)
	c.Consider(1, Candidate{Estimate: load.Estimate{Known: true, Slots: 2, Speed: 1.8, Slowdown: 1, Age: ms}, Local: true, Queried: true}, req, rng)
	is.Equal(c.Best.Index, 1)
	o, admission := Admit(c, req)
	is.Equal(admission, Send)
	is.Equal(o.Index, 0)
}
