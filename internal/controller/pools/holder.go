package pools

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/balance"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Lengths of the bounded queues towards a holder's goroutine.
const (
	maxReports = 4096
	maxOffers  = 1024
)

const (
	// defaultWait is the expected queue time accepted for an ask that names none.
	defaultWait = 4 * time.Millisecond
	// giveUpFactor is the real queue time allowed, in expected ones. Below 3 a
	// part of the refusals came after a wait (see docs/MEASUREMENTS.md); above,
	// lookups waited longer under overload.
	giveUpFactor = 3
)

// holderNews is how long news of a new holder take to reach the connected entry
// hosts: 5 rounds of heartbeats of 200 ms for 16 to 32 hosts.
const holderNews = time.Second

// holder runs one pool whose lease this process holds. Requests take slots
// through the published view; the run goroutine is the only writer of the
// pool's state and of its queue.
type holder struct {
	c       *Controller
	id      manifest.PoolID
	lease   *state.HeldLease
	cancel  context.CancelFunc
	view    atomic.Pointer[published]
	waiting atomic.Int64 // requests in offers or in queue; the fast path is closed while above 0
	sealed  atomic.Bool
	broken  atomic.Bool // run panicked; another holder replaces this one
	offers  chan *waiter
	reports chan report
	changed chan struct{} // snapshot changed
	freed   chan struct{} // a slot came free while requests wait
	drained chan struct{} // a slot came free after Seal

	// The fields below belong to the run goroutine.
	pool       *balance.Pool
	queue      *balance.Queue
	stats      balance.Stats
	nextTick   clock.Time
	gossiped   clock.Time
	gossipFree int
	ages       []time.Duration // scratch space
}

// published is what the path of a request reads. It is immutable.
type published struct {
	pool     *manifest.Pool
	view     *balance.View
	median   time.Duration             // of the pool's own servers, 0 while unknown
	servers  []*manifest.BackendServer // parallel to view.Servers
	backends []*backend                // parallel to view.Servers
}

type report struct {
	backend *backend
	held    time.Duration // from grant to release; 0 for a probe
	o       balance.Observation
}

// waiter is one request that waits for a slot.
type waiter struct {
	ask    filter.Ask
	pool   *manifest.Pool
	item   balance.Item
	from   *asker
	settle atomic.Bool // set once, by the side that decides: run goroutine or asker
	result chan result // capacity 1
}

// asker is another entry host that asks for a slot. nil stands for this one.
type asker struct{ incarnation, token uint64 }

type result struct {
	rec    *record
	reason verdict.Reason
}

func newHolder(c *Controller, id manifest.PoolID, lease *state.HeldLease) *holder {
	h := &holder{
		c: c, id: id, lease: lease,
		offers: make(chan *waiter, maxOffers), reports: make(chan report, maxReports),
		changed: make(chan struct{}, 1), freed: make(chan struct{}, 1), drained: make(chan struct{}, 1),
		pool: balance.NewPool(balance.Config{}), queue: balance.NewQueue(0, c.ordering),
	}
	h.view.Store(&published{view: h.pool.View()})
	h.refresh()
	if !h.adopt() {
		h.pool.Reserve(c.clock.Now().Add(holderNews))
		h.publish()
	}
	return h
}

// poke makes the run goroutine read the snapshot again.
func (h *holder) poke() { signal(h.changed) }

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// acquire takes a slot or waits for one. rec is nil when it is refused.
func (h *holder) acquire(ctx context.Context, cur *manifest.Pool, ask filter.Ask, now clock.Time, from *asker) (rec *record, refusal verdict.Reason) {
	if h.sealed.Load() {
		return nil, verdict.ReasonNoLease
	}
	pub := h.view.Load()
	if ask.Spill && (h.waiting.Load() > 0 || !pub.view.Spare()) {
		return nil, verdict.ReasonOverload
	}
	if pub.pool == cur && h.waiting.Load() == 0 {
		if rec := h.take(pub, &ask, now, from); rec != nil {
			return rec, verdict.ReasonNone
		}
	}
	return h.wait(ctx, cur, ask, now, from)
}

