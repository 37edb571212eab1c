package filters

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/placement"
	"github.com/anvilfront/anvilfront/internal/precedence"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

const (
	// remoteExtraRoundTrip is the difference between the round trip to another
	// data centre of the region and one within the local data centre.
	remoteExtraRoundTrip = 3 * time.Millisecond
	// connectFailureSuspension is how long a server that refused a connection
	// gets no requests. It is probed several times in this period.
	connectFailureSuspension = 300 * time.Millisecond
	// coldQuotaWindow is the period for which the quota of requests to a cold
	// server holds.
	coldQuotaWindow = time.Second
	// initialWorkDivisor sets the expected duration of a route's work before any
	// was observed: the route's objective divided by it.
	initialWorkDivisor = 3
	// penaltyWorkFactor bounds the penalty scale of a route without an objective
	// to a multiple of the usual duration of its work.
	penaltyWorkFactor = 10
	// speedWeight is the weight of the newest reading in the mean speed of a
	// service.
	speedWeight = 0.02
	// minRetryAfterShare and maxRetryAfterShare bound the random retry delay of a
	// refused caller, as shares of the objective. The jitter keeps callers that
	// were refused at the same time from retrying at the same time.
	minRetryAfterShare, maxRetryAfterShare = 0.15, 0.4
	// stopTimeFactor is the multiple of the expected duration that must be left until the
	// process ends. A request that is cut then may have run.
	stopTimeFactor = 2
)

// ColdSender decides whether this host may send to a cold backend server now.
type ColdSender interface{ MaySendToCold(s *state.Server) bool }

// LimitedSender decides whether this host may send to a backend server that names a
// rate limit.
type LimitedSender interface{ MaySendToLimited(s *state.Server) bool }

// newConnectionShare is the share of the requests that are placed without regard to open
// connections. Without it a host with few requests would never use a server that joins.
const newConnectionShare = 0.1

// IdleConnections tells to which backend servers this host keeps idle connections.
type IdleConnections interface{ HasIdle(address string) bool }

// Placement chooses the backend server of an attempt by expected completion time,
// from load readings, and refuses requests that cannot be served in time. It
// takes no lock, and its allocations do not grow with the size of the fleet.
type Placement struct {
	Clock   clock.Clock
	Store   *state.Store
	Cold    ColdSender
	Limited LimitedSender            // nil: no server names a rate limit
	Load    LoadQuerier              // nil: placement uses the readings that it has
	Idle    IdleConnections          // nil: placement does not prefer servers with a connection
	Loads   AccountLoads             // nil: no account is known to send more than usual
	Rand    *rand.Rand               // set by tests and simulations; nil means the generators of the runtime
	work    cowMap[average]          // median duration of work in ns, by route name
	speed   cowMap[average]          // mean speed, by service name
	urgency cowMap[urgency]          // by service name
	order   cowMap[precedence.Order] // by service name; under a configuration with accounts
}

// Name implements filter.Filter.
func (*Placement) Name() string { return "placement" }

// Handle implements filter.Filter.
func (p *Placement) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	now := p.Clock.Now()
	requirements := p.requirements(x, now)
	if requirements.TimeLeft <= 0 {
		return filter.Refuse(verdict.ReasonDeadline, nil)
	}
	// Uses the current servers, not those of the request's snapshot: a server that
	// left since then must not get a retry.
	servers := p.Store.Load().Servers.ByService[x.Service.Name]
	requirements.Typical = p.typicalCompletion(servers, x.Service, requirements.Work, now)
	q := p.queryBest(ctx, servers, x, requirements, now)
	now = p.Clock.Now()
	choice, reason := p.admit(servers, x, q, requirements, now)
	if reason != verdict.ReasonNone && len(q.unresponsive) > 0 {
		choice, reason = p.admit(servers, x, queried{}, requirements, now) // better one that was late with its load than none
	}
	x.PlacementEstimate = newPlacementEstimate(&choice, servers)
	if reason != verdict.ReasonNone {
		return p.refuse(x, reason)
	}
	target := servers[choice.Index]
	if !p.tryStart(target, now) {
		return p.refuse(x, verdict.ReasonOverload)
	}
	x.Grant = &filter.Grant{
		Server: &target.BackendServer, StartBy: now.Add(filter.DispatchWindow), Target: target,
		Expected: time.Duration(float64(choice.CompletionTime) / choice.Slowdown),
	}
	if choice.HasCapacity && choice.Known {
		x.Grant.ObserveDuration = p.durationObserver(x, float64(x.Grant.Expected)/float64(requirements.Work))
	}
	out := next.Handle(ctx, x)
	if out.Verdict == verdict.NotRun && out.RetryAfter == 0 {
		out.RetryAfter = p.retryAfter(x) // refused by the server, or not sent
	}
	return out
}

