package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/clock"
)

const ms = clock.Time(time.Millisecond)

func testPool(n, slots, maxEjected int) (*Pool, []*Counter) {
	p := NewPool(Config{})
	var members []Member
	var counters []*Counter
	for i := range n {
		counters = append(counters, &Counter{})
		members = append(members, Member{Name: fmt.Sprintf("b%d", i), Slots: slots, Counter: counters[i]})
	}
	p.SetMembers(Config{ReportAge: 500 * time.Millisecond, MaxEjected: maxEjected}, members)
	return p, counters
}

func success(d time.Duration) Observation {
	return Observation{Kind: Success, ServiceTime: d, Load: Report{Inflight: -1}}
}

func result(k Kind) Observation { return Observation{Kind: k, Load: Report{Inflight: -1}} }

// warm gives every server enough successes for its full limit.
func warm(p *Pool, d time.Duration, now clock.Time) {
	for range 400 {
		for _, s := range p.servers {
			p.Observe(s.name, success(d), now)
		}
	}
}

// TestTakeKeepsLimits guards against a grant above a server's limit, a limit
// above its slots, and more ejected servers than the bound.
func TestTakeKeepsLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		quota := rapid.IntRange(0, 3).Draw(rt, "quota")
		p, counters := testPool(5, 4, quota)
		now := clock.Time(0)
		held := map[int]int{}
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now += clock.Time(rapid.IntRange(0, 20).Draw(rt, "dt")) * ms
			if rapid.Bool().Draw(rt, "take") {
				v := p.View()
				if i := v.Take(now, rapid.Bool().Draw(rt, "idempotent"), nil, rapid.Uint64().Draw(rt, "random")); i >= 0 {
					held[i]++
					if n := counters[i].Inflight(); n > v.Servers[i].Limit || v.Servers[i].Limit > 4 || n != held[i] {
						rt.Fatalf("server %d has %d in flight, held %d, limit %d", i, n, held[i], v.Servers[i].Limit)
					}
				}
				continue
			}
			i := rapid.IntRange(0, 4).Draw(rt, "server")
			if held[i] == 0 {
				continue
			}
			held[i]--
			counters[i].Release()
			p.Observe(p.servers[i].name, Observation{
				Kind:        Kind(rapid.IntRange(0, int(Unused)).Draw(rt, "kind")),
				ServiceTime: time.Duration(rapid.IntRange(1, 100).Draw(rt, "ms")) * time.Millisecond,
				Instance:    rapid.SampledFrom([]string{"", "x", "y"}).Draw(rt, "instance"),
				Load:        Report{Inflight: rapid.IntRange(-1, 6).Draw(rt, "load"), Own: held[i] + 1},
			}, now)
			ejected := 0
			for _, s := range p.View().Servers {
				if s.Ejected {
					ejected++
				}
			}
			if ejected > quota {
				rt.Fatalf("%d servers ejected, bound %d", ejected, quota)
			}
		}
	})
}

// TestSlowStart guards against a cold server that gets more than its own
// successes allow, and against a cold start that goes unnoticed.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	p, _ := testPool(1, 4, 0)
	limit := func() int { return p.View().Servers[0].Limit }
	is.Equal(limit(), 1) // new
	for range stepSuccesses {
		p.Observe("b0", success(time.Millisecond), 0)
	}
	is.Equal(limit(), 2)
	p.Observe("b0", result(Failure), 0)
	is.Equal(limit(), 1) // a failure goes back a step
	for range stepSuccesses {
		p.Observe("b0", success(time.Millisecond), 0)
	}
	is.Equal(limit(), 1) // and the next step takes longer
	for _, cold := range []Observation{
		result(Crash),
		{Kind: Success, ServiceTime: time.Millisecond, Instance: "new", Load: Report{Inflight: -1}},
	} {
		p, _ = testPool(1, 4, 0)
		o := success(time.Millisecond)
		o.Instance = "old"
		for range 400 {
			p.Observe("b0", o, 0)
		}
		is.Equal(limit(), 4)
		is.True(p.View().Servers[0].Warm)
		p.Observe("b0", cold, 0)
		is.Equal(limit(), 1)
		is.True(!p.View().Servers[0].Warm)
	}
}

