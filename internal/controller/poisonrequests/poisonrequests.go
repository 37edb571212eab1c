// Package poisonrequests owns the poison requests of the snapshot: requests that
// were in flight on backend servers that crashed. The poison filter reports crashes
// and successes to it; other entry hosts report their poison requests by notice and
// by gossip. It decides whether a request may be retried after a crash.
package poisonrequests

import (
	"context"
	"expvar"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/poison"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

const (
	// eventQueueLength is the maximum number of queued events. The loss of a data
	// centre causes some hundred crashes at once.
	eventQueueLength = 1024
	// maxBatch limits the number of queued events that are handled before the
	// snapshot is published.
	maxBatch = 128
	// replyTimeout is how long the retry of a request waits for the replies of
	// other entry hosts: ten times the round-trip time between data centres of a
	// region, with a margin for a busy host.
	replyTimeout = 50 * time.Millisecond
	// claimTimeout also covers the time in the event queue.
	claimTimeout = replyTimeout + 10*time.Millisecond
	// resendDelay is the time after which a notice without a reply is sent again.
	// With one in 20 calls lost and no second notice, a request crashed 4 servers in
	// 1 of 200 simulated fleets.
	resendDelay = replyTimeout / 2
	// noticeTimeout is the timeout of a notice. It is longer than replyTimeout
	// because a call that times out closes the connection, which heartbeats use as
	// well.
	noticeTimeout = 500 * time.Millisecond
)

// Config holds the dependencies and settings of the controller.
type Config struct {
	Clock    clock.Clock
	Store    *state.Store
	Gossip   peer.Gossip // nil: no other entry hosts
	Caller   peer.Caller // nil: no other entry hosts
	Counters *metrics.Counters
	Log      *zap.Logger
	Policy   poison.Policy // zero: poison.DefaultPolicy
}

// Controller is the only writer of Snapshot.PoisonRequests. It implements
// filter.PoisonRequestReporter.
type Controller struct {
	cfg     Config
	log     *zap.Logger
	table   *poison.Table // used only by the goroutine of Run
	events  chan event
	notices tokenBucket
	// alive holds the incarnations of the entry hosts that were alive when the members
	// changed last, by name.
	alive map[string]uint64
	wg    conc.WaitGroup

	crashes, cleared, granted, denied, dropped, unannounced, entries *expvar.Int
}

// event is a crash, a success or a set of received updates. Exactly one of crashed,
// succeeded and updates is set.
type event struct {
	fingerprint uint64
	crashed     bool
	succeeded   bool
	server      string
	claim       chan bool // receives whether the request may be retried once; nil: no retry wanted
	updates     []poison.Update
	known       chan []poison.Update // receives what was known before the updates; may be nil
}

// New returns a controller and subscribes it to gossip.
func New(cfg Config) *Controller {
	if cfg.Policy == (poison.Policy{}) {
		cfg.Policy = poison.DefaultPolicy()
	}
	c := &Controller{
		cfg: cfg, log: cfg.Log.Named("suspects"), events: make(chan event, eventQueueLength),
		table:   poison.New(cfg.Policy, origin(&cfg.Store.Load().Members.Self)),
		notices: tokenBucket{tokens: noticeBurst},
	}
	c.crashes, c.cleared = cfg.Counters.Int("suspects.crashes"), cfg.Counters.Int("suspects.cleared")
	c.granted, c.denied = cfg.Counters.Int("suspects.retries_granted"), cfg.Counters.Int("suspects.retries_denied")
	c.dropped, c.unannounced = cfg.Counters.Int("suspects.dropped"), cfg.Counters.Int("suspects.unannounced")
	c.entries = cfg.Counters.Int("suspects.entries")
	if cfg.Gossip == nil {
		return c
	}
	cfg.Gossip.Handle(func(_ string, u wire.Update) {
		if u.Suspect != nil {
			c.enqueue(event{updates: fromWire([]wire.PoisonUpdate{*u.Suspect})})
		}
	})
	return c
}

// origin returns the name of this process in its updates.
func origin(self *state.Member) string { return poison.Origin(self.Name, self.Incarnation) }

// Crashed implements filter.PoisonRequestReporter.
func (c *Controller) Crashed(ctx context.Context, fingerprint uint64, server string, wantRetry bool) bool {
	e := event{crashed: true, fingerprint: fingerprint, server: server}
	if wantRetry {
		e.claim = make(chan bool, 1)
	}
	if !c.enqueue(e) || !wantRetry {
		return false
	}
	t := time.NewTimer(claimTimeout)
	defer t.Stop()
	select {
	case ok := <-e.claim:
		return ok
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// Succeeded implements filter.PoisonRequestReporter.
func (c *Controller) Succeeded(fingerprint uint64) {
	c.enqueue(event{succeeded: true, fingerprint: fingerprint})
}

// enqueue queues an event and returns true. When the queue is full, it drops and
// counts the event and returns false.
func (c *Controller) enqueue(e event) bool {
	select {
	case c.events <- e:
		return true
	default:
		c.dropped.Add(1)
		return false
	}
}

// Run handles events until ctx is cancelled.
func (c *Controller) Run(ctx context.Context) {
	defer c.wg.Wait()
	expiry := time.NewTimer(time.Hour)
	defer expiry.Stop()
	for {
		b := &batch{}
		changed := c.cfg.Store.Changed()
		c.notifyNewMembers(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
			continue
		case <-expiry.C:
			b.changed = c.table.Expire(c.cfg.Clock.Now())
		case e := <-c.events:
			c.handle(e, b)
			c.drain(b)
		}
		if b.changed {
			c.publish()
		}
		b.sendReplies()
		if len(b.updates) > 0 {
			c.announce(ctx, b)
		}
		if at, ok := c.table.NextExpiry(); ok {
			expiry.Reset(max(at.Sub(c.cfg.Clock.Now()), time.Millisecond))
		}
	}
}

// batch is the result of events that were handled together.
type batch struct {
	changed bool
	updates []poison.Update      // of this host, to be announced
	claims  map[uint64]chan bool // retries that the replies of other hosts decide on, by fingerprint
	replies []func()
}

// sendReplies replies to notices of other hosts, after the snapshot was published.
func (b *batch) sendReplies() {
	for _, f := range b.replies {
		f()
	}
}

func (c *Controller) drain(b *batch) {
	for range maxBatch {
		select {
		case e := <-c.events:
			c.handle(e, b)
		default:
			return
		}
	}
}

func (c *Controller) handle(e event, b *batch) {
	now := c.cfg.Clock.Now()
	switch {
	case e.crashed:
		c.handleCrash(now, e, b)
	case e.succeeded:
		if updates := c.table.Succeeded(now, e.fingerprint); len(updates) > 0 {
			c.cleared.Add(1)
			b.updates, b.changed = append(b.updates, updates...), true
		}
	default:
		var known []poison.Update
		for _, u := range e.updates {
			if e.known != nil && len(known) < maxUpdates {
				known = append(known, c.table.Known(now, u.Fingerprint)...)
			}
			b.changed = c.table.Apply(now, u) || b.changed
		}
		if e.known != nil {
			b.replies = append(b.replies, func() { e.known <- known })
		}
	}
}

func (c *Controller) handleCrash(now clock.Time, e event, b *batch) {
	u, retry := c.table.Crashed(now, e.fingerprint, e.server, e.claim != nil)
	c.crashes.Add(1)
	c.log.Warn("A backend server crashed while it ran a request.",
		zap.String("fingerprint", formatFingerprint(e.fingerprint)), zap.String("server", e.server), zap.Int("crashes", u.Crashes))
	b.updates, b.changed = append(b.updates, u), true
	switch {
	case retry:
		if b.claims == nil {
			b.claims = map[uint64]chan bool{}
		}
		b.claims[e.fingerprint] = e.claim
	case e.claim != nil:
		c.denied.Add(1)
		e.claim <- false
	}
}

// publish stores the poison requests in the snapshot.
func (c *Controller) publish() {
	next := &state.PoisonRequests{ByFingerprint: map[uint64]state.PoisonRequest{}}
	c.table.PoisonRequests(func(fp uint64, e *poison.Entry) {
		next.ByFingerprint[fp] = state.PoisonRequest{Crashes: e.Crashes, Refuse: true, Expires: e.RefuseUntil}
	})
	c.entries.Set(int64(c.table.Len()))
	c.cfg.Store.Update(func(s *state.Snapshot) { s.PoisonRequests = next })
}
