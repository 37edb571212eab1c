// Package pools owns the limits, counts and queues of the pools whose lease
// this entry host holds, and grants slots on their backend servers to requests
// of all entry hosts. For other pools it asks the lease holder, or grants from
// the reduced limit when no holder is known.
package pools

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/balance"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Config are the parts a Controller works with.
type Config struct {
	Clock     clock.Clock
	Store     *state.Store
	Caller    peer.Caller       // nil: no other entry hosts
	Gossip    peer.Gossip       // nil: load is not spread
	Transport filter.Transport  // for probes; nil: no probes
	Counters  *metrics.Counters // nil: counted but not published
	Log       *zap.Logger       // nil: no log
	Ordering  balance.Ordering  // queue order; nil: by route priority
}

// Controller grants slots. It implements filter.Admitter and lease.Handover.
type Controller struct {
	clock     clock.Clock
	store     *state.Store
	caller    peer.Caller
	gossip    peer.Gossip
	transport filter.Transport
	log       *zap.Logger
	ordering  balance.Ordering
	count     counts

	backends atomic.Pointer[registry]
	holders  atomic.Pointer[map[manifest.PoolID]*holder]
	news     atomic.Pointer[map[manifest.PoolID]*poolNews]
	reduced  atomic.Pointer[reducedTable]
	senders  atomic.Pointer[map[string]*sender]
	sequence atomic.Uint64 // of grants

	adopted  atomic.Pointer[map[manifest.PoolID]adoption]
	contacts atomic.Pointer[map[uint64]*atomic.Int64] // clock.Time of the last message, by incarnation of an asker
	manifest *manifest.Manifest                       // last one applied; Run only
	listed   []string                                 // last list applied; Run only
	ready    chan struct{}                            // closed after the first sync
	restart  chan struct{}                            // a holder broke
	wg       conc.WaitGroup
}