// maxChoices bounds how often a server is chosen again because another request took the
// chosen one's rate limit meanwhile.
const maxChoices = 4

// admit chooses a server, none of the unresponsive ones, and decides whether the request
// is sent to it. The reason is that of a refusal, or ReasonNone.
func (p *Placement) admit(servers []*state.Server, x *filter.Exchange, q queried, requirements placement.Requirements, now clock.Time) (placement.Option, verdict.Reason) {
	for range maxChoices {
		found, full := p.choose(servers, x, q, requirements, now)
		choice, admission := placement.Admit(found, requirements)
		if reason := refusalReason(&choice, full, admission); reason != verdict.ReasonNone {
			return choice, reason
		}
		if limit := choice.Load.RateLimit; limit == 0 || servers[choice.Index].Load.RateLimiter.Take(now, limit) {
			return choice, verdict.ReasonNone
		}
	}
	return placement.Option{}, verdict.ReasonOverload
}

// newPlacementEstimate returns what a choice was based on.
func newPlacementEstimate(o *placement.Option, servers []*state.Server) filter.PlacementEstimate {
	if !o.Found {
		return filter.PlacementEstimate{}
	}
	l := &o.Load
	return filter.PlacementEstimate{Server: servers[o.Index].Name, Expected: o.CompletionTime, Running: l.Running, Waiting: l.Waiting, Speed: l.Speed, Age: l.Age}
}

// refusalReason returns why a request is not sent, or ReasonNone.
func refusalReason(o *placement.Option, full bool, admission placement.Admission) verdict.Reason {
	switch {
	case admission == placement.Send:
		return verdict.ReasonNone
	case admission == placement.RoomIsForOthers:
		return verdict.ReasonOtherAccounts
	case admission == placement.AtCapacity, !o.Found && full:
		return verdict.ReasonOverload
	case !o.Found:
		return verdict.ReasonNoBackend
	}
	return verdict.ReasonWontFinish
}

func (p *Placement) requirements(x *filter.Exchange, now clock.Time) placement.Requirements {
	objective := time.Duration(x.Route.Objective)
	if objective <= 0 {
		objective = x.Deadline.Sub(x.Arrived)
	}
	work := time.Duration(p.work.get(x.Route.Name).get(float64(objective) / initialWorkDivisor))
	scale := max(objective-now.Sub(x.Arrived), objective/4)
	if x.Route.Objective <= 0 {
		scale = min(scale, penaltyWorkFactor*work)
	}
	timeLeft := x.Deadline.Sub(now)
	if x.HostEnds != 0 {
		timeLeft = min(timeLeft, x.HostEnds.Sub(now)/stopTimeFactor)
	}
	standing := p.standing(x)
	objectiveLeft := max(objective-now.Sub(x.Arrived), objective/4)
	if x.MayMissObjective {
		objectiveLeft = timeLeft
	}
	return placement.Requirements{
		Work:         work,
		Objective:    objectiveLeft,
		PenaltyScale: scale, TotalObjective: objective, TimeLeft: timeLeft, Urgency: standing.Urgency, MostOccupied: standing.MostOccupied,
		SpareCapacityOnly: x.IsHedge, PreferConnected: p.Idle != nil && p.random().Float64() >= newConnectionShare,
	}
}

// choose returns the best warm server, or a cold one that this host may send to
// if no warm server has capacity. full reports that a server was skipped because
// it would refuse the request.
func (p *Placement) choose(servers []*state.Server, x *filter.Exchange, q queried, requirements placement.Requirements, now clock.Time) (best placement.Choice, full bool) {
	best, bestCold, full := p.compare(servers, x, q, requirements, now)
	if c := bestCold.Best; c.Found && requirements.MostOccupied == 0 && !best.BestWithCapacity.Found && (!best.Best.Found || c.CompletionTime < best.Best.CompletionTime) {
		if servers[c.Index].Load.Cold.Take(now, coldQuota(x.Service), coldQuotaWindow) {
			return bestCold, full
		}
	}
	return best, full
}

// maxTypicalAge is the age up to which a reading counts in the typical completion time.
const maxTypicalAge = time.Second

