package pools

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/lease"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

const (
	// unreachableFor is how long a holder that did not answer is not asked again.
	unreachableFor = 200 * time.Millisecond
	// doneTimeout bounds one Pool.Done call. Its loss costs the slots until the run limit.
	doneTimeout = time.Second
	maxDone     = 4096 // queued Done messages per holder
	maxBatch    = 256  // Done messages in one call
	// remoteWait bounds the time in a queue for another entry host, which gives
	// up after filter.GrantStart. The rest is for the way there and back.
	remoteWait = filter.GrantStart / 2
	// askAtLeast is how long an answer is waited for, also when the caller's
	// deadline is sooner: five round trips between data centres of a region.
	askAtLeast = 15 * time.Millisecond
)

// sender reports ended grants to one other holder. Its run goroutine sends
// what has come together while the call before was under way.
type sender struct {
	name        string
	queue       chan wire.GrantDone
	cancel      context.CancelFunc
	unreachable atomic.Int64 // clock.Time until which the holder is not asked
	silent      atomic.Int64 // clock.Time of the first call since the last answer that was overdue; 0: none
	gone        atomic.Bool  // the last connection was refused
}

// mayHold reports whether a holder that did not answer may still grant slots: a
// paused or slow one keeps its lease for up to a term. The reduced limit would
// come on top of what it grants.
func (s *sender) mayHold(m *state.Member, now clock.Time) bool {
	since := s.silent.Load()
	return !s.gone.Load() && m.Alive && (since == 0 || now.Sub(clock.Time(since)) < lease.Term)
}

// syncSenders keeps a sender for each other entry host that holds a lease.
// Senders of hosts that are still alive stay, for grants that are in flight.
func (c *Controller) syncSenders(ctx context.Context, snap *state.Snapshot) {
	if c.caller == nil {
		return
	}
	old := *c.senders.Load()
	next := make(map[string]*sender, len(old))
	for name, s := range old {
		if snap.Members.ByName[name] != nil {
			next[name] = s
		}
	}
	for _, name := range snap.Leases.Holders {
		if name == "" || name == snap.Members.Self.Name || next[name] != nil || snap.Members.ByName[name] == nil {
			continue
		}
		s := &sender{name: name, queue: make(chan wire.GrantDone, maxDone)}
		runCtx, cancel := context.WithCancel(ctx)
		s.cancel = cancel
		c.wg.Go(func() { c.runSender(runCtx, s) })
		next[name] = s
	}
	c.senders.Store(&next)
	for name, s := range old {
		if next[name] == nil {
			s.cancel()
		}
	}
}

// acquireRemote asks the holder of the lease. asked is false when the holder is
// gone or lost the lease, so that the reduced limit applies.
func (c *Controller) acquireRemote(ctx context.Context, snap *state.Snapshot, name string, pool *manifest.Pool, ask filter.Ask, now clock.Time) (*filter.Grant, error, bool) {
	s, member := (*c.senders.Load())[name], snap.Members.ByName[name]
	if c.caller == nil || s == nil || member == nil {
		return nil, nil, false
	}
	if int64(now) < s.unreachable.Load() {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonGrantLost, nil), s.mayHold(member, now)
	}
	// A deadline below a round trip says nothing about the holder.
	timeout := min(max(ask.Remaining, askAtLeast), filter.GrantStart)
	// A caller that goes away does not end the call: the reply may hold a grant
	// that must be given back.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	token := c.sequence.Add(1)
	req := &wire.AcquireRequest{
		Header: c.header(snap), Pool: pool.ID, Route: ask.Route, Priority: ask.Priority, Idempotent: ask.Idempotent,
		RemainingMicros: ask.Remaining.Microseconds(), RunLimitMillis: ask.RunLimit.Milliseconds(),
		Avoid: ask.Avoid, WaitMicros: ask.Wait.Microseconds(), Spill: ask.Spill, Token: token,
	}
	reply := &wire.AcquireReply{}
	err := c.caller.Call(callCtx, peer.Data, member.Address, "Pool.Acquire", req, reply)
	switch {
	case err == nil:
		s.silent.Store(0)
		s.gone.Store(false)
		s.unreachable.Store(0) // a call beside it may have been overdue
	case errors.Is(err, peer.ErrNotSent):
		s.gone.Store(callCtx.Err() == nil)
		if callCtx.Err() != nil { // the dial was overdue, not refused
			s.silent.CompareAndSwap(0, max(int64(now), 1))
		}
		s.unreachable.Store(int64(now.Add(unreachableFor)))
		return nil, verdict.New(verdict.NotRun, verdict.ReasonGrantLost, err), s.mayHold(member, now)
	default:
		s.silent.CompareAndSwap(0, max(int64(now), 1))
		s.unreachable.Store(int64(c.clock.Now().Add(unreachableFor)))
		c.queueDone(s, wire.GrantDone{Pool: pool.ID, Token: token})
		return nil, verdict.New(verdict.NotRun, verdict.ReasonGrantLost, err), true
	}
	if reply.Lapsed && (reply.Holder == "" || reply.Holder == name) {
		return nil, nil, false // nobody is known to hold the lease
	}
	if reply.Load.Slots > 0 {
		c.note(reply.Load)
	}
	g, err := c.granted(name, pool, reply, now)
	if g != nil && ctx.Err() != nil {
		c.sendDone(g, filter.Report{Verdict: verdict.NotRun, Reason: verdict.ReasonCallerGone, Inflight: -1})
		return nil, verdict.New(verdict.NotRun, verdict.ReasonCallerGone, nil), true
	}
	return g, err, true
}

