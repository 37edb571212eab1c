package filters

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/placement"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

const (
	// remoteTravel is the round trip to another data centre of the region beyond
	// that within the own one.
	remoteTravel = 3 * time.Millisecond
	// shunTime keeps requests away from a server that refused a connection. It
	// is measured again several times meanwhile.
	shunTime = 300 * time.Millisecond
	// coldWindow is the span over which requests to a cold server are bounded.
	coldWindow = time.Second
	// firstWork is the part of a route's objective that its work is taken to
	// last until it was measured.
	firstWork = 3
	// scaleOfWork is the multiple of its usual work that stands in for the
	// objective of a route without one, where servers are compared.
	scaleOfWork = 10
	// speedWeight is the weight of the newest reading in a service's mean speed.
	speedWeight = 0.02
	// retryAfterLeast and retryAfterMost bound, as parts of the objective, when
	// a refused caller is told to come back. The spread keeps callers that were
	// refused together from returning together.
	retryAfterLeast, retryAfterMost = 0.15, 0.4
	// lowUrgency is the part of its objective that the wait of the least urgent
	// request may use up; the most urgent one may use all of it.
	lowUrgency = 0.8
)

// ColdSender reports whether this host may send to a cold backend server now.
type ColdSender interface{ MaySendToCold(s *state.Server) bool }

// Placement chooses the backend server of an attempt by expected completion,
// from load readings, and refuses what cannot be served in time. It keeps no
// lock and allocates nothing that grows with the fleet.
type Placement struct {
	Clock clock.Clock
	Store *state.Store
	Cold  ColdSender
	Rand  *rand.Rand      // for tests and simulations; nil: the runtime's
	work  cowMap[average] // by route name
	speed cowMap[average] // by service name
}

// Name implements filter.Filter.
func (*Placement) Name() string { return "placement" }

// Handle implements filter.Filter.
func (p *Placement) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	now := p.Clock.Now()
	ask := p.ask(x, now)
	if ask.TimeLeft <= 0 {
		return filter.Refuse(verdict.ReasonDeadline, nil)
	}
	// The servers of now, not those of the request's snapshot: one that left
	// since must not get a repetition.
	servers := p.Store.Load().Servers.ByService[x.Service.Name]
	found, full := p.choose(servers, x, ask, now)
	choice, admission := placement.Admit(found, ask)
	x.PlacementEstimate = basis(&choice, servers)
	if reason := refusal(&choice, full, admission); reason != verdict.ReasonNone {
		return p.refuse(x, reason)
	}
	target := servers[choice.Index]
	if !p.start(target, now) {
		return p.refuse(x, verdict.ReasonOverload)
	}
	x.Grant = &filter.Grant{
		Server: &target.BackendServer, StartBy: now.Add(filter.DispatchWindow), Target: target,
		Expected: time.Duration(float64(choice.CompletionTime) / choice.Slowdown),
	}
	if choice.HasCapacity && choice.Known {
		x.Grant.ObserveDuration = p.learner(x, float64(x.Grant.Expected)/float64(ask.Work))
	}
	out := next.Handle(ctx, x)
	if out.Verdict == verdict.NotRun && out.RetryAfter == 0 {
		out.RetryAfter = p.retryAfter(x) // refused by the server, or never sent
	}
	return out
}

// basis is what a choice was decided on.
func basis(o *placement.Option, servers []*state.Server) filter.PlacementEstimate {
	if !o.Found {
		return filter.PlacementEstimate{}
	}
	l := &o.Load
	return filter.PlacementEstimate{Server: servers[o.Index].Name, Expected: o.CompletionTime, Running: l.Running, Waiting: l.Waiting, Speed: l.Speed, Age: l.Age}
}

// refusal returns why a request is not sent, or ReasonNone.
func refusal(o *placement.Option, full bool, a placement.Admission) verdict.Reason {
	switch {
	case a == placement.Send:
		return verdict.ReasonNone
	case a == placement.AtCapacity, !o.Found && full:
		return verdict.ReasonOverload
	case !o.Found:
		return verdict.ReasonNoBackend
	}
	return verdict.ReasonWontFinish
}

func (p *Placement) ask(x *filter.Exchange, now clock.Time) placement.Requirements {
	objective := time.Duration(x.Route.Objective)
	if objective <= 0 {
		objective = x.Deadline.Sub(x.Arrived)
	}
	work := time.Duration(p.work.get(x.Route.Name).get(float64(objective) / firstWork))
	scale := max(objective-now.Sub(x.Arrived), objective/4)
	if x.Route.Objective <= 0 {
		scale = min(scale, scaleOfWork*work)
	}
	urgency := lowUrgency + (1-lowUrgency)*float64(x.Route.Priority)/manifest.MaxPriority
	return placement.Requirements{
		Work:         work,
		Objective:    max(objective-now.Sub(x.Arrived), objective/4),
		PenaltyScale: scale, TotalObjective: objective, TimeLeft: x.Deadline.Sub(now), Urgency: urgency, SpareCapacityOnly: x.IsHedge,
	}
}

