package filters

import (
	"context"
	"fmt"
	"math/rand/v2"
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

type coldSenders map[string]bool

func (s coldSenders) MaySendToCold(server *state.Server) bool { return s[server.Name] }

// newTestPlacement returns a placement with warm and cold servers of four slots
// each. maySend is whether this host may send to the cold ones.
func newTestPlacement(now *clock.Manual, warm, cold int, maySend bool) (*Placement, []*state.Server) {
	store := state.NewStore(state.Member{Name: "eh"})
	table := &state.Servers{ByName: map[string]*state.Server{}, ByService: map[string][]*state.Server{}}
	var all []*state.Server
	senders := coldSenders{}
	for i := range warm + cold {
		s := &state.Server{
			BackendServer: manifest.BackendServer{Name: fmt.Sprint("b", i), Slots: 4}, Service: "s", Local: true, Load: &load.State{},
		}
		r := load.Reading{At: now.Now(), Slots: 4, Speed: 1}
		if i >= warm {
			r.ColdUntil = now.Now().Add(time.Hour)
			senders[s.Name] = maySend
		}
		s.Load.Observe(r)
		all = append(all, s)
		table.ByName[s.Name] = s
	}
	table.ByService["s"] = all
	store.Update(func(s *state.Snapshot) { s.Servers = table })
	return &Placement{Clock: now, Store: store, Cold: senders}, all
}

func placeRequest(p *Placement, now clock.Time, x *filter.Exchange) filter.Outcome {
	x.Arrived, x.Deadline = now, now.Add(800*time.Millisecond)
	x.Route = &manifest.Route{Name: "r", Objective: manifest.Duration(200 * time.Millisecond), Priority: 9}
	x.Service = &manifest.Service{Name: "s", ColdPerSecond: 9}
	return p.Handle(context.Background(), x, filter.HandlerFunc(func(context.Context, *filter.Exchange) filter.Outcome {
		return filter.Outcome{Verdict: verdict.Ran}
	}))
}

// TestColdServer guards against a cold server that gets more than cold_per_second
// requests within a second from three hosts that all consider themselves its
// sender, and against any request from other hosts.
func TestColdServer(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Minute)
	total := 0
	for range 3 {
		p, servers := newTestPlacement(now, 0, 1, true)
		for range 100 {
			if out := placeRequest(p, now.Now(), &filter.Exchange{}); out.Verdict == verdict.Ran {
				total++
				servers[0].Load.End()
			}
		}
	}
	is.Equal(total, 9) // cold_per_second, summed over all three hosts
	p, _ := newTestPlacement(now, 0, 1, false)
	out := placeRequest(p, now.Now(), &filter.Exchange{})
	is.Equal(out.Reason, verdict.ReasonNoBackend)
	is.True(out.RetryAfter > 0)
	p, servers := newTestPlacement(now, 2, 1, true)
	for range 4 { // warm servers have capacity: the cold one gets no request
		x := &filter.Exchange{}
		is.Equal(placeRequest(p, now.Now(), x).Verdict, verdict.Ran)
		is.True(x.Grant.Target != servers[2])
	}
}

// TestPlacementExcludesServers guards against a retry at the server that was
// tried, and against requests to a server that refused a connection or does not
// respond to its probe.
func TestPlacementExcludesServers(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Minute)
	p, servers := newTestPlacement(now, 4, 0, false)
	servers[1].Load.SuspendUntil(now.Now().Add(time.Second))
	servers[2].Load.Observe(load.Reading{At: now.Now().Add(1), Silent: true})
	for range 3 {
		x := &filter.Exchange{Tried: []string{"b0"}}
		is.Equal(placeRequest(p, now.Now(), x).Verdict, verdict.Ran)
		is.Equal(x.Grant.Target, servers[3])
		p.Release(x.Grant, filter.Report{Verdict: verdict.Ran, ServiceTime: 60 * time.Millisecond})
	}
	is.Equal(servers[3].Load.Inflight(), 0)
}

// TestPlacementUsesCurrentServers guards against a retry at a server that left, or
// whose data centre was taken out of service, since the request arrived.
func TestPlacementUsesCurrentServers(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Minute)
	p, _ := newTestPlacement(now, 1, 0, false)
	x := &filter.Exchange{Snapshot: p.Store.Load()}
	p.Store.Update(func(s *state.Snapshot) { s.Servers = &state.Servers{} })
	is.Equal(placeRequest(p, now.Now(), x).Reason, verdict.ReasonNoBackend)
}

// setReportsRunningOnly makes the servers report only how many requests run there.
func setReportsRunningOnly(servers []*state.Server) {
	for _, s := range servers {
		s.ReportsRunningOnly = true
	}
}

