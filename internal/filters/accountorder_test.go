package filters

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/controller/accountloads"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// orderAccount is a client account of an orderFleet, and what became of its requests.
type orderAccount struct {
	manifest.Account
	route        *manifest.Route
	rate         func(at time.Duration) float64 // requests a second
	hosts        []int                          // that it is connected to
	sent, inTime int                            // since the start of the measured period
}

// orderJob is a request at a server.
type orderJob struct {
	arrived clock.Time
	left    time.Duration
	grant   *filter.Grant
	account *orderAccount
	host    *orderHost
}

// orderHost is one entry host.
type orderHost struct {
	placement *Placement
	servers   []*state.Server
	loads     *accountloads.Controller
	inbox     []orderMessage
}

type orderMessage struct {
	at clock.Time
	b  *wire.Heartbeat
}

// orderFleet replays the load of client accounts on entry hosts and servers in virtual time.
// Each host learns of the others by heartbeats only, of which a tenth is lost and the others
// are late. A refused caller sends its request again, up to twice, after the time that it was
// told.
type orderFleet struct {
	now              clock.Manual
	rng              *rand.Rand
	hosts            []*orderHost
	accounts         []*orderAccount
	running, waiting [][]*orderJob
	again            []orderAgain
	measured         time.Duration // start of the measured period
	queries          []int         // left to each server until the next probe
	begin            clock.Time
}

// orderAgain is a request that its caller sends again.
type orderAgain struct {
	at, arrived clock.Time
	account     *orderAccount
	tries       int
	id          string
}

const (
	orderSlots     = 4
	orderWork      = 100 * time.Millisecond
	orderStep      = time.Millisecond
	orderObjective = 300 * time.Millisecond
	orderDeadline  = 1500 * time.Millisecond
)

func newOrderFleet(seed uint64, hosts, servers int) *orderFleet {
	f := &orderFleet{rng: rand.New(rand.NewPCG(seed, 2)), running: make([][]*orderJob, servers), waiting: make([][]*orderJob, servers)}
	f.now.Set(clock.Time(time.Second))
	f.begin = f.now.Now()
	for range hosts {
		h := &orderHost{loads: accountloads.New(accountloads.Config{DataCentre: "z", Counters: metrics.New()})}
		h.placement, h.servers = newTestPlacement(&f.now, servers, 0, false)
		h.placement.Rand, h.placement.Loads, h.placement.Load = f.rng, h.loads, orderQuerier{f, h}
		f.hosts = append(f.hosts, h)
	}
	f.probe()
	return f
}

// add adds an account that is connected to a few of the hosts.
func (f *orderFleet) add(a orderAccount) *orderAccount {
	if a.route == nil {
		a.route = &manifest.Route{Name: "r", Priority: 7, Objective: manifest.Duration(orderObjective)}
	}
	for range 4 {
		a.hosts = append(a.hosts, f.rng.IntN(len(f.hosts)))
	}
	a.Name = fmt.Sprint("a", len(f.accounts))
	f.accounts = append(f.accounts, &a)
	return &a
}

func (f *orderFleet) run(length time.Duration) {
	for f.now.Now().Sub(f.begin) < length {
		f.now.Advance(orderStep)
		now := f.now.Now()
		at := now.Sub(f.begin)
		if at%(40*time.Millisecond) == 0 {
			f.probe()
		}
		if at%(200*time.Millisecond) == 0 {
			f.sendHeartbeats(now)
		}
		f.receive(now)
		f.work(now)
		for _, a := range f.accounts {
			if f.rng.Float64() < a.rate(at)*orderStep.Seconds() {
				f.send(orderAgain{at: now, arrived: now, account: a, id: fmt.Sprint(f.rng.Uint64())})
			}
		}
		due := f.again
		f.again = nil
		for _, r := range due {
			if now.Before(r.at) {
				f.again = append(f.again, r)
			} else {
				f.send(r)
			}
		}
	}
}

// orderQuerier gives a host the load of a server now, within a budget that all hosts share.
type orderQuerier struct {
	f *orderFleet
	h *orderHost
}

func (q orderQuerier) QueryLoad(_ context.Context, s *state.Server) QueryResult {
	i := slices.Index(q.h.servers, s)
	if q.f.queries[i] == 0 {
		return NotQueried
	}
	q.f.queries[i]--
	q.f.observe(q.h, i)
	return Updated
}

func (f *orderFleet) observe(h *orderHost, i int) {
	h.servers[i].Load.Observe(load.Reading{At: f.now.Now(), Running: len(f.running[i]), Waiting: len(f.waiting[i]), Slots: orderSlots, Speed: 1})
}

func (f *orderFleet) probe() {
	f.queries = slices.Repeat([]int{1}, len(f.running)) // 25 a second
	for _, h := range f.hosts {
		for i := range h.servers {
			f.observe(h, i)
		}
	}
}

