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

func (s senderOf) MaySendToCold(server *state.Server) bool { return s[server.Name] }

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
	servers[1].Load.SuspendUntil(now.Now().Add(time.Second))
	servers[2].Load.Observe(load.Reading{At: now.Now().Add(1), Silent: true})
	for range 3 {
		x := &filter.Exchange{Tried: []string{"b0"}}
		is.Equal(placed(p, now.Now(), x).Verdict, verdict.Ran)
		is.Equal(x.Grant.Target, servers[3])
		p.Release(x.Grant, filter.Report{Verdict: verdict.Ran, ServiceTime: 60 * time.Millisecond})
	}
	is.Equal(servers[3].Load.Inflight(), 0)
}

// TestServersOfNow guards against a repetition at a server that left, or whose
// data centre went out, since the request arrived.
func TestServersOfNow(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Minute)
	p, _ := placing(now, 1, 0, false)
	x := &filter.Exchange{Snapshot: p.Store.Load()}
	p.Store.Update(func(s *state.Snapshot) { s.Servers = &state.Servers{} })
	is.Equal(placed(p, now.Now(), x).Reason, verdict.ReasonNoBackend)
}

// plain makes the servers of a placement ones that tell only what runs there.
func plain(servers []*state.Server) {
	for _, s := range servers {
		s.ReportsRunningOnly = true
	}
}

// TestPlainServersFull guards against requests to a server that would refuse
// them, against a full one that takes part in the choice, and against a refusal
// that names another cause.
func TestPlainServersFull(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Minute)
	p, servers := placing(now, 2, 0, false)
	plain(servers)
	for range 8 { // four slots each
		is.Equal(placed(p, now.Now(), &filter.Exchange{}).Verdict, verdict.Ran)
	}
	is.Equal(servers[0].Load.Inflight(), 4)
	is.Equal(servers[1].Load.Inflight(), 4)
	out := placed(p, now.Now(), &filter.Exchange{})
	is.Equal(out.Reason, verdict.ReasonOverload)
	is.True(out.RetryAfter > 0)
	servers[0].Load.End()
	x := &filter.Exchange{}
	is.Equal(placed(p, now.Now(), x).Verdict, verdict.Ran)
	is.Equal(x.Grant.Target, servers[0])

	p, servers = placing(now, 1, 0, false)
	plain(servers)
	servers[0].Load.Observe(load.Reading{At: now.Now().Add(1), Running: 4, Slots: 4, Speed: 1}) // of other hosts
	is.Equal(placed(p, now.Now(), &filter.Exchange{}).Reason, verdict.ReasonOverload)
	now.Advance(time.Second) // they have ended since
	is.Equal(placed(p, now.Now(), &filter.Exchange{}).Verdict, verdict.Ran)
}

// TestPlainServerStarts guards against full load on a server that started anew:
// after each sign of it only the host that measures the server sends, one request
// at a time before the first success.
func TestPlainServerStarts(t *testing.T) {
	signs := map[string]filter.Report{
		"connections reset":  {Verdict: verdict.MayHaveRun, Reason: verdict.ReasonAnswerCut, Crashed: true, Failed: true},
		"idle ones closed":   {Verdict: verdict.NotRun, Reason: verdict.ReasonConnectFailed, Crashed: true, Failed: true},
		"connection refused": {Verdict: verdict.NotRun, Reason: verdict.ReasonConnectFailed, Failed: true},
		"another process":    {Verdict: verdict.Ran, Load: &filter.ServerLoad{Slots: 4, Speed: 1, Instance: "new"}, Failed: true},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			for _, measures := range []bool{true, false} {
				is := is.New(t)
				now := &clock.Manual{}
				now.Advance(time.Minute)
				p, servers := placing(now, 1, 0, false)
				p.Cold = senderOf{"b0": measures}
				plain(servers)
				s := servers[0]
				s.Load.SlowStart.Instance(now.Now(), "old")
				x := &filter.Exchange{}
				is.Equal(placed(p, now.Now(), x).Verdict, verdict.Ran)
				p.Release(x.Grant, sign)
				now.Advance(shunTime)
				taken := func() (n int) {
					for range 8 {
						if placed(p, now.Now(), &filter.Exchange{}).Verdict == verdict.Ran {
							n++
						}
					}
					return n
				}
				if !measures {
					is.Equal(taken(), 0)
					now.Advance(load.ColdStartTTL) // the host that measures it says nothing of a start
					is.Equal(taken(), 4)
					continue
				}
				is.Equal(taken(), 1)
				for range 32 { // whatever failed before
					s.Load.Start()
					p.Release(&filter.Grant{Server: &s.BackendServer, Target: s}, filter.Report{Verdict: verdict.Ran, ServiceTime: time.Millisecond})
				}
				is.Equal(taken(), 1) // one more beside the one in flight
			}
		})
	}
}