// take takes a slot on the server the view prefers, or returns nil.
func (h *holder) take(pub *published, ask *filter.Ask, now clock.Time, from *asker) *record {
	i := pub.view.Take(now, ask.Idempotent, ask.Avoid, rand.Uint64())
	if i < 0 {
		return nil
	}
	b := pub.backends[i]
	rec := &record{
		backend: b, holder: h, at: now,
		expires: now.Add(ask.RunLimit + filter.GrantStart),
		grant: filter.Grant{
			Pool: pub.pool, Server: pub.servers[i],
			Holder: h.c.store.Load().Members.Self.Name, StartBy: now.Add(filter.GrantStart),
		},
	}
	if from != nil {
		rec.remote, rec.asker, rec.token = true, from.incarnation, from.token
	}
	// Seal sets the mark before it reads the counts: either this sees the mark
	// or Seal sees the slot as taken.
	if h.sealed.Load() || !b.put(rec, h.c.sequence.Add(1)) {
		b.counter.Release()
		return nil
	}
	h.c.count.granted.Add(1)
	return rec
}

// wait hands the request to the run goroutine and waits for its decision, the
// end of the longest queue time, or ctx.
func (h *holder) wait(ctx context.Context, cur *manifest.Pool, ask filter.Ask, now clock.Time, from *asker) (*record, verdict.Reason) {
	limit := h.queueTime(&ask)
	wait := min(giveUpFactor*limit, ask.Remaining)
	if from != nil {
		limit, wait = min(limit, remoteWait), min(wait, remoteWait)
	}
	w := &waiter{
		ask: ask, pool: cur, from: from, result: make(chan result, 1),
		item: balance.Item{
			Priority: ask.Priority, Idempotent: ask.Idempotent, Avoid: ask.Avoid,
			Enqueued: now, MaxWait: limit, GiveUp: now.Add(wait), Deadline: now.Add(ask.Remaining),
		},
	}
	w.item.Ref = w
	h.waiting.Add(1)
	select {
	case h.offers <- w:
	default:
		h.waiting.Add(-1)
		return nil, verdict.ReasonQueueFull
	}
	h.c.count.queued.Add(1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	reason := verdict.ReasonOverload
	select {
	case r := <-w.result:
		return r.rec, r.reason
	case <-timer.C:
	case <-ctx.Done():
		reason = verdict.ReasonCallerGone
	}
	if w.settle.CompareAndSwap(false, true) {
		return nil, reason
	}
	r := <-w.result // the run goroutine decided just before
	return r.rec, r.reason
}

// queueTime bounds the expected time in the queue. Where requests run for
// long, slots come free rarely, and half a service time is allowed.
func (h *holder) queueTime(ask *filter.Ask) time.Duration {
	limit := ask.Wait
	if limit <= 0 {
		limit = defaultWait
	}
	return min(max(limit, h.view.Load().median/2), ask.Remaining)
}

// observe passes an observation to the run goroutine, or drops and counts it.
func (h *holder) observe(b *backend, o balance.Observation, held time.Duration) {
	b.seen.Store(int64(h.c.clock.Now()))
	select {
	case h.reports <- report{backend: b, held: held, o: o}:
	default:
		h.c.count.reportsDropped.Add(1)
	}
	if h.waiting.Load() > 0 {
		signal(h.freed)
	}
	if h.sealed.Load() {
		signal(h.drained)
	}
}

// free gives back a slot on b and wakes the run goroutine if requests wait.
func (h *holder) free(b *backend) {
	b.counter.Release()
	if h.waiting.Load() > 0 {
		signal(h.freed)
	}
}

// run is the single writer of the pool until ctx ends.
func (h *holder) run(ctx context.Context) {
	if h.c.transport != nil {
		h.c.wg.Go(func() { h.probe(ctx) })
	}
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			h.stop()
			return
		case w := <-h.offers:
			h.offer(w)
		case r := <-h.reports:
			h.report(r)
			for n := min(len(h.reports), 64); n > 0; n-- {
				h.report(<-h.reports)
			}
			if h.pool.Refresh(h.c.clock.Now()) {
				h.publish()
			}
		case <-h.changed:
			h.refresh()
		case <-h.freed:
		case <-timer.C:
		}
		now := h.c.clock.Now()
		if !now.Before(h.nextTick) {
			h.housekeep(now)
			h.nextTick = now.Add(tick)
		}
		h.serve(now)
		timer.Reset(h.untilNext(now))
	}
}