// choose returns the best warm server, or a cold one that this host may send
// to when no warm one has room. full reports that a server was left out because
// it would refuse the request.
func (p *Placement) choose(servers []*state.Server, x *filter.Exchange, ask placement.Requirements, now clock.Time) (best placement.Choice, full bool) {
	usual := p.speed.get(x.Service.Name).get(1)
	var cold placement.Choice
	for i, s := range servers {
		if s.Load.Suspended(now) || contains(x.Tried, s.Name) {
			continue
		}
		e := s.Load.Estimate(now, usual, s.Slots)
		if e.Silent {
			continue
		}
		c := placement.Candidate{Estimate: e, Local: s.Local, RejectsExcess: s.ReportsRunningOnly}
		if !s.Local {
			c.ExtraRoundTrip = remoteTravel
		}
		if s.ReportsRunningOnly {
			s.Load.DecayByAge(&e, ask.Work)
			c.Estimate = e
			if e.Running < float64(s.Slots) && s.Load.Inflight() < p.limit(s, now) {
				best.Consider(i, c, ask, p.random())
			} else {
				full = true
			}
			continue
		}
		if e.Cold || now.Before(s.ColdUntil) {
			if s.Local && p.Cold.MaySendToCold(s) {
				cold.Consider(i, c, ask, p.random())
			}
			continue
		}
		best.Consider(i, c, ask, p.random())
	}
	if c := cold.Best; c.Found && !best.BestWithCapacity.Found && (!best.Best.Found || c.CompletionTime < best.Best.CompletionTime) {
		if servers[c.Index].Load.Cold.Take(now, coldQuota(x.Service), coldWindow) {
			return cold, full
		}
	}
	return best, full
}

func (p *Placement) random() *rand.Rand {
	if p.Rand != nil {
		return p.Rand
	}
	return random
}

// coldQuota is this host's part of the requests a second that a cold server of
// the service bears.
func coldQuota(s *manifest.Service) int {
	return max(1, int(s.ColdPerSecond/roster.MaxConcurrentOwners))
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// refuse refuses a request that its caller may send again soon.
func (p *Placement) refuse(x *filter.Exchange, r verdict.Reason) filter.Outcome {
	out := filter.Refuse(r, nil)
	out.RetryAfter = p.retryAfter(x)
	return out
}

// retryAfter returns when the caller of a request that has not run should send
// it again.
func (p *Placement) retryAfter(x *filter.Exchange) time.Duration {
	objective := x.Deadline.Sub(x.Arrived)
	if x.Route != nil && x.Route.Objective > 0 {
		objective = time.Duration(x.Route.Objective)
	}
	return time.Duration(float64(objective) * (retryAfterLeast + (retryAfterMost-retryAfterLeast)*p.random().Float64()))
}

// Release implements filter.Releaser.
func (p *Placement) Release(g *filter.Grant, r filter.Report) {
	now := p.Clock.Now()
	s := g.Target
	s.Load.End()
	if r.Reason == verdict.ReasonConnectFailed {
		s.Load.SuspendUntil(now.Add(shunTime))
	}
	if r.Load != nil && !r.Load.InstanceOnly {
		s.Load.Observe(ReadingOf(r.Load, now))
		p.speed.get(s.Service).add(r.Load.Speed, speedWeight, 1)
	}
	if s.ReportsRunningOnly {
		noticeStart(s, &r, now)
	}
	if r.Reason == verdict.ReasonCallerGone {
		return
	}
	ratio := 0.0
	if r.Verdict == verdict.Ran && !r.Failed && g.Expected > 0 {
		ratio = float64(r.ServiceTime) / float64(g.Expected)
		if g.ObserveDuration != nil {
			g.ObserveDuration(r.ServiceTime)
		}
	}
	s.Load.RecordOutcome(now, r.Failed || r.Reason == verdict.ReasonShed, ratio)
}

// learner returns a function that takes the duration of a request's run. factor
// is what its expected duration was as a multiple of the route's usual work.
func (p *Placement) learner(x *filter.Exchange, factor float64) func(time.Duration) {
	first := float64(x.Route.Objective) / firstWork
	work := p.work.get(x.Route.Name)
	return func(took time.Duration) {
		v := float64(took) / max(factor, 0.1)
		if first == 0 {
			first = v // nothing says how long a run should take
		}
		work.follow(v, first)
	}
}