// TestStragglerIsFoundAndRecovers guards against a straggler that keeps its
// share of the work, and against one that never gets back.
func TestStragglerIsFoundAndRecovers(t *testing.T) {
	const seed = 7
	t.Logf("seed %d", seed)
	is := is.New(t)
	rng := rand.New(rand.NewPCG(seed, 0))
	p, _ := testPool(5, 4, 1)
	noisy := func(d time.Duration) Observation {
		return success(time.Duration(float64(d) * (0.5 + rng.Float64())))
	}
	warm(p, 5*time.Millisecond, 0)
	requests := 0
	for ; !p.View().Servers[1].Ejected && requests < 300; requests++ {
		i := rng.IntN(5)
		d := 5 * time.Millisecond
		if i == 1 {
			d *= 10
		}
		p.Observe(p.servers[i].name, noisy(d), 0)
	}
	t.Logf("straggler found after %d requests", requests)
	is.True(requests < 300)
	v := p.View()
	i := v.Take(1000*ms, true, nil, 0)
	is.Equal(i, 1) // trickled work
	is.True(v.Take(1000*ms, true, nil, 1) != 1)
	for range 20 {
		p.Observe("b1", noisy(5*time.Millisecond), 0)
	}
	is.True(!p.View().Servers[1].Ejected)
}

// TestOverdueRequestsMarkStraggler guards against a server that stops
// answering and would be judged only once its requests end.
func TestOverdueRequestsMarkStraggler(t *testing.T) {
	is := is.New(t)
	p, _ := testPool(5, 4, 1)
	warm(p, 5*time.Millisecond, 0)
	late := 60 * time.Millisecond
	is.True(!p.Ages("b2", []time.Duration{late / 4, late / 4, late / 4, late / 4}, 100*ms))
	is.True(p.Ages("b2", []time.Duration{late, late, late, late}, 100*ms))
	is.True(p.View().Servers[2].Ejected)
}

// TestFastFailuresAreNotSpeed guards against a server that fails quickly and
// draws work because it looks fast or idle.
func TestFastFailuresAreNotSpeed(t *testing.T) {
	is := is.New(t)
	p, _ := testPool(4, 4, 1)
	warm(p, 10*time.Millisecond, 0)
	for range 6 {
		o := result(Failure)
		o.ServiceTime = time.Microsecond
		p.Observe("b3", o, 0)
	}
	is.Equal(p.Median(), 10*time.Millisecond)
	is.True(p.View().Servers[3].Ejected)
	is.Equal(p.View().Slots, 12)
	// In a pool that may eject none, the others go first.
	p, _ = testPool(3, 4, 0)
	warm(p, 10*time.Millisecond, 0)
	for range 6 {
		p.Observe("b2", result(Failure), 0)
	}
	is.Equal(p.View().Servers[2].Weight, 1.0/16)
	for i := range 8 {
		is.True(p.View().Take(0, true, nil, uint64(i)) != 2)
	}
	is.Equal(p.View().Take(0, true, nil, 0), 2) // and it still gets what is left
}

// TestWeighted guards against a score that ignores the used share or the priority.
func TestWeighted(t *testing.T) {
	is := is.New(t)
	w := &Weighted{WeightPriority: 1, WeightShare: 1, Max: 5, Entitled: [10]float64{0: 0.4, 5: 0.6}}
	low, high := &Item{}, &Item{Priority: 5}
	is.Equal(w.Score(high)-w.Score(low), 1.0) // nothing used yet
	for range 100 {
		w.Granted(5, 0)
	}
	is.True(w.Score(low) > w.Score(high)) // the high one used more than its share
}

