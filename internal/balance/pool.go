package balance

import (
	"slices"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// Config are the parameters of a pool.
type Config struct {
	ReportAge  time.Duration // older load reports are ignored
	MaxEjected int           // servers of this pool that may be ejected at once, see EjectionQuota
	// Trickle is the time between two requests to an ejected server; default 50ms.
	Trickle time.Duration
}

// Member is one backend server of a pool.
type Member struct {
	Name    string
	Slots   int
	Counter *Counter // kept by the caller for as long as requests are in flight
}

// Stats count decisions. They only increase.
type Stats struct {
	StaleReports, ContradictedReports, IgnoredReports int64
	Ejections, ColdStarts, Sheds, Failures, Crashes   int64
}

// Pool is the state of one pool at the holder of its lease. It has a single
// writer; readers use the views it builds.
type Pool struct {
	cfg     Config
	servers []*server
	peers   []float64 // median service times of the service's other pools, in seconds
	view    *View
	stats   Stats
	scratch []float64

	reserved      bool // floor(slots/2) slots of each server are kept free
	reservedUntil clock.Time
}

// NewPool returns a pool without servers.
func NewPool(cfg Config) *Pool {
	if cfg.Trickle <= 0 {
		cfg.Trickle = 50 * time.Millisecond
	}
	p := &Pool{cfg: cfg}
	p.rebuild()
	return p
}

// SetMembers replaces the eligible servers. Those that stay keep their state;
// new ones, and ones that come back, start cold.
func (p *Pool) SetMembers(cfg Config, members []Member) {
	cfg.Trickle = p.cfg.Trickle
	p.cfg = cfg
	next := make([]*server, 0, len(members))
	for _, m := range members {
		i := p.index(m.Name)
		if i < 0 || p.servers[i].counter != m.Counter {
			next = append(next, newServer(m.Name, m.Slots, m.Counter))
			p.stats.ColdStarts++
			continue
		}
		s := p.servers[i]
		s.slots = max(m.Slots, 1)
		s.limit = min(s.limit, s.slots)
		next = append(next, s)
	}
	p.servers = next
	p.eject()
	p.rebuild()
}

// Adopt sets a server's state to what the holder before handed over.
func (p *Pool) Adopt(name string, limit int, instance string, warm bool) {
	if i := p.index(name); i >= 0 {
		s := p.servers[i]
		s.limit = min(max(limit, 1), s.slots)
		s.cold, s.instance = !warm, instance
		p.rebuild()
	}
}

// Reserve keeps floor(slots/2) slots of each server free until the given time.
// A holder that follows a dead one needs it: entry hosts that have not heard of
// the new holder use these slots under the reduced limit.
func (p *Pool) Reserve(until clock.Time) {
	p.reserved, p.reservedUntil = true, until
	p.rebuild()
}

// SetPeerMedians sets the median service times of the service's other pools.
func (p *Pool) SetPeerMedians(medians []time.Duration) {
	p.peers = p.peers[:0]
	for _, m := range medians {
		if m > 0 {
			p.peers = append(p.peers, m.Seconds())
		}
	}
}

func (p *Pool) index(name string) int {
	return slices.IndexFunc(p.servers, func(s *server) bool { return s.name == name })
}

// Observe takes one observation on the named server and reports whether the
// view changed.
func (p *Pool) Observe(name string, o Observation, now clock.Time) bool {
	p.Record(name, o, now)
	return p.Refresh(now)
}

// Record takes one observation on the named server without an update of the
// view, which Refresh does for several at once. Observations on unknown
// servers have no effect.
func (p *Pool) Record(name string, o Observation, now clock.Time) {
	i := p.index(name)
	if i < 0 {
		return
	}
	s := p.servers[i]
	if s.newInstance(o.Instance) {
		s.setCold()
		p.stats.ColdStarts++
	}
	median := p.median()
	p.report(s, o, median, now)
	if !o.Probe {
		p.result(s, o, median)
	}
	s.judge(median, p.medianFails())
	p.eject()
}

func (s *server) newInstance(instance string) bool {
	if instance == "" || instance == s.instance {
		return false
	}
	known := s.instance != ""
	s.instance = instance
	return known
}

func (p *Pool) result(s *server, o Observation, median float64) {
	switch o.Kind {
	case Success:
		s.time(o.ServiceTime.Seconds(), median)
		s.succeed()
	case Failure:
		p.stats.Failures++
		s.fail(p.medianFails())
	case Crash:
		p.stats.Crashes++
		p.stats.ColdStarts++
		s.setCold()
		s.fail(0)
	case Shed:
		p.stats.Sheds++
		s.shed()
	}
}

// report weighs a load report. Only what it says about requests of others is
// used, and only to lower the limit; the holder's own count is exact.
func (p *Pool) report(s *server, o Observation, median float64, now clock.Time) {
	if o.Kind == Shed && !o.Probe && s.freeReported > 0 && now.Sub(s.freeReported) < shedTrust {
		p.contradict(s, now)
	}
	if o.Load.Inflight < 0 {
		return
	}
	switch {
	case now.Before(s.distrustUntil):
		p.stats.IgnoredReports++
		return
	case p.cfg.ReportAge > 0 && o.Load.Age > p.cfg.ReportAge:
		p.stats.StaleReports++
		return
	}
	foreign := o.Load.Inflight - o.Load.Own
	fast := o.Kind == Success && !o.Probe && median > 0 && o.ServiceTime.Seconds() < median
	if foreign >= s.slots && fast {
		// A server with that much foreign work would not answer faster than the others.
		p.contradict(s, now)
		return
	}
	s.reports++
	s.foreignMean += alphaForeign * (float64(o.Load.Inflight-o.Load.Own) - s.foreignMean)
	s.foreign, s.foreignUntil = 0, now.Add(p.cfg.ReportAge-o.Load.Age)
	if s.reports >= foreignReports {
		s.foreign = max(0, int(s.foreignMean+0.5))
	}
	s.freeReported = 0
	if o.Load.Inflight < s.limit {
		s.freeReported = now
	}
}

func (p *Pool) contradict(s *server, now clock.Time) {
	p.stats.ContradictedReports++
	s.freeReported = 0
	if s.contradicted++; s.contradicted >= distrustAfter {
		s.contradicted, s.foreign = 0, 0
		s.distrustUntil = now.Add(distrustFor)
	}
}

// Ages tells the ages of the requests in flight on a server. Those older than
// four medians, with time for the way, count as overdue. It reports whether the view changed.
func (p *Pool) Ages(name string, ages []time.Duration, now clock.Time) bool {
	i, after := p.index(name), time.Duration(4*p.median()*float64(time.Second))+overdueSlack
	count, oldest := 0, time.Duration(0)
	for _, age := range ages {
		if after > overdueSlack && age > after {
			count, oldest = count+1, max(oldest, age)
		}
	}
	if i < 0 || (count == 0 && p.servers[i].overdue == 0) {
		return p.Refresh(now)
	}
	s := p.servers[i]
	s.overdue, s.oldest = count, oldest
	s.judge(p.median(), p.medianFails())
	p.eject()
	return p.Refresh(now)
}

// Median is the median service time of the pool's servers, 0 while unknown.
func (p *Pool) Median() time.Duration { return p.ownMedian() }

// Stats returns the counts so far.
func (p *Pool) Stats() Stats { return p.stats }

// ownMedian is over the pool's servers alone.
func (p *Pool) ownMedian() time.Duration {
	p.scratch = p.scratch[:0]
	for _, s := range p.servers {
		if s.samples >= minSamples {
			p.scratch = append(p.scratch, s.mean)
		}
	}
	return time.Duration(lowerMedian(p.scratch) * float64(time.Second))
}

// median is over the pool's servers, joined by the medians of other pools
// where fewer than three servers have samples.
func (p *Pool) median() float64 {
	p.scratch = p.scratch[:0]
	for _, s := range p.servers {
		if s.samples >= minSamples {
			p.scratch = append(p.scratch, s.mean)
		}
	}
	if len(p.scratch) < 3 {
		p.scratch = append(p.scratch, p.peers...)
	}
	return lowerMedian(p.scratch)
}

func (p *Pool) medianFails() float64 {
	p.scratch = p.scratch[:0]
	for _, s := range p.servers {
		p.scratch = append(p.scratch, s.fails)
	}
	return lowerMedian(p.scratch)
}

// lowerMedian sorts v. With an even count it takes the lower middle, so that
// one of two servers can be the straggler.
func lowerMedian(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}

// eject ejects the worst of the stragglers and failing servers, within bound.
// The others keep serving at their weight.
func (p *Pool) eject() {
	var bad []*server
	for _, s := range p.servers {
		if s.straggler || s.failing {
			bad = append(bad, s)
		} else {
			s.ejected = false
		}
	}
	slices.SortStableFunc(bad, func(a, b *server) int {
		switch {
		case a.badness() > b.badness():
			return -1
		case a.badness() < b.badness():
			return 1
		}
		return 0
	})
	for i, s := range bad {
		was := s.ejected
		s.ejected = i < min(p.cfg.MaxEjected, len(p.servers)-1)
		if s.ejected && !was {
			p.stats.Ejections++
		}
	}
}

// badness orders ejections: failing servers first, then by service time. A
// server that is ejected stays so against an equal one.
func (s *server) badness() float64 {
	b := s.mean
	if s.failing {
		b += 1000 + 1000*s.fails
	}
	if s.ejected {
		b *= 1.5
	}
	return b
}

// EjectionQuota is the part of a service's ejection bound that falls to pool
// k. The parts of all pools add up to floor(percent/100 of all servers).
func EjectionQuota(sizes []int, k, percent int) int {
	before := 0
	for _, n := range sizes[:k] {
		before += n
	}
	return (before+sizes[k])*percent/100 - before*percent/100
}
