package precedence

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/manifest"
	"pgregory.net/rapid"
)

// last is a draw with which a request is not exempt, and yields if it can.
var last = Draw{Exempt: 0.999, Yield: 0}

// TestRanks guards against an order in which the priority of a route goes before that of an
// account, and against a request that yields although none of a higher rank competes with it.
func TestRanks(t *testing.T) {
	is := is.New(t)
	var o Order
	urgent, low := Request{AccountPriority: 9, RoutePriority: 0, Draw: last}, Request{AccountPriority: 8, RoutePriority: 9, Draw: last}
	for range 500 {
		o.Judge(low)
	}
	alone := o.Judge(low)
	is.True(alone.Urgency > 0.95)
	is.Equal(alone.MostOccupied, 0.0)
	for range 500 {
		o.Judge(low)
		o.Judge(urgent)
	}
	is.True(o.Judge(urgent).Urgency > alone.Urgency)
	is.Equal(o.Judge(urgent).MostOccupied, 0.0)
	yields := o.Judge(low)
	is.True(yields.Urgency < yieldingUrgency+0.01)
	is.Equal(yields.MostOccupied, yieldingMostOccupied)
	for range 500 {
		o.Judge(low)
	}
	is.True(o.Judge(low).Urgency > alone.Urgency-0.01) // the others have ended
}

// TestHeat guards against an account that is held back at its usual load, and against one that
// yields less the more it sends.
func TestHeat(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 5))
	held := func(heat float64) (share float64) {
		var o Order
		const n = 20_000
		for range n {
			s := o.Judge(Request{AccountPriority: 9, RoutePriority: 9, Heat: heat, Draw: Draw{rng.Float64(), rng.Float64()}})
			if s.MostOccupied > 0 {
				share += 1.0 / n
			}
		}
		return share
	}
	is.Equal(held(0), 0.0)
	is.Equal(held(1), 0.0)
	is.Equal(held(mildHeat), 0.0)
	for heat, want := range map[float64]float64{2.75: 0.5 * (1 - exemptShare), 3.5: 1 - exemptShare, 5: 1 - exemptShare, 10: 1 - exemptShare/2, 100: 1 - exemptShare/20} {
		got := held(heat)
		is.True(got > want-0.02 && got < want+0.02)
	}
}

// TestStandings guards against a standing outside its bounds, whatever the request, and
// against an account of which no request is exempt.
func TestStandings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var o Order
		for range rapid.IntRange(1, 50).Draw(rt, "requests") {
			r := Request{
				AccountPriority: rapid.IntRange(-1, manifest.MaxPriority+1).Draw(rt, "account"), RoutePriority: rapid.IntRange(-1, manifest.MaxPriority+1).Draw(rt, "route"),
				Heat: rapid.Float64Range(0, 1e9).Draw(rt, "heat"), Draw: Draw{rapid.Float64Range(0, 1).Draw(rt, "exempt"), rapid.Float64Range(0, 1).Draw(rt, "yield")},
			}
			s := o.Judge(r)
			if s.Urgency < yieldingUrgency || s.Urgency > 1 || s.MostOccupied < 0 || s.MostOccupied > 1 {
				rt.Fatalf("%+v: %+v", r, s)
			}
			if r.Heat <= exemptHeat && r.Draw.Exempt < 0.25 && s != (Standing{Urgency: 1}) {
				rt.Fatalf("%+v is held back: %+v", r, s)
			}
		}
	})
}
