package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/anvilfront/anvilfront/internal/localfleet"
)

// table prints what was observed and returns whether a promise was broken.
func (d *demo) table() (broken bool) {
	r := d.load.Result()
	fmt.Println("\nAnswers by verdict")
	counts(r.Verdicts, "")
	fmt.Println("Answers without a complete answer of a backend server, by verdict and reason")
	counts(r.Reasons, "")
	var sheds, overloads, overSlots int64
	for _, s := range d.fleet.Servers {
		sheds += s.Sheds()
		overloads += s.ColdOverloads()
		if s.PeakInFlight() > int64(s.Slots) {
			overSlots++
		}
	}
	fmt.Printf("Orders sent                          %8d\n", r.Orders)
	fmt.Printf("Orders that ran                      %8d\n", r.Ran)
	fmt.Printf("Orders that ran twice                %8d\n", r.Duplicated)
	fmt.Printf("Requests shed by backend servers     %8d\n", sheds)
	fmt.Printf("Requests cut (no answer)             %8d\n", r.NoResponse)
	fmt.Printf("Latency added                        p50 %v, p99 %v (one process, with the callers and fakes)\n", r.P50, r.P99)
	fmt.Printf("Slowest manifest until in force      %v\n", d.slowest.Round(1e6))

	budget := probesPerSecond*d.probeTime.Seconds() + probesPerSecond
	fmt.Println("\nPromises")
	for _, p := range []struct {
		name string
		held bool
		seen string
	}{
		{"1 measurement budget", float64(d.probes) <= budget, fmt.Sprintf("%d probes, %.0f allowed", d.probes, budget)},
		{"2 cold start", overloads == 0, fmt.Sprintf("%d requests beyond a cold server's capacity", overloads)},
		{"3 data centre out of service", d.outRuns == 0, fmt.Sprintf("%d requests started there 3 s after acceptance", d.outRuns)},
		{"4 complete responses", r.Mismatched == 0, fmt.Sprintf("%d wrong answers", r.Mismatched)},
		{"5 truthful refusals", r.FalseNotRun == 0, fmt.Sprintf("%d false not-run", r.FalseNotRun)},
		{"6 at most once", r.Duplicated == 0 && r.FalseRan == 0, fmt.Sprintf("%d ran twice, %d said to have run did not", r.Duplicated, r.FalseRan)},
		{"7 leaving backend server", d.leftRuns == 0, fmt.Sprintf("%d requests started there 3 s after acceptance", d.leftRuns)},
		{"8 graceful shutdown", d.stopped == nil && d.cutByStop == 0, fmt.Sprintf("%d requests cut, result %v", d.cutByStop, d.stopped)},
		{"9 configuration", !d.late && !d.reverted, fmt.Sprintf("slowest %v of %v, reverted %t", d.slowest.Round(1e6), manifestBound, d.reverted)},
		{"  slots of backend servers", overSlots == 0, fmt.Sprintf("%d servers ran more than their slots", overSlots)},
	} {
		mark := "held"
		if !p.held {
			mark, broken = "BROKEN", true
		}
		fmt.Printf("  %-32s %-7s %s\n", p.name, mark, p.seen)
	}
	return broken
}

// probesPerSecond is the measuring budget in the manifest of localfleet.
const probesPerSecond = localfleet.ProbesPerSecond

func counts(m map[string]int64, indent string) {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Printf("%s  %-34s %8d\n", indent, strings.TrimSpace(name), m[name])
	}
}
