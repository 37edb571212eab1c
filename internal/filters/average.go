package filters

import (
	"math"
	"sync/atomic"
)

// medianStep is the relative change that one observation makes to the median
// duration of a route's work. The median is used because a tenth of the requests
// take several times as long as the load reading predicts.
const medianStep = 0.02

// average is an exponentially weighted mean or an approximate median that is
// updated atomically. The zero value has no observation yet.
type average struct{ bits atomic.Uint64 }

func (a *average) get(initial float64) float64 {
	if b := a.bits.Load(); b != 0 {
		return math.Float64frombits(b)
	}
	return initial
}

// addToMean moves the mean towards v. When two goroutines update it at the same
// time, one observation is lost.
func (a *average) addToMean(v, weight, initial float64) {
	old := a.bits.Load()
	mean := initial
	if old != 0 {
		mean = math.Float64frombits(old)
	}
	a.bits.CompareAndSwap(old, math.Float64bits(mean+weight*(v-mean)))
}

// addToMedian moves the value one step towards v, so that it converges to the
// median.
func (a *average) addToMedian(v, initial float64) {
	old := a.bits.Load()
	median := initial
	if old != 0 {
		median = math.Float64frombits(old)
	}
	if v > median {
		median *= 1 + medianStep
	} else {
		median *= 1 - medianStep
	}
	a.bits.CompareAndSwap(old, math.Float64bits(median))
}
