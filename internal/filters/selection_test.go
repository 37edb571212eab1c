package filters

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// admitter refuses with the reason set for a data centre and notes who was asked.
type admitter struct {
	clock   *clock.Manual
	takes   time.Duration // time that one refusal takes
	reasons map[string]verdict.Reason
	asked   []string
	asks    []filter.Ask
}

func (a *admitter) Acquire(_ context.Context, p *manifest.Pool, ask filter.Ask) (*filter.Grant, error) {
	a.asked, a.asks = append(a.asked, p.ID.DataCentre), append(a.asks, ask)
	if r := a.reasons[p.ID.DataCentre]; r != verdict.ReasonNone {
		a.clock.Advance(a.takes)
		return nil, verdict.New(verdict.NotRun, r, nil)
	}
	return &filter.Grant{Pool: p, Server: p.Servers[0]}, nil
}

func (a *admitter) Release(*filter.Grant, filter.Report) {}

// pooledExchange returns a request in data centre dc1 of 4, with dc4 out.
func pooledExchange(t *testing.T, c *clock.Manual) *filter.Exchange {
	text := "revision = 1\n"
	for i := 1; i <= 4; i++ {
		text += fmt.Sprintf("[[data_centres]]\nname = \"dc%d\"\nout = %v\n", i, i == 4)
	}
	text += "[[services]]\nname = \"desk\"\n"
	for i := 1; i <= 4; i++ {
		text += fmt.Sprintf("[[services.backend_servers]]\nname = \"b%d\"\naddress = \"10.0.0.%d:80\"\ndata_centre = \"dc%d\"\nslots = 4\n", i, i, i)
	}
	text += "[[routes]]\nname = \"orders\"\npath_prefix = \"/\"\nservice = \"desk\"\n"
	m, err := manifest.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	store := state.NewStore(state.Member{Name: "eh1", DataCentre: "dc1"})
	loads := map[manifest.PoolID]*atomic.Pointer[state.PoolLoad]{}
	for id := range m.Pools {
		loads[id] = &atomic.Pointer[state.PoolLoad]{}
		loads[id].Store(&state.PoolLoad{Free: 2, Slots: 4, At: c.Now()})
	}
	store.Update(func(s *state.Snapshot) { s.Manifest, s.Pools = m, &state.Pools{Load: loads} })
	return &filter.Exchange{
		Snapshot: store.Load(), Route: &m.File.Routes[0], Service: m.Services["desk"],
		Arrived: c.Now(), Deadline: c.Now().Add(time.Second),
	}
}

// TestSelection guards against work for a data centre that is out, a refusal
// that ends the request although another pool has room, a second dispatch after
// the request was sent, and refusals that take longer than they may.
func TestSelection(t *testing.T) {
	const ok, full = verdict.ReasonNone, verdict.ReasonQueueFull
	sent := filter.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonAnswerCut}
	for _, c := range []struct {
		name    string
		reasons [3]verdict.Reason // of dc1 to dc3
		takes   time.Duration
		last    filter.Outcome // of dispatch
		asked   int
		reason  verdict.Reason
	}{
		{"own data centre has room", [3]verdict.Reason{ok, ok, ok}, 0, filter.Outcome{Verdict: verdict.Ran}, 1, ok},
		{"own is full", [3]verdict.Reason{full, ok, ok}, 0, filter.Outcome{Verdict: verdict.Ran}, 2, ok},
		{"own has no lease", [3]verdict.Reason{verdict.ReasonNoLease, ok, ok}, 0, filter.Outcome{Verdict: verdict.Ran}, 2, ok},
		{"all are full", [3]verdict.Reason{full, full, full}, 0, filter.Outcome{}, 3, verdict.ReasonOverload},
		{"refusals take long", [3]verdict.Reason{full, full, full}, 3 * time.Millisecond, filter.Outcome{}, 1, verdict.ReasonOverload},
		{"the request itself is refused", [3]verdict.Reason{verdict.ReasonDeadline, ok, ok}, 0, filter.Outcome{}, 1, verdict.ReasonDeadline},
		{"sent once", [3]verdict.Reason{ok, ok, ok}, 0, sent, 1, verdict.ReasonAnswerCut},
		{"shed after dispatch", [3]verdict.Reason{ok, ok, ok}, 0, filter.Refuse(verdict.ReasonNoBackend, nil), 1, verdict.ReasonNoBackend},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clk := &clock.Manual{}
			clk.Set(clock.Time(time.Hour))
			a := &admitter{clock: clk, takes: c.takes, reasons: map[string]verdict.Reason{}}
			for i, r := range c.reasons {
				a.reasons[fmt.Sprintf("dc%d", i+1)] = r
			}
			dispatched := 0
			chain := filter.Chain(&Selection{Clock: clk}, &Admission{Clock: clk, Admitter: a}, dispatch(func() filter.Outcome {
				dispatched++
				return c.last
			}))
			out := chain.Handle(context.Background(), pooledExchange(t, clk))
			is.Equal(out.Reason, c.reason)
			is.Equal(len(a.asked), c.asked)
			is.Equal(a.asked[0], "dc1")
			is.True(dispatched <= 1)
			seen := map[string]bool{"dc4": true}
			for i, dc := range a.asked {
				is.True(!seen[dc]) // not out, and not asked twice
				seen[dc] = true
				is.Equal(a.asks[i].Spill, dc != "dc1")
			}
		})
	}
}

type dispatch func() filter.Outcome

func (dispatch) Name() string { return "dispatch" }

func (d dispatch) Handle(context.Context, *filter.Exchange, filter.Handler) filter.Outcome {
	return d()
}
