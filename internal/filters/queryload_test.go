package filters

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/state"
)

// currentLoads answers queries with the load that the servers have now.
type currentLoads struct {
	clock  *clock.Manual
	took   time.Duration      // by each query
	speeds map[string]float64 // 0: no response
	budget int
	asked  []string
}

func (l *currentLoads) QueryLoad(_ context.Context, s *state.Server) QueryResult {
	if l.budget == 0 {
		return NotQueried
	}
	l.budget--
	l.asked = append(l.asked, s.Name)
	l.clock.Advance(l.took)
	if l.speeds[s.Name] == 0 {
		return NoLoad
	}
	s.Load.Observe(load.Reading{At: l.clock.Now(), Slots: 4, Speed: l.speeds[s.Name]})
	return Updated
}

// TestQueryBeforePlacement replays servers that have become slow since their last
// reading. It guards against requests that go to them, against more queries than a
// request may cause, and against a server that is left out because its load came late.
func TestQueryBeforePlacement(t *testing.T) {
	const aged = 60 * time.Millisecond
	for name, c := range map[string]struct {
		speeds  map[string]float64
		servers int
		budget  int
		want    string // "" for any server
		asked   int
	}{
		"the others are slow":   {map[string]float64{"b0": 5, "b1": 1, "b2": 5}, 3, 10, "b1", -1},
		"all are fast":          {map[string]float64{"b0": 1, "b1": 1, "b2": 1}, 3, 10, "", 1},
		"no budget":             {map[string]float64{"b0": 5, "b1": 1, "b2": 5}, 3, 0, "", 0},
		"two do not respond":    {map[string]float64{"b2": 1}, 3, 10, "b2", -1},
		"none of them responds": {map[string]float64{}, 3, 10, "", 3},
		"one of five is fast":   {map[string]float64{"b0": 5, "b1": 5, "b2": 5, "b3": 5, "b4": 1}, 5, 10, "b4", -1},
		"none of many responds": {map[string]float64{}, 2 * maxQueries, 2 * maxQueries, "", maxQueries},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := &clock.Manual{}
			now.Set(clock.Time(time.Second))
			p, _ := newTestPlacement(now, c.servers, 0, false)
			loads := &currentLoads{clock: now, speeds: c.speeds, budget: c.budget}
			p.Load = loads
			now.Advance(aged)
			x := &filter.Exchange{}
			placeRequest(p, now.Now(), x)
			is.True(x.Grant != nil)
			if c.want != "" {
				is.Equal(x.Grant.Server.Name, c.want)
			}
			is.True(len(loads.asked) <= maxQueries)
			if c.asked >= 0 {
				is.Equal(len(loads.asked), c.asked)
			}
		})
	}
}

// TestQueriesEnd guards against queries of slow servers that use up the time of a request.
func TestQueriesEnd(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Set(clock.Time(time.Second))
	p, _ := newTestPlacement(now, 2*maxQueries, 0, false)
	loads := &currentLoads{clock: now, budget: 2 * maxQueries, took: 15 * time.Millisecond}
	p.Load = loads
	now.Advance(60 * time.Millisecond)
	placeRequest(p, now.Now(), &filter.Exchange{})
	is.Equal(len(loads.asked), 2) // a tenth of the objective of 200 ms
}

// TestQueryTakesNoColdQuota guards against requests to a cold server that are refused,
// because choosing whom to query has used up what the server may get.
func TestQueryTakesNoColdQuota(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Set(clock.Time(time.Second))
	p, _ := newTestPlacement(now, 0, 1, true)
	p.Load = &currentLoads{clock: now, speeds: map[string]float64{"b0": 1}, budget: 10}
	served := 0
	for range 3 { // a third of the nine a second that it can bear
		x := &filter.Exchange{}
		if placeRequest(p, now.Now(), x); x.Grant != nil {
			served++
		}
	}
	is.Equal(served, 3)
}
