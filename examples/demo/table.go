package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/anvilfront/anvilfront/internal/localfleet"
)

// printTable prints the results and returns whether a promise was broken.
func (d *demo) printTable() (broken bool) {
	r := d.load.Result()
	fmt.Println("\nResponses by verdict")
	printCounters(r.Verdicts, "")
	fmt.Println("Responses without a complete response from a backend server, by verdict and reason")
	printCounters(r.Reasons, "")
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
	fmt.Printf("Requests without a response          %8d\n", r.NoResponse)
	fmt.Printf("Latency added                        p50 %v, p99 %v (one process, with the callers and fakes)\n", r.P50, r.P99)
	fmt.Printf("Slowest manifest until in effect     %v\n", d.slowestManifest.Round(1e6))

	budget := probesPerSecond*d.probeDuration.Seconds() + probesPerSecond
	fmt.Println("\nPromises")
	for _, p := range []struct {
		name   string
		held   bool
		detail string
	}{
		{"1 measurement budget", float64(d.probes) <= budget, fmt.Sprintf("%d probes, %.0f allowed", d.probes, budget)},
		{"2 cold start", overloads == 0, fmt.Sprintf("%d requests beyond a cold server's capacity", overloads)},
		{"3 data centre out of service", d.outOfServiceRuns == 0, fmt.Sprintf("%d requests started there 3 s after acceptance", d.outOfServiceRuns)},
		{"4 complete responses", r.Mismatched == 0, fmt.Sprintf("%d wrong responses", r.Mismatched)},
		{"5 truthful refusals", r.FalseNotRun == 0, fmt.Sprintf("%d false not-run", r.FalseNotRun)},
		{"6 at most once", r.Duplicated == 0 && r.FalseRan == 0, fmt.Sprintf("%d ran twice, %d reported as run but did not run", r.Duplicated, r.FalseRan)},
		{"7 leaving backend server", d.leavingRuns == 0, fmt.Sprintf("%d requests started there 3 s after acceptance", d.leavingRuns)},
		{"8 graceful shutdown", d.stopErr == nil && d.noResponseAtStop == 0, fmt.Sprintf("%d requests without a response, result %v", d.noResponseAtStop, d.stopErr)},
		{"9 configuration", !d.lateManifest && !d.reverted, fmt.Sprintf("slowest %v of %v, reverted %t", d.slowestManifest.Round(1e6), manifestBound, d.reverted)},
		{"  slots of backend servers", overSlots == 0, fmt.Sprintf("%d servers ran more than their slots", overSlots)},
	} {
		result := "held"
		if !p.held {
			result, broken = "BROKEN", true
		}
		fmt.Printf("  %-32s %-7s %s\n", p.name, result, p.detail)
	}
	return broken
}

// probesPerSecond is the probe budget in the manifest of localfleet.
const probesPerSecond = localfleet.ProbesPerSecond

func printCounters(m map[string]int64, indent string) {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Printf("%s  %-34s %8d\n", indent, strings.TrimSpace(name), m[name])
	}
}