// TestShedLowersLimit guards against a shed answer that is ignored or that is
// counted as a failure.
func TestShedLowersLimit(t *testing.T) {
	is := is.New(t)
	p, _ := testPool(1, 4, 0)
	warm(p, time.Millisecond, 0)
	p.Observe("b0", result(Shed), 0)
	is.Equal(p.View().Servers[0].Limit, 3)
	is.Equal(p.Stats().Failures, int64(0))
	warm(p, time.Millisecond, 0)
	is.Equal(p.View().Servers[0].Limit, 4)
}

// TestLoadReports guards against decisions on reports that are stale, that
// contradict what the holder sees, or that are one-off.
func TestLoadReports(t *testing.T) {
	is := is.New(t)
	p, _ := testPool(3, 4, 0)
	warm(p, 10*time.Millisecond, 0)
	report := func(inflight, own int, age, service time.Duration) {
		o := success(service)
		o.Load = Report{Inflight: inflight, Own: own, Age: age}
		p.Observe("b0", o, 10*ms)
	}
	report(4, 1, 0, 10*time.Millisecond)
	is.Equal(p.View().Servers[0].Limit, 4) // a single report changes nothing
	for range 40 {
		report(3, 1, 0, 10*time.Millisecond)
	}
	is.Equal(p.View().Servers[0].Limit, 2) // two requests of others
	report(4, 0, time.Second, 10*time.Millisecond)
	is.Equal(p.Stats().StaleReports, int64(1))
	for range distrustAfter {
		report(9, 1, 0, time.Millisecond) // overloaded, yet faster than the others
	}
	is.Equal(p.Stats().ContradictedReports, int64(distrustAfter))
	report(4, 1, 0, 10*time.Millisecond)
	is.Equal(p.Stats().IgnoredReports, int64(1))
	is.Equal(p.View().Servers[0].Limit, 4)
	p.Observe("b1", Observation{Kind: Success, ServiceTime: 10 * time.Millisecond, Load: Report{Inflight: 0, Own: 1}}, 10*ms)
	p.Observe("b1", result(Shed), 11*ms)
	is.Equal(p.Stats().ContradictedReports, int64(distrustAfter+1)) // free by report, yet it shed
}

// TestQueue guards against a queue that grows past its bound, serves out of
// order, loses an item, or keeps what cannot finish in time.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(rt, "limit")
		q := NewQueue(limit, Strict{})
		q.Held(time.Duration(rapid.IntRange(0, 20).Draw(rt, "hold")) * time.Millisecond)
		waiting := map[*Item]bool{}
		now := clock.Time(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += ms
			for _, it := range q.Expired(now) {
				delete(waiting, it)
			}
			if rapid.Bool().Draw(rt, "serve") {
				it := q.Next()
				for other := range waiting {
					if other.Priority > it.Priority || other.Priority == it.Priority && other.sequence < it.sequence {
						rt.Fatalf("priority %d served before %d", it.Priority, other.Priority)
					}
				}
				if it != nil {
					q.Remove(it)
					delete(waiting, it)
				}
				continue
			}
			it := &Item{Priority: rapid.IntRange(0, 9).Draw(rt, "priority"), MaxWait: 20 * time.Millisecond, GiveUp: now + 30*ms, Deadline: now + 50*ms}
			displaced, refusal := q.Offer(it, now, 4)
			if refusal == Accepted {
				waiting[it] = true
			}
			if displaced != nil {
				if displaced.Priority >= it.Priority || !waiting[displaced] {
					rt.Fatalf("displaced priority %d for %d", displaced.Priority, it.Priority)
				}
				delete(waiting, displaced)
			}
			if q.Len() > limit || q.Len() != len(waiting) {
				rt.Fatalf("queue has %d items, %d expected, limit %d", q.Len(), len(waiting), limit)
			}
		}
	})
	is := is.New(t)
	q := NewQueue(8, Strict{})
	q.Held(10 * time.Millisecond)
	late := &Item{MaxWait: time.Second, GiveUp: 1000 * ms, Deadline: 15 * ms}
	_, refusal := q.Offer(late, 0, 1)
	is.Equal(refusal, WontFinish) // 10 ms for a slot and 10 ms to run
}

