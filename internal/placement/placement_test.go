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

func ask() Requirements {
	return Requirements{Work: 60 * ms, Objective: 200 * ms, PenaltyScale: 200 * ms, TotalObjective: 200 * ms, TimeLeft: 800 * ms, Urgency: 0.9}
}

func choose(a Requirements, candidates ...Candidate) Choice {
	var c Choice
	r := rand.New(rand.NewPCG(1, 1))
	for i, s := range candidates {
		c.Consider(i, s, a, r)
	}
	return c
}

// TestChoice guards against a server that is chosen by its count of requests
// alone, whatever its speed, its failures, the age of its reading and the price
// of its bytes.
func TestChoice(t *testing.T) {
	remote, old, failing, ill := server(0, 0, 1), server(0, 0, 1), server(0, 0, 1), server(0, 0, 1)
	remote.Local, remote.ExtraRoundTrip = false, 3*ms
	old.Age = time.Second
	failing.FailureRate = 0.7
	ill.Unhealthy = true
	slowed := server(0, 0, 1)
	slowed.Slowdown = 5
	for name, c := range map[string]struct {
		list []Candidate
		want int
	}{
		"idle but slow":                 {[]Candidate{server(0, 0, 4), server(2, 0, 1)}, 1},
		"near full":                     {[]Candidate{server(3, 0, 1), server(2, 0, 1)}, 1},
		"queue":                         {[]Candidate{server(4, 6, 1), server(3, 0, 1)}, 1},
		"home first":                    {[]Candidate{remote, server(2, 0, 1)}, 1},
		"elsewhere when home is slow":   {[]Candidate{server(0, 0, 4), remote}, 1},
		"old reading":                   {[]Candidate{old, server(2, 0, 1)}, 1},
		"failing":                       {[]Candidate{failing, server(2, 0, 1)}, 1},
		"ill by its own word":           {[]Candidate{ill, server(2, 0, 1)}, 1},
		"slower than it says":           {[]Candidate{slowed, server(2, 0, 1)}, 1},
		"failing, but all others worse": {[]Candidate{server(4, 12, 4), failing}, 1},
	} {
		if got := choose(ask(), c.list...); got.Best.Index != c.want {
			t.Errorf("%s: chose %d, want %d", name, got.Best.Index, c.want)
		}
	}
}

// TestAdmit guards against requests that fill the queues of servers although
// they will be late, against refusing what can be served in time, and against
// refusing a caller that cannot come back while a server has room.
func TestAdmit(t *testing.T) {
	is := is.New(t)
	_, got := Admit(choose(ask()), ask())
	is.Equal(got, TooLate) // no server at all
	_, got = Admit(choose(ask(), server(3, 0, 1)), ask())
	is.Equal(got, Send) // near full, but in time
	_, got = Admit(choose(ask(), server(4, 12, 1)), ask())
	is.Equal(got, AtCapacity) // late in a queue
	_, got = Admit(choose(ask(), server(0, 0, 4)), ask())
	is.Equal(got, AtCapacity) // late on a slow server; there is time to come back
	last := ask()
	last.TimeLeft = 300 * ms
	_, got = Admit(choose(last, server(0, 0, 4)), last)
	is.Equal(got, Send) // late, but it is the last chance and the slot is free
	_, got = Admit(choose(last, server(4, 12, 1)), last)
	is.True(got != Send) // not into a queue
	last.TimeLeft = 30 * ms
	_, got = Admit(choose(last, server(0, 0, 1)), last)
	is.Equal(got, TooLate)
	second := ask()
	second.SpareCapacityOnly = true
	_, got = Admit(choose(second, server(3, 0, 1)), second)
	is.Equal(got, AtCapacity) // a copy takes no slot that others need
	_, got = Admit(choose(second, server(1, 0, 1)), second)
	is.Equal(got, Send)
}

// TestOverload replays a burst of more than the servers bear against placement
// with readings that are 80 ms old, and guards against a policy that admits so
// much that hardly anything is in time.
func TestOverload(t *testing.T) {
	const (
		servers, slots = 10, 4
		work           = 60 * ms
		burst          = 1000 // a second; the servers do 10*3/60ms = 500 without getting near full
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
			c, admission := Admit(choose(ask(), readings[:]...), ask())
			if admission != Send {
				continue
			}
			i := c.Index
			readings[i].Running++ // the host's own requests are known at once
			took := time.Duration(float64(work) * (0.7 + 0.6*rng.Float64()))
			if n := len(running[i]); n >= slots {
				took = took*17/10 + time.Duration(n-slots+1)*work/slots
			} else if float64(n+1) > nearFull*slots {
				took = took * 17 / 10
			}
			running[i] = append(running[i], run{now + took, now})
		}
	}
	if share := float64(inTime) / 4 / 500; share < 0.8 || late > inTime/10 {
		t.Errorf("%d in time, %d late: %.2f of what the servers can do in time", inTime, late, share)
	}
}