// TestRunningOnlyServersFull guards against requests to a server that would refuse
// them, against a full server that takes part in the choice, and against a refusal
// with the wrong reason.
func TestRunningOnlyServersFull(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Minute)
	p, servers := newTestPlacement(now, 2, 0, false)
	setReportsRunningOnly(servers)
	for range 8 { // four slots each
		is.Equal(placeRequest(p, now.Now(), &filter.Exchange{}).Verdict, verdict.Ran)
	}
	is.Equal(servers[0].Load.Inflight(), 4)
	is.Equal(servers[1].Load.Inflight(), 4)
	out := placeRequest(p, now.Now(), &filter.Exchange{})
	is.Equal(out.Reason, verdict.ReasonOverload)
	is.True(out.RetryAfter > 0)
	servers[0].Load.End()
	x := &filter.Exchange{}
	is.Equal(placeRequest(p, now.Now(), x).Verdict, verdict.Ran)
	is.Equal(x.Grant.Target, servers[0])

	p, servers = newTestPlacement(now, 1, 0, false)
	setReportsRunningOnly(servers)
	servers[0].Load.Observe(load.Reading{At: now.Now().Add(1), Running: 4, Slots: 4, Speed: 1}) // requests of other hosts
	is.Equal(placeRequest(p, now.Now(), &filter.Exchange{}).Reason, verdict.ReasonOverload)
	now.Advance(time.Second) // they have ended by now
	is.Equal(placeRequest(p, now.Now(), &filter.Exchange{}).Verdict, verdict.Ran)
}

// TestRunningOnlyServerStarts guards against full load on a server that has just
// started: after each sign of a start only the host that probes the server sends
// to it, one request at a time before the first success.
func TestRunningOnlyServerStarts(t *testing.T) {
	signs := map[string]filter.Report{
		"connections reset":       {Verdict: verdict.MayHaveRun, Reason: verdict.ReasonAnswerCut, Crashed: true, Failed: true},
		"idle connections closed": {Verdict: verdict.NotRun, Reason: verdict.ReasonConnectFailed, Crashed: true, Failed: true},
		"connection refused":      {Verdict: verdict.NotRun, Reason: verdict.ReasonConnectFailed, Failed: true},
		"another process":         {Verdict: verdict.Ran, Load: &filter.ServerLoad{Slots: 4, Speed: 1, Instance: "new"}, Failed: true},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			for _, probes := range []bool{true, false} {
				is := is.New(t)
				now := &clock.Manual{}
				now.Advance(time.Minute)
				p, servers := newTestPlacement(now, 1, 0, false)
				p.Cold = coldSenders{"b0": probes}
				setReportsRunningOnly(servers)
				s := servers[0]
				s.Load.SlowStart.ObserveInstance(now.Now(), "old")
				x := &filter.Exchange{}
				is.Equal(placeRequest(p, now.Now(), x).Verdict, verdict.Ran)
				p.Release(x.Grant, sign)
				now.Advance(connectFailureSuspension)
				countAdmitted := func() (n int) {
					for range 8 {
						if placeRequest(p, now.Now(), &filter.Exchange{}).Verdict == verdict.Ran {
							n++
						}
					}
					return n
				}
				if !probes {
					is.Equal(countAdmitted(), 0)
					now.Advance(load.ColdStartTTL) // the host that probes it reported no start
					is.Equal(countAdmitted(), 4)
					continue
				}
				is.Equal(countAdmitted(), 1)
				for range 32 { // enough successes for one step, whatever failed before
					s.Load.Start()
					p.Release(&filter.Grant{Server: &s.BackendServer, Target: s}, filter.Report{Verdict: verdict.Ran, ServiceTime: time.Millisecond})
				}
				is.Equal(countAdmitted(), 1) // one more in addition to the one in flight
			}
		})
	}
}

// TestStraggler guards against a server that became slow and keeps its share of
// the requests, against one that fails fast and attracts requests because it looks
// idle, and against a server that never gets requests again after it has recovered.
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
			p, servers := newTestPlacement(now, 4, 0, false)
			setReportsRunningOnly(servers)
			good := filter.Report{Verdict: verdict.Ran, ServiceTime: 60 * time.Millisecond}
			countSentTo := func(server *state.Server, bad filter.Report) (n int) {
				for range 400 {
					now.Advance(10 * time.Millisecond)
					for _, s := range servers {
						s.Load.Observe(load.Reading{At: now.Now(), Slots: 4, Speed: 1})
					}
					x := &filter.Exchange{}
					is.Equal(placeRequest(p, now.Now(), x).Verdict, verdict.Ran)
					if x.Grant.Target == server {
						n++
						p.Release(x.Grant, bad)
					} else {
						p.Release(x.Grant, good)
					}
				}
				return n
			}
			countSentTo(nil, good) // observes the usual duration of the work
			n := countSentTo(servers[1], report)
			t.Logf("%d of 400 requests sent to the bad server", n)
			is.True(n < 50) // half its share
			is.True(n > 0)  // and still tried
			now.Advance(20 * time.Second)
			n = countSentTo(servers[1], good)
			t.Logf("%d of 400 requests sent to it after its recovery", n)
			is.True(n > 50) // half its share
		})
	}
}

