package quota

import (
	"math/rand/v2"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// fallbackTime bounds the time for which unused tokens of the fallback share accumulate.
const fallbackTime = time.Second

// fallback is the share of a quota that a host spends while it gets no grant. A part of a
// token admits a request with that probability: the share of one host is mostly far below
// one request, and a whole token for each of them would be a burst of as many requests as
// there are hosts.
type fallback struct {
	credit float64
	last   clock.Time
}

// refill adds the tokens since the last call at a rate per second.
func (f *fallback) refill(now clock.Time, perSecond float64) {
	elapsed := min(max(now.Sub(f.last), 0), fallbackTime)
	f.credit = min(f.credit+perSecond*elapsed.Seconds(), perSecond*fallbackTime.Seconds())
	f.last = now
}

func (f *fallback) take(r *rand.Rand) bool {
	if f.credit >= 1 {
		f.credit--
		return true
	}
	ok := r.Float64() < f.credit
	f.credit = 0
	return ok
}

func (f *fallback) untake() { f.credit++ }
