package main

import (
	"slices"
	"time"
)

// window is the time over which worth is summed to find the worst part of a run.
const window = 2 * time.Second

// warmUp is excluded from the figures, because the usual duration of work is learned
// during it.
const warmUp = 4 * time.Second

// result holds the figures of one run.
type result struct {
	offered, earned map[int]float64 // worth by window
	responseTimes   []time.Duration // after the warm-up
	inTime, late    int
	lost, refused   int // requests without a response by the deadline; refusals, also repeated ones of one request
	sent, remote    int // attempts; attempts to another data centre
	hedged          int
}

func (r *result) addOffered(at time.Duration, worth float64) {
	if r.offered == nil {
		r.offered, r.earned = map[int]float64{}, map[int]float64{}
	}
	r.offered[int(at/window)] += worth
}

func (r *result) addEarned(sentAt time.Duration, worth float64, took time.Duration) {
	r.earned[int(sentAt/window)] += worth
	if sentAt >= warmUp {
		r.responseTimes = append(r.responseTimes, took)
	}
}

// worth returns the share of the offered worth that was earned over the run, and in
// its worst window.
func (r *result) worth(windows int) (mean, worst float64) {
	var offered, earned float64
	worst = 1
	for _, w := range r.series(windows) {
		worst = min(worst, w)
	}
	for i := int(warmUp / window); i < windows; i++ {
		offered += r.offered[i]
		earned += r.earned[i]
	}
	return earned / max(offered, 1), worst
}

// series returns the share of worth earned in each window after the warm-up.
func (r *result) series(windows int) (out []float64) {
	for i := int(warmUp / window); i < windows; i++ {
		out = append(out, r.earned[i]/max(r.offered[i], 1))
	}
	return out
}

// quantile returns a quantile of the response times in milliseconds.
func (r *result) quantile(q float64) float64 {
	if len(r.responseTimes) == 0 {
		return 0
	}
	slices.Sort(r.responseTimes)
	return r.responseTimes[int(q*float64(len(r.responseTimes)-1))].Seconds() * 1000
}