// TestReducedHosts guards against more hosts than floor(slots/2) using a server
// without a lease, and against hosts that disagree because of list order.
func TestReducedHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		listed := rapid.SliceOfDistinct(rapid.StringMatching(`[a-z]{1,6}`), rapid.ID[string]).Draw(rt, "listed")
		slots := rapid.IntRange(0, 9).Draw(rt, "slots")
		first := ReducedHosts("b1", slots, listed)
		if len(first) != min(slots/2, len(listed)) {
			rt.Fatalf("%d hosts for %d slots", len(first), slots)
		}
		slices.Reverse(listed)
		if !slices.Equal(first, ReducedHosts("b1", slots, listed)) {
			rt.Fatalf("order of the list matters")
		}
	})
}

// TestEjectionQuota guards against pools that together eject more than the
// service allows.
func TestEjectionQuota(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 16), 1, 10).Draw(rt, "sizes")
		percent := rapid.IntRange(0, 100).Draw(rt, "percent")
		total, sum := 0, 0
		for k, n := range sizes {
			total += n
			sum += EjectionQuota(sizes, k, percent)
		}
		if sum != total*percent/100 {
			rt.Fatalf("quota %d of %d servers at %d%%", sum, total, percent)
		}
	})
}

// TestBudget guards against probes beyond the measuring budget, also right
// after a change of holder.
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
		for now := clock.Time(0); now < seconds*1000*ms; now += clock.Time(rapid.IntRange(1, 400).Draw(rt, "dt")) * ms {
			if b.Take(now) {
				n := rapid.IntRange(1, 900).Draw(rt, "size")
				b.Spent(n)
				probes, spent, largest = probes+1, spent+n, max(largest, n)
			}
		}
		if float64(probes) > rate*seconds || bytes > 0 && float64(spent) > bytes*seconds+float64(largest) {
			rt.Fatalf("%d probes, %d bytes in %d s", probes, spent, seconds)
		}
	})
}

// TestChoosePool guards against a pool that was asked before, a detour while
// the own data centre has room, and work for a pool that is known to be full.
func TestChoosePool(t *testing.T) {
	const seed = 3
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	local := Candidate{Local: true, Slots: 20, Free: 5, Median: 5 * time.Millisecond}
	full := Candidate{Local: true, Slots: 20, Free: 0, Queued: 20}
	cold := Candidate{Local: true, Slots: 5, Free: 5, Median: 25 * time.Millisecond}
	remote := Candidate{Slots: 20, Free: 5, Median: 5 * time.Millisecond}
	remoteFull := Candidate{Slots: 20}
	for _, c := range []struct {
		name  string
		pools []Candidate
		skip  uint64
		want  int
		spill bool
	}{
		{"own data centre first", []Candidate{remote, local}, 0, 1, false},
		{"own is full", []Candidate{remote, full, remoteFull}, 0, 0, true},
		{"own was asked", []Candidate{remote, local}, 2, 0, true},
		{"own is slow", []Candidate{remote, cold}, 0, 0, false},
		{"all are full", []Candidate{remoteFull, full}, 0, 1, false},
		{"all were asked", []Candidate{remote, local}, 3, -1, false},
		{"own is out", []Candidate{remoteFull, remote}, 0, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			i := ChoosePool(c.pools, c.skip, false, rng.IntN)
			is.Equal(i, c.want)
			if i >= 0 {
				is.Equal(Spill(c.pools, i), c.spill)
			}
		})
	}
}