// TestRetryAfterJitter guards against refused callers that all get the same retry
// delay, after a refusal by a server as well as by this host.
func TestRetryAfterJitter(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Minute)
	p, _ := newTestPlacement(now, 1, 0, false)
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
		is.True(out.RetryAfter >= stoppingRetryAfter/2 && out.RetryAfter < 2*stoppingRetryAfter)
		seen[out.RetryAfter] = true
	}
	is.True(len(seen) > 50)
	for range 50 {
		out := Route{}.Handle(context.Background(), &filter.Exchange{Snapshot: &state.Snapshot{}}, nil)
		is.True(out.RetryAfter >= noConfigurationRetryAfter/2 && out.RetryAfter < 2*noConfigurationRetryAfter)
		seen[out.RetryAfter] = true
	}
	is.True(len(seen) > 75)
}

// TestLeavingServerGetsNothing guards against requests to a server that has said in a
// response that it leaves, while the platform does not list it as leaving, and against
// a later reading that hides it.
func TestLeavingServerGetsNothing(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Minute)
	for _, v := range []verdict.Verdict{verdict.Ran, verdict.NotRun} {
		p, servers := newTestPlacement(now, 1, 0, false)
		x := &filter.Exchange{}
		is.Equal(placeRequest(p, now.Now(), x).Verdict, verdict.Ran)
		p.Release(x.Grant, filter.Report{Verdict: v, Load: &filter.ServerLoad{Slots: 4, Speed: 1, Leaving: true}})
		servers[0].Load.Observe(load.Reading{At: now.Now() + 1, Slots: 4, Speed: 1}) // taken before it left
		is.Equal(placeRequest(p, now.Now(), &filter.Exchange{}).Reason, verdict.ReasonNoBackend)
	}
	p, servers := newTestPlacement(now, 1, 0, false)
	servers[0].Load.Observe(load.Reading{At: now.Now() + 1, Slots: 4, Speed: 1, Leaving: true}) // from another host
	is.Equal(placeRequest(p, now.Now(), &filter.Exchange{}).Reason, verdict.ReasonNoBackend)
}

// TestRetryAfterOfServer guards against requests to a server before the time has passed
// for which it asked this host to stay away, and against a shorter time that replaces a
// longer one.
func TestRetryAfterOfServer(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Minute)
	p, _ := newTestPlacement(now, 1, 0, false)
	for _, after := range []time.Duration{3 * time.Second, time.Second} {
		x := &filter.Exchange{}
		if after == 3*time.Second {
			is.Equal(placeRequest(p, now.Now(), x).Verdict, verdict.Ran)
			p.Release(x.Grant, filter.Report{Verdict: verdict.NotRun, Reason: verdict.ReasonShed, RetryAfter: after})
		} else {
			p.Store.Load().Servers.ByName["b0"].Load.DeclineUntil(now.Now().Add(after))
		}
	}
	for range 29 {
		now.Advance(100 * time.Millisecond)
		out := placeRequest(p, now.Now(), &filter.Exchange{})
		is.Equal(out.Reason, verdict.ReasonOverload)
		is.True(out.RetryAfter > 0)
	}
	now.Advance(100 * time.Millisecond)
	is.Equal(placeRequest(p, now.Now(), &filter.Exchange{}).Verdict, verdict.Ran)
}

// connectedTo keeps an idle connection to one address.
type connectedTo string

func (c connectedTo) HasIdle(address string) bool { return address == string(c) }

// TestJoiningServerIsUsed guards against a host that keeps to the server to which it has a
// connection, although others are as good, and never uses one that joins; and against one
// that does not prefer its connection.
func TestJoiningServerIsUsed(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Set(clock.Time(time.Second))
	p, all := newTestPlacement(now, 2, 0, false)
	all[0].Address, all[1].Address = "a", "b"
	p.Idle = connectedTo("a")
	p.Rand = rand.New(rand.NewPCG(1, 1))
	chosen := map[string]int{}
	for range 200 {
		x := &filter.Exchange{}
		placeRequest(p, now.Now(), x)
		chosen[x.Grant.Server.Name]++
		p.Release(x.Grant, filter.Report{Verdict: verdict.Ran})
	}
	t.Logf("requests: %v", chosen)
	is.True(chosen["b1"] > 0)
	is.True(chosen["b0"] > 150)
}
