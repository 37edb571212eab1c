// Command measure compares placement policies on a simulated fleet in virtual time.
// It compares the placement filter of this program with a random choice, the better
// of two random choices, and a choice by the true state of every server, which
// bounds the worth that placement alone can achieve. Each row is one run; equal seeds
// give equal fleets and callers. It opens no sockets.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sourcegraph/conc/iter"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
)

type options struct {
	Seeds  int           `long:"seeds" default:"3" description:"number of seeds, from 1"`
	Length time.Duration `long:"length" default:"24s" description:"virtual time of a run"`
	Loads  []string      `long:"load" description:"quiet, busy, slow, burst, overload; default all"`
	Policy []string      `long:"policy" description:"random, two-choices, ours, knowing; default all"`
	Plot   string        `long:"plot" description:"file for a plot of the worth over time of the first seed, SVG"`
}

// newKind returns a kind whose responses keep a tenth of their worth when they miss
// the objective.
func newKind(name, service string, share float64, work, objective, deadline time.Duration, worth float64, idempotent bool, priority int) kind {
	return kind{
		Route: manifest.Route{
			Name: name, Objective: manifest.Duration(objective), Deadline: manifest.Duration(deadline), Idempotent: idempotent, Priority: priority,
		},
		service: service, share: share, work: work, worth: worth, lateWorth: worth / 10,
	}
}

const ms = time.Millisecond

// sites returns the simulated fleets. As at the users' sites, the backend servers are
// small and their speed changes several times a second.
func sites() []*site {
	return []*site{
		{
			name: "orders", hosts: 5, services: map[string]int{"a": 21, "b": 15}, slots: 4, noise: noise{0.35, 4, 300 * ms}, rate: 320, probeInterval: 35 * ms,
			kinds: []kind{
				newKind("lookup", "a", 0.55, 60*ms, 200*ms, 800*ms, 1, true, 7),
				newKind("order", "a", 0.2, 80*ms, 250*ms, time.Second, 2, false, 8),
				newKind("release", "b", 0.13, 40*ms, 150*ms, 600*ms, 3, false, 9),
				newKind("price", "b", 0.12, 240*ms, 600*ms, 2500*ms, 1, true, 7),
			},
		},
		{
			name: "counter", hosts: 4, services: map[string]int{"a": 19, "b": 11}, slots: 6, noise: noise{0.25, 4, 300 * ms}, rate: 150, probeInterval: 100 * ms,
			kinds: []kind{
				newKind("status", "a", 0.6, 200*ms, 500*ms, 2*time.Second, 1, true, 7),
				newKind("order", "a", 0.2, 250*ms, 700*ms, 2500*ms, 2, false, 8),
				newKind("slot", "b", 0.2, 200*ms, 500*ms, 2*time.Second, 2, false, 9),
			},
		},
	}
}

// scenario is a load over time, as a multiple of the site's rate. A share of the
// backend servers may also be slow for a while.
type scenario struct {
	name      string
	load      func(time.Duration) float64
	slowShare float64 // share of the servers whose work takes slowFactor times as long from slowFrom to slowUntil
}

const (
	slowFactor          = 5
	slowFrom, slowUntil = 8 * time.Second, 14 * time.Second
)

func steady(x float64) func(time.Duration) float64 { return func(time.Duration) float64 { return x } }

var scenarios = []scenario{
	{name: "quiet", load: steady(1)},
	{name: "busy", load: steady(1.6)},
	{name: "slow", load: steady(1.3), slowShare: 0.16},
	{name: "burst", load: func(at time.Duration) float64 { // twice as many callers for 4 s
		if at > 10*time.Second && at < 14*time.Second {
			return 2.4
		}
		return 1.2
	}},
	{name: "overload", load: steady(2.2)},
}

var policies = []struct {
	name string
	policy
}{
	{"random", policyFunc(random)}, {"two-choices", policyFunc(twoChoices)}, {"ours", placementPolicy{}}, {"knowing", policyFunc(oracle)},
}

// isSelected reports whether a name is among those given, or none is given.
func isSelected(given []string, name string) bool {
	return len(given) == 0 || slices.Contains(given, name)
}

// job is one run.
type job struct {
	site     *site
	scenario scenario
	policy   string
	chooser  policy
	seed     int
}

func (o *options) jobs() (out []job) {
	for _, st := range sites() {
		for _, sc := range scenarios {
			for _, p := range policies {
				for seed := 1; seed <= o.Seeds && isSelected(o.Loads, sc.name) && isSelected(o.Policy, p.name); seed++ {
					out = append(out, job{st, sc, p.name, p.policy, seed})
				}
			}
		}
	}
	return out
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	fmt.Println("worth: share of the offered worth that was earned; worst: worth of the worst 2 s; refused: refusals per request; second: hedges per request; far: share of attempts to another data centre")
	fmt.Printf("%-8s %-9s %-12s %4s | %6s %6s | %6s %6s %6s | %6s %6s %6s | %7s %6s %6s\n",
		"site", "load", "policy", "seed", "worth", "worst", "p50", "p99", "p99.9", "intime", "late", "lost", "refused", "second", "far")
	jobs := o.jobs()
	results := iter.Map(jobs, func(j *job) *result { return j.run(o.Length) })
	var curves []curve
	for i, j := range jobs {
		j.print(results[i], o.Length)
		if j.seed == 1 {
			curves = append(curves, curve{j.site.name + ", " + j.scenario.name, j.policy, results[i].series(int(o.Length / window))})
		}
	}
	if o.Plot != "" {
		if err := os.WriteFile(o.Plot, plot(curves), 0o600); err != nil {
			fmt.Fprintln(os.Stderr, "measure:", err)
			os.Exit(1)
		}
	}
}

func (j *job) run(length time.Duration) *result {
	sim := newSimulation(j.site, j.chooser, uint64(j.seed), j.scenario.load)
	for i, s := range sim.servers {
		if float64(i) < j.scenario.slowShare*float64(len(sim.servers)) {
			sim.after(slowFrom, func() { s.hiddenSlowdown = slowFactor })
			sim.after(slowUntil, func() { s.hiddenSlowdown = 1 })
		}
	}
	sim.runUntil(clock.Time(time.Minute).Add(length))
	return &sim.result
}

func (j *job) print(r *result, length time.Duration) {
	mean, worst := r.worth(int(length / window))
	n := float64(r.inTime + r.late + r.lost)
	fmt.Printf("%-8s %-9s %-12s %4d | %6.3f %6.3f | %6.0f %6.0f %6.0f | %6.3f %6.3f %6.3f | %7.3f %6.3f %6.3f\n",
		j.site.name, j.scenario.name, j.policy, j.seed, mean, worst, r.quantile(0.5), r.quantile(0.99), r.quantile(0.999),
		float64(r.inTime)/n, float64(r.late)/n, float64(r.lost)/n, float64(r.refused)/n, float64(r.hedged)/n, float64(r.remote)/float64(max(r.sent, 1)))
}