// typicalCompletion returns the mean time in which the local servers of a service would
// complete a request by their newest readings, or 0 if there are none.
func (p *Placement) typicalCompletion(servers []*state.Server, service *manifest.Service, work time.Duration, now clock.Time) time.Duration {
	meanSpeed := p.speed.get(service.Name).get(1)
	var sum time.Duration
	n := 0
	for _, s := range servers {
		if !s.Local || s.ReportsRunningOnly || s.Load.Leaving() {
			continue
		}
		e := s.Load.Estimate(now, meanSpeed, s.Slots)
		if !e.Known || e.Silent || e.Cold || e.Age > maxTypicalAge {
			continue
		}
		completion, _ := placement.CompletionTime(placement.Candidate{Estimate: e}, work)
		sum += completion
		n++
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// compare returns the best warm servers, and the best cold ones that this host may send
// to. It changes nothing.
func (p *Placement) compare(servers []*state.Server, x *filter.Exchange, q queried, requirements placement.Requirements, now clock.Time) (best, bestCold placement.Choice, full bool) {
	meanSpeed := p.speed.get(x.Service.Name).get(1)
	for i, s := range servers {
		if s.Load.Suspended(now) || s.Load.Leaving() || contains(x.Tried, s.Name) || contains(q.unresponsive, s.Name) {
			continue
		}
		if s.Load.Declined(now) {
			full = true
			best.ConsiderFull(s.Slots)
			continue
		}
		e := s.Load.Estimate(now, meanSpeed, s.Slots)
		if e.Silent {
			continue
		}
		c := placement.Candidate{Estimate: e, Local: s.Local, RejectsExcess: s.ReportsRunningOnly, Queried: contains(q.updated, s.Name)}
		c.NeedsConnection = requirements.PreferConnected && !p.Idle.HasIdle(s.Address)
		if !s.Local {
			c.ExtraRoundTrip = remoteExtraRoundTrip
		}
		if s.ReportsRunningOnly {
			s.Load.DecayByAge(&e, requirements.Work)
			c.Estimate = e
			if e.Running < float64(s.Slots) && s.Load.Inflight() < p.requestLimit(s, now) {
				best.Consider(i, c, requirements, p.random())
			} else {
				full = true
				best.ConsiderFull(s.Slots)
			}
			continue
		}
		cold := e.Cold || now.Before(s.ColdUntil)
		if e.RateLimit > 0 && !(s.Load.RateLimiter.Ready(now, e.RateLimit) && (cold || p.maySendToLimited(s))) {
			full = true
			continue
		}
		if cold {
			if s.Local && p.Cold.MaySendToCold(s) {
				bestCold.Consider(i, c, requirements, p.random())
			}
			continue
		}
		best.Consider(i, c, requirements, p.random())
	}
	return best, bestCold, full
}

func (p *Placement) maySendToLimited(s *state.Server) bool {
	return p.Limited != nil && p.Limited.MaySendToLimited(s)
}

func (p *Placement) random() *rand.Rand {
	if p.Rand != nil {
		return p.Rand
	}
	return random
}

// coldQuota returns this host's share of the requests per second that a cold
// server of the service can handle.
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

// refuse returns a refusal with the delay after which the caller may retry.
func (p *Placement) refuse(x *filter.Exchange, r verdict.Reason) filter.Outcome {
	out := filter.Refuse(r, nil)
	out.RetryAfter = p.retryAfter(x)
	return out
}

// retryAfter returns the delay after which the caller of a request that has not
// run should retry.
func (p *Placement) retryAfter(x *filter.Exchange) time.Duration {
	objective := x.Deadline.Sub(x.Arrived)
	if x.Route != nil && x.Route.Objective > 0 {
		objective = time.Duration(x.Route.Objective)
	}
	return time.Duration(float64(objective) * (minRetryAfterShare + (maxRetryAfterShare-minRetryAfterShare)*p.random().Float64()))
}

// Release implements filter.Releaser.
func (p *Placement) Release(g *filter.Grant, r filter.Report) {
	now := p.Clock.Now()
	s := g.Target
	s.Load.End()
	if r.Reason == verdict.ReasonConnectFailed {
		s.Load.SuspendUntil(now.Add(connectFailureSuspension))
	}
	if r.RetryAfter > 0 {
		s.Load.DeclineUntil(now.Add(r.RetryAfter))
	}
	if r.Load != nil && r.Load.Leaving {
		s.Load.MarkLeaving()
	}
	if r.Load != nil && !r.Load.InstanceOnly {
		if s.ReportsRunningOnly {
			s.Load.Observe(ReadingOf(r.Load, now))
		} else {
			s.Load.ObserveResponse(ReadingOf(r.Load, now))
		}
		p.speed.get(s.Service).addToMean(r.Load.Speed, speedWeight, 1)
	}
	if s.ReportsRunningOnly {
		detectProcessStart(s, &r, now)
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

// durationObserver returns a function that records the duration of a request that
// ran. factor is its expected duration as a multiple of the usual duration of the
// route's work.
func (p *Placement) durationObserver(x *filter.Exchange, factor float64) func(time.Duration) {
	initial := float64(x.Route.Objective) / initialWorkDivisor
	work := p.work.get(x.Route.Name)
	return func(took time.Duration) {
		v := float64(took) / max(factor, 0.1)
		if initial == 0 {
			initial = v // without an objective there is no other initial value
		}
		work.addToMedian(v, initial)
	}
}