func (f *orderFleet) sendHeartbeats(now clock.Time) {
	for _, h := range f.hosts {
		b := &wire.Heartbeat{From: wire.Peer{DataCentre: "z"}}
		h.loads.AddToHeartbeat(now, b)
		for _, other := range f.hosts {
			if other != h && f.rng.IntN(10) > 0 {
				other.inbox = append(other.inbox, orderMessage{now.Add(time.Duration(f.rng.IntN(100)) * time.Millisecond), b})
			}
		}
	}
}

func (f *orderFleet) receive(now clock.Time) {
	for _, h := range f.hosts {
		h.inbox = slices.DeleteFunc(h.inbox, func(m orderMessage) bool {
			if now.Before(m.at) {
				return false
			}
			h.loads.Received(now, m.b)
			return true
		})
	}
}

// work lets the servers run for a step. Nearly full ones slow down.
func (f *orderFleet) work(now clock.Time) {
	for i := range f.running {
		pace := orderStep
		if len(f.running[i]) > orderSlots*4/5 {
			pace = orderStep * 10 / 17
		}
		f.running[i] = slices.DeleteFunc(f.running[i], func(j *orderJob) bool {
			if j.left -= pace; j.left > 0 {
				return false
			}
			j.host.placement.Release(j.grant, filter.Report{Verdict: verdict.Ran, ServiceTime: now.Sub(j.arrived)})
			if now.Sub(j.arrived) <= orderObjective && j.arrived.Sub(f.begin) >= f.measured {
				j.account.inTime++
			}
			return true
		})
		for len(f.running[i]) < orderSlots && len(f.waiting[i]) > 0 {
			f.running[i], f.waiting[i] = append(f.running[i], f.waiting[i][0]), f.waiting[i][1:]
		}
	}
}

func (f *orderFleet) send(r orderAgain) {
	now, a := f.now.Now(), r.account
	if r.tries == 0 && now.Sub(f.begin) >= f.measured {
		a.sent++
	}
	h := f.hosts[a.hosts[f.rng.IntN(len(a.hosts))]]
	x := &filter.Exchange{Arrived: now, Deadline: r.arrived.Add(orderDeadline), Route: a.route, Service: &manifest.Service{Name: "s"}, Request: &filter.Request{ID: r.id}, Accounts: true, Account: &a.Account}
	chain := filter.Chain(&Account{Loads: h.loads}, h.placement, sink(func(x *filter.Exchange) {
		j := &orderJob{arrived: r.arrived, left: time.Duration(float64(orderWork) * (0.7 + 0.6*f.rng.Float64())), grant: x.Grant, account: a, host: h}
		if r.tries > 0 {
			j.arrived = now // each try is judged by its own time
		}
		i := slices.Index(h.servers, x.Grant.Target)
		f.waiting[i] = append(f.waiting[i], j)
	}))
	if out := chain.Handle(context.Background(), x); out.Verdict == verdict.NotRun && r.tries < 2 {
		if at := now.Add(out.RetryAfter); at.Sub(r.arrived) < orderDeadline {
			f.again = append(f.again, orderAgain{at: at, arrived: r.arrived, account: a, tries: r.tries + 1, id: r.id})
		}
	}
}

// TestPrioritiesWithRoom guards against accounts of a low priority that are held back while the
// service is busy but not short of room.
func TestPrioritiesWithRoom(t *testing.T) {
	is := is.New(t)
	f := newOrderFleet(1, 20, 4)
	f.measured = 10 * time.Second
	for i := range 74 {
		f.add(orderAccount{Account: manifest.Account{Priority: 9 - min(i/12, 2)}, rate: func(time.Duration) float64 { return 1.2 }})
	}
	f.run(50 * time.Second)
	lowest, _ := served(f.accounts[24:])
	t.Logf("lowest priority: %.3f", lowest)
	is.True(lowest > 0.9)
}

// sink ends a chain.
type sink func(*filter.Exchange)

func (sink) Name() string { return "sink" }

func (s sink) Handle(_ context.Context, x *filter.Exchange, _ filter.Handler) filter.Outcome {
	s(x)
	return filter.Outcome{Verdict: verdict.Ran}
}

// served returns the share of the requests of accounts that were served in time, and the least
// share of one account.
func served(accounts []*orderAccount) (all, least float64) {
	sent, inTime, least := 0, 0, 1.0
	for _, a := range accounts {
		sent, inTime = sent+a.sent, inTime+a.inTime
		least = min(least, float64(a.inTime)/float64(max(a.sent, 1)))
	}
	return float64(inTime) / float64(sent), least
}

