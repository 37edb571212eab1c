package filters

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

type senderOf map[string]bool

func (s senderOf) SendsCold(server *state.Server) bool { return s[server.Name] }

// placing returns a placement over servers with one cold one among them.
func placing(now *clock.Manual, warm, cold int, sends bool) (*Placement, []*state.Server) {
	store := state.NewStore(state.Member{Name: "eh"})
	table := &state.Servers{ByName: map[string]*state.Server{}, ByService: map[string][]*state.Server{}}
	var all []*state.Server
	sender := senderOf{}
	for i := range warm + cold {
		s := &state.Server{
			BackendServer: manifest.BackendServer{Name: fmt.Sprint("b", i), Slots: 4}, Service: "s", Local: true, Load: &load.State{},
		}
		r := load.Reading{At: now.Now(), Slots: 4, Speed: 1}
		if i >= warm {
			r.ColdUntil = now.Now().Add(time.Hour)
			sender[s.Name] = sends
		}
		s.Load.Observe(r)
		all = append(all, s)
		table.ByName[s.Name] = s
	}
	table.ByService["s"] = all
	store.Update(func(s *state.Snapshot) { s.Servers = table })
	return &Placement{Clock: now, Store: store, Cold: sender}, all
}

func placed(p *Placement, now clock.Time, x *filter.Exchange) filter.Outcome {
	x.Arrived, x.Deadline = now, now.Add(800*time.Millisecond)
	x.Route = &manifest.Route{Name: "r", Objective: manifest.Duration(200 * time.Millisecond), Priority: 9}
	x.Service = &manifest.Service{Name: "s", ColdPerSecond: 9}
	return p.Handle(context.Background(), x, filter.HandlerFunc(func(context.Context, *filter.Exchange) filter.Outcome {
		return filter.Outcome{Verdict: verdict.Ran}
	}))
}

// TestColdServer guards against more requests to a cold server than it bears,
// summed over hosts of which three take themselves for its sender, in any span
// of a second, and against any from the others.
func TestColdServer(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Minute)
	total := 0
	for range 3 {
		p, servers := placing(now, 0, 1, true)
		for range 100 {
			if out := placed(p, now.Now(), &filter.Exchange{}); out.Verdict == verdict.Ran {
				total++
				servers[0].Load.End()
			}
		}
	}
	is.Equal(total, 9) // cold_per_second, over all three
	p, _ := placing(now, 0, 1, false)
	out := placed(p, now.Now(), &filter.Exchange{})
	is.Equal(out.Reason, verdict.ReasonNoBackend)
	is.True(out.RetryAfter > 0)
	p, servers := placing(now, 2, 1, true)
	for range 4 { // warm servers have room: the cold one gets nothing
		x := &filter.Exchange{}
		is.Equal(placed(p, now.Now(), x).Verdict, verdict.Ran)
		is.True(x.Grant.Target != servers[2])
	}
}

// TestPlacementAvoids guards against a repetition at the server that was tried,
// and against requests to a server that refused a connection or does not answer.
func TestPlacementAvoids(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Minute)
	p, servers := placing(now, 4, 0, false)
	servers[1].Load.Shun(now.Now().Add(time.Second))
	servers[2].Load.Observe(load.Reading{At: now.Now().Add(1), Silent: true})
	for range 3 {
		x := &filter.Exchange{Tried: []string{"b0"}}
		is.Equal(placed(p, now.Now(), x).Verdict, verdict.Ran)
		is.Equal(x.Grant.Target, servers[3])
		p.Release(x.Grant, filter.Report{Verdict: verdict.Ran, ServiceTime: 60 * time.Millisecond})
	}
	is.Equal(servers[3].Load.Inflight(), 0)
}