func (h *holder) untilNext(now clock.Time) time.Duration {
	next := h.nextTick
	if t, ok := h.queue.NextGiveUp(); ok && t.Before(next) {
		next = t
	}
	return max(next.Sub(now), 100*time.Microsecond)
}

// stop ends all waiting after the lease was lost.
func (h *holder) stop() {
	h.sealed.Store(true)
	for _, it := range h.queue.Drain() {
		h.settle(it.Ref.(*waiter), nil, verdict.ReasonNoLease)
	}
	for {
		select {
		case w := <-h.offers:
			h.settle(w, nil, verdict.ReasonNoLease)
		default:
			return
		}
	}
}

// settle tells a waiter the decision. It returns false when the waiter has
// given up; a slot that was taken for it is then given back.
func (h *holder) settle(w *waiter, rec *record, reason verdict.Reason) bool {
	h.waiting.Add(-1)
	if w.settle.CompareAndSwap(false, true) {
		w.result <- result{rec, reason}
		return true
	}
	if rec != nil && h.c.backends.Load().end(rec.grant.ID) != nil {
		rec.backend.counter.Release()
	}
	return false
}

func (h *holder) offer(w *waiter) {
	if h.view.Load().pool != w.pool {
		h.refresh()
	}
	pub, now := h.view.Load(), h.c.clock.Now()
	if pub.pool == nil || pub.pool.Out || len(pub.view.Servers) == 0 {
		h.settle(w, nil, verdict.ReasonNoBackend)
		return
	}
	if h.queue.Len() == 0 && h.lease.Valid(now) {
		if rec := h.take(pub, &w.ask, now, w.from); rec != nil {
			h.settle(w, rec, verdict.ReasonNone)
			return
		}
	}
	displaced, refusal := h.queue.Offer(&w.item, now, pub.view.Slots)
	if displaced != nil {
		h.settle(displaced.Ref.(*waiter), nil, verdict.ReasonDisplaced)
	}
	switch refusal {
	case balance.Full:
		h.settle(w, nil, verdict.ReasonQueueFull)
	case balance.WontFinish:
		h.settle(w, nil, verdict.ReasonWontFinish)
	}
}

// serve grants free slots to waiting requests and refuses those out of time.
func (h *holder) serve(now clock.Time) {
	pub := h.view.Load()
	h.queue.Serve(now, func(it *balance.Item) bool {
		w := it.Ref.(*waiter)
		if !h.lease.Valid(now) || h.sealed.Load() {
			h.settle(w, nil, verdict.ReasonNoLease)
			return true
		}
		rec := h.take(pub, &w.ask, now, w.from)
		if rec != nil {
			h.queue.Granted(it, now)
			h.settle(w, rec, verdict.ReasonNone)
		}
		return rec != nil
	}, func(it *balance.Item) { h.settle(it.Ref.(*waiter), nil, verdict.ReasonOverload) })
}

func (h *holder) report(r report) {
	if r.held > 0 {
		h.queue.Held(r.held)
	}
	h.pool.Record(r.backend.key, r.o, h.c.clock.Now())
}

// publish publishes the pool's view with the servers it stands for.
func (h *holder) publish() {
	old, view := h.view.Load(), h.pool.View()
	h.view.Store(&published{pool: old.pool, view: view, median: h.pool.Median(), servers: old.servers, backends: old.backends})
}
