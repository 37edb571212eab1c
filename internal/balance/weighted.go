package balance

import (
	"math"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// Weighted is the order of the design "Volcano Priority For Queue": score =
// (priority-min)/(max-min)*WeightPriority + (1-share)*WeightShare, where share
// is the used part of what a priority is entitled to. It is an alternative to
// Strict that was measured and not taken, see docs/decisions/admission-order.md.
type Weighted struct {
	WeightPriority, WeightShare float64
	Min, Max                    int         // bounds of the priorities in use
	Entitled                    [10]float64 // share of the grants by priority; adds up to 1
	used                        [10]float64 // grants by priority, decaying
	at                          clock.Time
}

// weightedMemory is the time constant of the used shares.
const weightedMemory = 200 * time.Millisecond

// Score implements Ordering.
func (w *Weighted) Score(it *Item) float64 {
	score := 0.0
	if w.Max > w.Min {
		score = float64(it.Priority-w.Min) / float64(w.Max-w.Min) * w.WeightPriority
	}
	total := 0.0
	for _, u := range w.used {
		total += u
	}
	share := 0.0
	if e := w.Entitled[it.Priority]; e > 0 && total > 0 {
		share = w.used[it.Priority] / total / e
	}
	return score + (1-share)*w.WeightShare
}

// Granted counts one grant.
func (w *Weighted) Granted(priority int, now clock.Time) {
	f := math.Exp(-now.Sub(w.at).Seconds() / weightedMemory.Seconds())
	for i := range w.used {
		w.used[i] *= f
	}
	w.at = now
	w.used[priority]++
}
