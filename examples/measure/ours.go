package main

import (
	"time"

	"github.com/anvilfront/anvilfront/internal/balance"
	"github.com/anvilfront/anvilfront/internal/clock"
)

var maxWait, giveUp = 4 * time.Millisecond, time.Duration(1)

// pool runs the decisions of package balance at the holder of a lease.
type pool struct {
	m          *sim
	dc, holder int // holder is an entry host, -1 for none
	*balance.Pool
	queue   *balance.Queue
	budget  *balance.Budget
	members []*server
}

// waiter is the asker of a slot; exactly one of its functions is called.
type waiter struct {
	grant   func(*server)
	refused func()
}

// hold makes an entry host the holder; it knows nothing of the servers.
func (p *pool) hold(holder int) {
	p.holder, p.Pool = holder, balance.NewPool(balance.Config{})
	p.queue, p.budget = balance.NewQueue(64, p.m.order), balance.NewBudget(5, 0, p.m.now)
	p.set(true)
}

// set puts a manifest in force at the holder.
func (p *pool) set(in bool) {
	var members []balance.Member
	for _, s := range p.members {
		if in {
			members = append(members, balance.Member{Name: s.name, Slots: slots, Counter: &s.counter})
		}
	}
	sizes := make([]int, centres)
	for i := range sizes {
		sizes[i] = len(p.m.pools[i].members)
	}
	quota := balance.EjectionQuota(sizes, p.dc, 30)
	p.SetMembers(balance.Config{ReportAge: 500 * time.Millisecond, MaxEjected: quota}, members)
}

// ask is the selection filter: it asks pools until one grants.
func (m *sim) ask(r *request, asked uint64, n int) {
	h := r.host
	for dc := range centres {
		m.known[h][dc].Local = dc == h%centres && !m.out[h][dc]
		if m.known[h][dc].Age = m.now.Sub(m.heard[h][dc]); m.out[h][dc] {
			asked |= 1 << dc
		}
	}
	if n > 0 && m.now.Sub(r.start) > 1500*time.Microsecond {
		asked = balance.AskLocal(m.known[h][:], asked)
	}
	i := balance.ChoosePool(m.known[h][:], asked, !r.order, m.rng.IntN)
	if i < 0 || n == 3 {
		m.end(r, balance.Unused)
		return
	}
	p, next := m.pools[i], func() { m.ask(r, asked|1<<i, n+1) }
	if p.holder < 0 || m.split && side(h) != side(p.holder) {
		p.reduced(r, next)
		return
	}
	d := way(h, p.holder)
	if h == p.holder {
		d = 0
	}
	m.after(d, func() {
		p.acquire(r, balance.Spill(m.known[h][:], i), waiter{
			grant: func(s *server) {
				s.grants[r] = m.now
				m.after(d, func() {
					m.learn(h, p)
					m.send(r, s, func(o balance.Observation) { m.after(d, func() { p.done(r, s, o) }) })
				})
			},
			refused: func() { m.after(d, func() { m.learn(h, p); next() }) },
		})
	})
}

// learn takes the load from a holder's reply or gossip.
func (m *sim) learn(h int, p *pool) {
	v := p.View()
	m.known[h][p.dc] = balance.Candidate{Free: v.Free(), Queued: p.queue.Len(), Slots: v.Slots, Median: p.Median()}
	m.heard[h][p.dc] = m.now
}

// reduced is the limit without a lease.
func (p *pool) reduced(r *request, next func()) {
	for _, s := range p.members {
		for _, name := range s.reducedHosts {
			if h := r.host; name == hostName(h) && s.warm && !s.reducedBusy[h] {
				s.reducedBusy[h] = true
				p.m.send(r, s, func(balance.Observation) { s.reducedBusy[h] = false })
				return
			}
		}
	}
	next()
}

func (p *pool) take(idempotent bool, avoid []string) *server {
	if i := p.View().Take(p.m.now, idempotent, avoid, p.m.rng.Uint64()); i >= 0 {
		return p.members[i]
	}
	return nil
}

func (p *pool) acquire(r *request, spill bool, w waiter) {
	m, v := p.m, p.View()
	if len(v.Servers) == 0 || spill && (p.queue.Len() > 0 || !v.Spare()) {
		w.refused()
		return
	}
	if p.queue.Len() == 0 {
		if s := p.take(!r.order, r.avoid); s != nil {
			p.count(r.order)
			w.grant(s)
			return
		}
	}
	wait := max(maxWait-m.now.Sub(r.arrived), time.Millisecond)
	it := &balance.Item{Idempotent: !r.order, Avoid: r.avoid, Enqueued: m.now, MaxWait: wait, GiveUp: m.now.Add(giveUp * wait), Deadline: r.arrived.Add(deadline), Ref: w}
	if r.order {
		it.Priority = orderPriority
	}
	displaced, refusal := p.queue.Offer(it, m.now, v.Slots)
	if displaced != nil {
		displaced.Ref.(waiter).refused()
	}
	if refusal != balance.Accepted {
		w.refused()
		return
	}
	m.after(giveUp*wait, p.serve)
}

// serve grants free slots to waiting requests.
func (p *pool) serve() {
	for _, it := range p.queue.Expired(p.m.now) {
		it.Ref.(waiter).refused()
	}
	for it := p.queue.Next(); it != nil; it = p.queue.Next() {
		s := p.take(it.Idempotent, it.Avoid)
		if s == nil {
			return
		}
		p.queue.Remove(it)
		p.count(!it.Idempotent)
		it.Ref.(waiter).grant(s)
	}
}

func (p *pool) count(order bool) {
	if w, ok := p.m.order.(*balance.Weighted); ok {
		priority := 0
		if order {
			priority = orderPriority
		}
		w.Granted(priority, p.m.now)
	}
}

// done ends a grant.
func (p *pool) done(r *request, s *server, o balance.Observation) {
	p.queue.Held(p.m.now.Sub(s.grants[r]))
	delete(s.grants, r)
	s.seen = p.m.now
	o.Load.Own = s.counter.Release()
	p.Observe(s.name, o, p.m.now)
	p.serve()
}

// tick is the housekeeping of the holder, each 50 ms.
func (p *pool) tick() {
	p.m.after(50*time.Millisecond, p.tick)
	if p.holder < 0 || p.m.policy != "ours" || p.m.now > clock.Time(length) {
		return
	}
	after := p.OverdueAfter()
	for i, s := range p.members {
		n, oldest := 0, time.Duration(0)
		for _, at := range s.grants {
			if age := p.m.now.Sub(at); after > 0 && age > after {
				n, oldest = n+1, max(oldest, age)
			}
		}
		p.Overdue(s.name, n, oldest, p.m.now)
		s.warm = i < len(p.View().Servers) && p.View().Servers[i].Warm
		if p.m.now.Sub(s.seen) > 500*time.Millisecond && p.budget.Take(p.m.now) {
			p.m.probes++
			s.seen = p.m.now
		}
	}
	p.m.learn(p.holder, p)
	p.serve()
}

func side(h int) bool { return h%5 == 0 && h < hosts } // hosts 0, 5, 10, 15: one in each data centre