// TestHotAccountYields replays an account that sends seven times its usual load, so that the
// service is short of room, over hosts of which each gets some four requests a second. It
// guards against other accounts that are served less for it, and against a hot account that is
// starved, or refused while there is room.
func TestHotAccountYields(t *testing.T) {
	for seed := range uint64(2) {
		is := is.New(t)
		run := func(hosts, servers int, factor float64, judged bool) (others, least, hot float64) {
			f := newOrderFleet(seed, hosts, servers)
			f.measured = 40 * time.Second
			for range 40 {
				f.add(orderAccount{rate: func(time.Duration) float64 { return 1.7 }})
			}
			h := f.add(orderAccount{rate: func(at time.Duration) float64 {
				if at > 40*time.Second {
					return 8 * factor
				}
				return 8
			}})
			if !judged {
				for _, h := range f.hosts {
					h.placement.Loads = nil
				}
			}
			f.run(62 * time.Second)
			others, least = served(f.accounts[:40])
			hot, _ = served([]*orderAccount{h})
			return others, least, hot
		}
		calm, calmLeast, _ := run(20, 4, 1, true)
		others, least, hot := run(20, 4, 7, true)
		t.Logf("seed %d: others %.3f (least %.3f); calm %.3f (%.3f); hot %.3f", seed, others, least, calm, calmLeast, hot)
		is.True(others > calm-0.07)        // the seconds until the hosts notice are included
		is.True(least > 0.8*calmLeast)     // no single account pays for it
		is.True(hot > 0.25*(others+hot)/2) // the hot account is not starved
		if seed > 0 {
			continue
		}
		blind, _, blindHot := run(20, 4, 7, false)
		_, _, roomy := run(20, 9, 7, true)
		t.Logf("not judged: others %.3f, hot %.3f; with room: hot %.3f", blind, blindHot, roomy)
		is.True(others > blind+0.2) // the load is one that matters
		is.True(roomy > 0.97)       // and is served while there is room
	}
}

// TestAccountPriorities replays a service that gets twice the requests that its servers can
// run, from accounts of three priorities on routes of two. It guards against an account of a
// high priority that is served less than others, also on a route of low priority, and against
// accounts that are starved.
func TestAccountPriorities(t *testing.T) {
	routes := [2]*manifest.Route{
		{Name: "low", Priority: 6, Objective: manifest.Duration(orderObjective)},
		{Name: "high", Priority: 9, Objective: manifest.Duration(orderObjective)},
	}
	for seed := range uint64(2) {
		is := is.New(t)
		f := newOrderFleet(seed, 20, 4)
		f.measured = 10 * time.Second
		var groups [3][2][]*orderAccount // by priority and route
		for i := range 74 {
			class := min(i/12, 2) // 12, 12 and 50 accounts
			a := f.add(orderAccount{Account: manifest.Account{Priority: 9 - class}, route: routes[i%2], rate: func(time.Duration) float64 { return 2.4 }})
			groups[class][i%2] = append(groups[class][i%2], a)
		}
		f.run(50 * time.Second)
		all, least := served(f.accounts)
		var shares [3][2]float64
		for class := range groups {
			for route := range groups[class] {
				shares[class][route], _ = served(groups[class][route])
			}
		}
		each := make([]float64, 0, len(f.accounts))
		for _, a := range f.accounts {
			each = append(each, float64(a.inTime)/float64(a.sent))
		}
		slices.Sort(each)
		worst := 0.0
		for _, share := range each[:7] {
			worst += share / 7
		}
		t.Logf("seed %d: all %.3f, by priority and route %.3f, worst tenth %.3f, least %.3f", seed, all, shares, worst, least)
		is.True(shares[0][0] > 0.75 && shares[0][1] > 0.85) // the highest priority fits in
		is.True(shares[0][0] > shares[1][1]+0.05)           // on the route of the lower priority, too
		is.True(shares[1][0] > shares[2][1]+0.05)
		is.True(least > 0.25*all) // no account is starved
		is.True(worst > 0.4*all)
	}
}

// noLoads fails a test that asks for the load of an account.
type noLoads struct{ t *testing.T }

func (n noLoads) Observe(string) { n.t.Error("a request is reported") }

func (n noLoads) Heat(string) float64 { n.t.Error("the load of an account is read"); return 9 }

// TestNoAccountsNoOrder guards against an order among accounts that changes the decisions
// under a configuration without accounts.
func TestNoAccountsNoOrder(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Minute)
	p, _ := newTestPlacement(now, 3, 0, false)
	p.Loads = noLoads{t}
	var u urgency
	for i := range 1000 {
		x := &filter.Exchange{Arrived: now.Now(), Deadline: now.Now().Add(time.Second), Request: &filter.Request{ID: "i"}, Service: &manifest.Service{Name: "s"}, Route: &manifest.Route{Name: "r", Priority: 9 - i%3, Objective: manifest.Duration(orderObjective)}}
		r := p.requirements(x, now.Now())
		is.Equal(r.Urgency, u.observe(9-i%3))
		is.Equal(r.MostOccupied, 0.0)
		out := filter.Chain(&Account{Loads: p.Loads}, sink(func(*filter.Exchange) {})).Handle(context.Background(), x)
		is.Equal(out.Verdict, verdict.Ran)
	}
}