// granted turns a reply into a grant, if the server is still eligible here.
func (c *Controller) granted(name string, pool *manifest.Pool, reply *wire.AcquireReply, asked clock.Time) (*filter.Grant, error) {
	if !reply.Granted {
		reason, ok := verdict.ParseReason(reply.ReasonName)
		if !ok || reason == verdict.ReasonNone {
			reason = verdict.ReasonOverload
		}
		return nil, verdict.New(verdict.NotRun, reason, nil)
	}
	g := &filter.Grant{ID: reply.GrantID, Pool: pool, Holder: name, StartBy: asked.Add(filter.GrantStart)}
	if cur, err := c.eligible(c.store.Load(), pool.ID); err == nil {
		for _, b := range cur.Servers {
			if b.Name == reply.Server && !b.Leaving {
				g.Server, g.Pool = b, cur
				c.count.remote.Add(1)
				return g, nil
			}
		}
	}
	g.Server = &manifest.BackendServer{Name: reply.Server}
	c.sendDone(g, filter.Report{Verdict: verdict.NotRun, Reason: verdict.ReasonNoBackend, Inflight: -1})
	return nil, verdict.New(verdict.NotRun, verdict.ReasonNoBackend, nil)
}

func (c *Controller) header(snap *state.Snapshot) wire.Header {
	h := wire.Header{Version: wire.Version, From: snap.Members.Self.Name, Incarnation: snap.Members.Self.Incarnation}
	if snap.Manifest != nil {
		h.Revision = snap.Manifest.File.Revision
	}
	return h
}

// sendDone queues the end of a grant for its holder, or drops and counts it;
// the holder then frees the slot at the run limit.
func (c *Controller) sendDone(g *filter.Grant, r filter.Report) {
	s := (*c.senders.Load())[g.Holder]
	if s == nil {
		c.count.doneDropped.Add(1)
		return
	}
	c.queueDone(s, wire.GrantDone{
		Pool: g.Pool.ID, GrantID: g.ID, Verdict: uint8(r.Verdict), ReasonName: r.Reason.String(),
		ServiceTimeMicros: r.ServiceTime.Microseconds(), Failed: r.Failed, Crashed: r.Crashed,
		Instance: r.Instance, Inflight: r.Inflight,
	})
}

func (c *Controller) queueDone(s *sender, d wire.GrantDone) {
	select {
	case s.queue <- d:
	default:
		c.count.doneDropped.Add(1)
	}
}

func (c *Controller) runSender(ctx context.Context, s *sender) {
	for {
		select {
		case first := <-s.queue:
			c.flush(s, first)
		case <-ctx.Done():
			select {
			case first := <-s.queue: // the last batch
				c.flush(s, first)
			default:
			}
			return
		}
	}
}