// New returns a controller. Register, if there are other entry hosts, and Run
// come next.
func New(cfg Config) *Controller {
	if cfg.Counters == nil {
		cfg.Counters = metrics.New()
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Ordering == nil {
		cfg.Ordering = balance.Strict{}
	}
	c := &Controller{
		clock: cfg.Clock, store: cfg.Store, caller: cfg.Caller, gossip: cfg.Gossip,
		transport: cfg.Transport, log: cfg.Log.Named("pools"), ordering: cfg.Ordering,
		count: newCounts(cfg.Counters), ready: make(chan struct{}), restart: make(chan struct{}, 1),
	}
	c.backends.Store(&registry{byKey: map[string]*backend{}})
	c.holders.Store(&map[manifest.PoolID]*holder{})
	c.news.Store(&map[manifest.PoolID]*poolNews{})
	c.reduced.Store(&reducedTable{})
	c.senders.Store(&map[string]*sender{})
	c.adopted.Store(&map[manifest.PoolID]adoption{})
	c.contacts.Store(&map[uint64]*atomic.Int64{})
	if c.gossip != nil {
		c.gossip.Handle(c.heard)
	}
	return c
}

// Register adds the receivers of Pool.Acquire and Pool.Done.
func (c *Controller) Register(s *peer.Server) error {
	return s.Register("Pool", &Receiver{c})
}

// Run follows manifest, leases and members until ctx ends. It must run for as
// long as requests are served; in-flight grants can be released after it ended.
func (c *Controller) Run(ctx context.Context) {
	defer c.wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for first := true; ; first = false {
		changed := c.store.Changed()
		c.sync(ctx)
		if first {
			close(c.ready)
		}
		select {
		case <-changed:
		case <-c.restart:
		case <-ctx.Done():
			return
		}
	}
}

// Ready returns a channel that is closed once Run has applied the snapshot it
// started with.
func (c *Controller) Ready() <-chan struct{} { return c.ready }

// sync applies the current snapshot.
func (c *Controller) sync(ctx context.Context) {
	snap := c.store.Load()
	if m := snap.Manifest; m != nil && (m != c.manifest || !equal(c.listed, snap.Members.Listed)) {
		if m != c.manifest {
			c.prune(m)
			c.publishPools(m)
		}
		c.manifest, c.listed = m, snap.Members.Listed
		c.buildReduced(m, snap.Members)
	}
	c.syncHolders(ctx, snap)
	c.syncSenders(ctx, snap)
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// publishPools publishes a load pointer for each pool of the manifest.
func (c *Controller) publishPools(m *manifest.Manifest) {
	old := *c.news.Load()
	next := make(map[manifest.PoolID]*poolNews, len(m.Pools))
	loads := make(map[manifest.PoolID]*atomic.Pointer[state.PoolLoad], len(m.Pools))
	for id := range m.Pools {
		n := old[id]
		if n == nil {
			n = &poolNews{}
		}
		next[id], loads[id] = n, &n.load
	}
	c.news.Store(&next)
	c.store.Update(func(s *state.Snapshot) { s.Pools = &state.Pools{Load: loads} })
}

// syncHolders starts and stops holders as leases come and go.
func (c *Controller) syncHolders(ctx context.Context, snap *state.Snapshot) {
	old := *c.holders.Load()
	next := make(map[manifest.PoolID]*holder, len(snap.Leases.Held))
	for id, held := range snap.Leases.Held {
		h := old[id]
		if h == nil || h.lease != held || h.broken.Load() {
			h = newHolder(c, id, held)
			runCtx, cancel := context.WithCancel(ctx)
			h.cancel = cancel
			c.wg.Go(func() { c.runHolder(runCtx, h) })
		}
		next[id] = h
	}
	// Publish first, so that no request finds a holder that was stopped.
	c.holders.Store(&next)
	for id, h := range old {
		if next[id] != h {
			h.cancel()
		}
	}
	for _, h := range next {
		h.poke()
	}
}

// runHolder runs h. A panic would leave the pool without a goroutine while its
// lease is renewed, so the pool is started over with cold servers.
func (c *Controller) runHolder(ctx context.Context, h *holder) {
	p := panics.Try(func() { h.run(ctx) })
	if p == nil {
		return
	}
	c.count.panics.Add(1)
	c.log.Error("The holder of a pool panicked.", zap.Any("pool", h.id), zap.Error(p.AsError()))
	h.stop()
	h.broken.Store(true)
	signal(c.restart)
}

// Acquire implements filter.Admitter.
func (c *Controller) Acquire(ctx context.Context, pool *manifest.Pool, ask filter.Ask) (*filter.Grant, error) {
	snap, now := c.store.Load(), c.clock.Now()
	cur, err := c.eligible(snap, pool.ID)
	if err != nil {
		return nil, err
	}
	if held := snap.Leases.Held[pool.ID]; held != nil && held.Valid(now) {
		if h := (*c.holders.Load())[pool.ID]; h != nil {
			rec, refusal := h.acquire(ctx, cur, ask, now, nil)
			if rec == nil {
				return nil, verdict.New(verdict.NotRun, refusal, nil)
			}
			return &rec.grant, nil
		}
	} else if name := snap.Leases.Holders[pool.ID]; name != "" && name != snap.Members.Self.Name {
		if g, err, asked := c.acquireRemote(ctx, snap, name, cur, ask, now); asked {
			return g, err
		}
	}
	return c.acquireReduced(cur, now)
}

// eligible returns the pool of the manifest in force, which may be newer than
// the one the request started with.
func (c *Controller) eligible(snap *state.Snapshot, id manifest.PoolID) (*manifest.Pool, error) {
	if snap.Manifest != nil {
		if cur := snap.Manifest.Pools[id]; cur != nil && !cur.Out {
			return cur, nil
		}
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonNoBackend, nil)
}

// Release implements filter.Admitter.
func (c *Controller) Release(g *filter.Grant, r filter.Report) {
	c.learn(g.Server, r)
	switch {
	case g.ID == 0:
		c.releaseReduced(g, r)
	case g.Holder == c.store.Load().Members.Self.Name:
		c.done(g.ID, r)
	default:
		c.sendDone(g, r)
	}
}

// done ends a grant of this process. It returns false when the grant is not
// known, because it was released or expired before.
func (c *Controller) done(id uint64, r filter.Report) bool {
	rec := c.backends.Load().end(id)
	if rec == nil {
		return false
	}
	own := rec.backend.counter.Inflight()
	if mayStillRun(r) {
		time.AfterFunc(cancelNotice, func() { rec.holder.free(rec.backend) })
	} else {
		rec.backend.counter.Release()
	}
	rec.holder.observe(rec.backend, observation(r, own), c.clock.Now().Sub(rec.at))
	return true
}

// mayStillRun reports whether the backend server may still run the request
// after the asker closed its connection.
func mayStillRun(r filter.Report) bool {
	return r.Verdict == verdict.MayHaveRun && !r.Crashed
}

// observation maps what the asker reports to what the pool learns from it.
func observation(r filter.Report, own int) balance.Observation {
	o := balance.Observation{
		ServiceTime: r.ServiceTime, Instance: r.Instance,
		Load: balance.Report{Inflight: r.Inflight, Own: own},
	}
	switch {
	case r.Crashed:
		o.Kind = balance.Crash
	case r.Reason == verdict.ReasonShed:
		o.Kind = balance.Shed
	case r.Reason == verdict.ReasonConnectFailed, r.Reason == verdict.ReasonWriteFailed:
		o.Kind = balance.Failure
	case r.Verdict == verdict.NotRun, r.Reason == verdict.ReasonCallerGone:
		o.Kind = balance.Unused
	case r.Failed:
		o.Kind = balance.Failure
	default:
		o.Kind = balance.Success
	}
	return o
}

// tick is the interval of the housekeeping of a held pool: expiry of grants,
// requests that are overdue, and published load.
const tick = 50 * time.Millisecond