// TestStraggler guards against a server that became slow and keeps its share of
// the requests, against one that fails fast and draws them because it looks
// idle, and against servers that never get requests again.
func TestStraggler(t *testing.T) {
	for name, report := range map[string]filter.Report{
		"slow":       {Verdict: verdict.Ran, ServiceTime: 600 * time.Millisecond},
		"fails fast": {Verdict: verdict.Ran, ServiceTime: time.Microsecond, Failed: true},
		"sheds":      {Verdict: verdict.NotRun, Reason: verdict.ReasonShed, ServiceTime: time.Microsecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := &clock.Manual{}
			now.Advance(time.Minute)
			p, servers := placing(now, 4, 0, false)
			plain(servers)
			good := filter.Report{Verdict: verdict.Ran, ServiceTime: 60 * time.Millisecond}
			share := func(of *state.Server, bad filter.Report) (n int) {
				for range 400 {
					now.Advance(10 * time.Millisecond)
					for _, s := range servers {
						s.Load.Observe(load.Reading{At: now.Now(), Slots: 4, Speed: 1})
					}
					x := &filter.Exchange{}
					is.Equal(placed(p, now.Now(), x).Verdict, verdict.Ran)
					if x.Grant.Target == of {
						n++
						p.Release(x.Grant, bad)
					} else {
						p.Release(x.Grant, good)
					}
				}
				return n
			}
			share(nil, good) // the usual work becomes known
			n := share(servers[1], report)
			t.Logf("%d of 400 requests at the bad server", n)
			is.True(n < 50) // half its share
			is.True(n > 0)  // and tried again
			now.Advance(20 * time.Second)
			n = share(servers[1], good)
			t.Logf("%d of 400 once it is well again", n)
			is.True(n > 50) // half its share
		})
	}
}

// TestReturnsSpread guards against callers that are told to come back at the same
// time, after a refusal of a server as after one of this host.
func TestReturnsSpread(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Minute)
	p, _ := placing(now, 1, 0, false)
	seen := map[time.Duration]bool{}
	for range 50 {
		x := &filter.Exchange{
			Route: &manifest.Route{Name: "r", Objective: manifest.Duration(200 * time.Millisecond)}, Service: &manifest.Service{Name: "s"},
			Arrived: now.Now(), Deadline: now.Now().Add(time.Second),
		}
		out := p.Handle(context.Background(), x, filter.HandlerFunc(func(context.Context, *filter.Exchange) filter.Outcome {
			p.Release(x.Grant, filter.Report{Verdict: verdict.NotRun, Reason: verdict.ReasonConnections})
			return filter.Refuse(verdict.ReasonConnections, nil)
		}))
		is.True(out.RetryAfter >= 30*time.Millisecond && out.RetryAfter <= 80*time.Millisecond)
		seen[out.RetryAfter] = true
	}
	is.True(len(seen) > 25)
	s := NewStopping()
	s.Stop()
	for range 50 {
		out := s.Handle(context.Background(), &filter.Exchange{}, nil)
		is.True(out.RetryAfter >= stoppingRetry/2 && out.RetryAfter < 2*stoppingRetry)
		seen[out.RetryAfter] = true
	}
	is.True(len(seen) > 50)
	for range 50 {
		out := Route{}.Handle(context.Background(), &filter.Exchange{Snapshot: &state.Snapshot{}}, nil)
		is.True(out.RetryAfter >= startingRetry/2 && out.RetryAfter < 2*startingRetry)
		seen[out.RetryAfter] = true
	}
	is.True(len(seen) > 75)
}