// flush sends first and what else is queued. One retry covers a connection
// that the peer closed while it was idle.
func (c *Controller) flush(s *sender, first wire.GrantDone) {
	batch := []wire.GrantDone{first}
	for len(batch) < maxBatch && len(s.queue) > 0 {
		batch = append(batch, <-s.queue)
	}
	snap := c.store.Load()
	member := snap.Members.ByName[s.name]
	if member == nil {
		c.count.doneLost.Add(int64(len(batch)))
		return
	}
	req := &wire.DoneRequest{Header: c.header(snap), Done: batch}
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
		err := c.caller.Call(ctx, peer.Data, member.Address, "Pool.Done", req, &wire.DoneReply{})
		cancel()
		if err == nil {
			return
		}
	}
	c.count.doneLost.Add(int64(len(batch)))
}

// cancel ends the grant of a request whose reply was lost. Requests are not in
// the queue any more when an asker gives up on them, so the grants in flight
// are all there is to look at.
func (c *Controller) cancel(pool manifest.PoolID, from asker) {
	h := (*c.holders.Load())[pool]
	if h == nil || from.token == 0 {
		return
	}
	for _, b := range h.view.Load().backends {
		b.each(func(rec *record) {
			if rec.remote && rec.token == from.token && rec.asker == from.incarnation {
				c.done(rec.grant.ID, filter.Report{Verdict: verdict.NotRun, Reason: verdict.ReasonGrantLost, Inflight: -1})
			}
		})
	}
}

// Receiver answers the Pool messages of other entry hosts.
type Receiver struct{ c *Controller }

// Acquire grants a slot of a pool held here, or refuses.
func (r *Receiver) Acquire(req *wire.AcquireRequest, reply *wire.AcquireReply) error {
	c := r.c
	snap, now := c.store.Load(), c.clock.Now()
	c.contact(req.Incarnation, now)
	reply.Header = c.header(snap)
	reply.Load.Pool = req.Pool
	refuse := func(reason verdict.Reason) error {
		reply.ReasonName, reply.Holder = reason.String(), snap.Leases.Holders[req.Pool]
		return nil
	}
	cur, err := c.eligible(snap, req.Pool)
	if err != nil {
		return refuse(verdict.ReasonNoBackend)
	}
	held, h := snap.Leases.Held[req.Pool], (*c.holders.Load())[req.Pool]
	if held == nil || h == nil || !held.Valid(now) {
		reply.Lapsed = held == nil || !held.Valid(now)
		return refuse(verdict.ReasonNoLease)
	}
	rec, refusal := h.acquire(context.Background(), cur, filter.Ask{
		// Another program version may know more priorities.
		Priority: min(max(req.Priority, 0), manifest.MaxPriority),
		Route:    req.Route, Idempotent: req.Idempotent, Avoid: req.Avoid,
		Remaining: time.Duration(req.RemainingMicros) * time.Microsecond,
		RunLimit:  runLimit(req, cur),
		Wait:      time.Duration(req.WaitMicros) * time.Microsecond, Spill: req.Spill,
	}, now, &asker{incarnation: req.Incarnation, token: req.Token})
	reply.Load = h.load()
	if rec == nil {
		return refuse(refusal)
	}
	reply.Granted, reply.GrantID, reply.Server = true, rec.grant.ID, rec.grant.Server.Name
	return nil
}

// runLimit returns how long the asker's request may run. The asker may follow
// another manifest, whose limit counts: a slot that is freed earlier would be
// given out twice.
func runLimit(req *wire.AcquireRequest, cur *manifest.Pool) time.Duration {
	if req.RunLimitMillis <= 0 {
		return time.Duration(cur.Service.RunLimit)
	}
	return time.Duration(min(req.RunLimitMillis, manifest.MaxRunLimit.Milliseconds())) * time.Millisecond
}

// Done ends grants that were given to the sender.
func (r *Receiver) Done(req *wire.DoneRequest, reply *wire.DoneReply) error {
	reply.Header = r.c.header(r.c.store.Load())
	r.c.contact(req.Incarnation, r.c.clock.Now())
	for i := range req.Done {
		d := &req.Done[i]
		if d.GrantID == 0 {
			r.c.cancel(d.Pool, asker{incarnation: req.Incarnation, token: d.Token})
			continue
		}
		reason, _ := verdict.ParseReason(d.ReasonName)
		r.c.done(d.GrantID, filter.Report{
			Verdict: verdict.Verdict(d.Verdict), Reason: reason,
			ServiceTime: time.Duration(d.ServiceTimeMicros) * time.Microsecond,
			Failed:      d.Failed, Crashed: d.Crashed, Instance: d.Instance, Inflight: d.Inflight,
		})
	}
	return nil
}
