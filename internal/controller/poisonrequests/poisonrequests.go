// Package poisonrequests owns the suspects of the snapshot: requests that were in
// flight on backend servers that died. It hears of crashes from the poison
// filter and of other entry hosts' suspects by notice and by gossip.
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
	// inboxLength bounds events that wait. A lost data centre gives some hundred
	// crashes at once.
	inboxLength = 1024
	// batchLength bounds the events that are handled before the snapshot is
	// published.
	batchLength = 128
	// askWait is how long the repetition of a request waits for other entry
	// hosts: ten times the round trip between data centres of a region, with
	// room for a busy host.
	askWait = 50 * time.Millisecond
	// claimWait also covers the way through the inbox.
	claimWait = askWait + 10*time.Millisecond
	// repeatAfter is when a notice without an answer is sent once more. With one
	// in 20 calls lost, a single notice left 1 of 200 trial fleets at 4 crashes.
	repeatAfter = askWait / 2
	// callLimit bounds a notice. It is longer than askWait because an overdue
	// call closes the connection that heartbeats use as well.
	callLimit = 500 * time.Millisecond
)

// Config holds what the controller needs.
type Config struct {
	Clock    clock.Clock
	Store    *state.Store
	Gossip   peer.Gossip // nil: no other entry hosts
	Caller   peer.Caller // nil: no other entry hosts
	Counters *metrics.Counters
	Log      *zap.Logger
	Policy   poison.Policy // zero: poison.DefaultRules
}

// Controller is the only writer of Snapshot.Suspects. It implements
// filter.SuspectReporter.
type Controller struct {
	cfg     Config
	log     *zap.Logger
	table   *poison.Table // used by Run's goroutine only
	inbox   chan event
	notices bucket
	wg      conc.WaitGroup

	crashes, cleared, granted, denied, dropped, unannounced, entries *expvar.Int
}

// event is one thing to handle. Exactly one of crashed, succeeded and news is set.
type event struct {
	fingerprint uint64
	crashed     bool
	succeeded   bool
	server      string
	claim       chan bool // gets one value if the request may be sent once more; nil: no repetition wanted
	news        []poison.Update
	known       chan []poison.Update // gets what was known before the news; may be nil
}

// New returns a controller and subscribes it to gossip.
func New(cfg Config) *Controller {
	if cfg.Policy == (poison.Policy{}) {
		cfg.Policy = poison.DefaultPolicy()
	}
	// The wall clock starts the sequence, so that it grows over restarts.
	first := uint64(time.Now().UnixNano())
	c := &Controller{
		cfg: cfg, log: cfg.Log.Named("suspects"), inbox: make(chan event, inboxLength),
		table:   poison.New(cfg.Policy, cfg.Store.Load().Members.Self.Name, first),
		notices: bucket{tokens: noticeBurst},
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
			c.offer(event{news: fromWire([]wire.PoisonUpdate{*u.Suspect})})
		}
	})
	return c
}

// Crashed implements filter.SuspectReporter.
func (c *Controller) Crashed(ctx context.Context, fingerprint uint64, server string, wantRetry bool) bool {
	e := event{crashed: true, fingerprint: fingerprint, server: server}
	if wantRetry {
		e.claim = make(chan bool, 1)
	}
	if !c.offer(e) || !wantRetry {
		return false
	}
	t := time.NewTimer(claimWait)
	defer t.Stop()
	select {
	case ok := <-e.claim:
		return ok
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// Succeeded implements filter.SuspectReporter.
func (c *Controller) Succeeded(fingerprint uint64) {
	c.offer(event{succeeded: true, fingerprint: fingerprint})
}

// offer queues an event, or drops and counts it when the queue is full.
func (c *Controller) offer(e event) bool {
	select {
	case c.inbox <- e:
		return true
	default:
		c.dropped.Add(1)
		return false
	}
}

// Run handles events until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	defer c.wg.Wait()
	expiry := time.NewTimer(time.Hour)
	defer expiry.Stop()
	for {
		b := &batch{}
		select {
		case <-ctx.Done():
			return
		case <-expiry.C:
			b.changed = c.table.Expire(c.cfg.Clock.Now())
		case e := <-c.inbox:
			c.handle(e, b)
			c.drain(b)
		}
		if b.changed {
			c.publish()
		}
		b.reply()
		if len(b.news) > 0 {
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
	news    []poison.Update // of this host, to be spread
	claims  map[uint64]chan bool
	replies []func()
}

// reply answers other hosts after the snapshot was published.
func (b *batch) reply() {
	for _, f := range b.replies {
		f()
	}
}

func (c *Controller) drain(b *batch) {
	for range batchLength {
		select {
		case e := <-c.inbox:
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
		if news := c.table.Succeeded(now, e.fingerprint); len(news) > 0 {
			c.cleared.Add(1)
			b.news, b.changed = append(b.news, news...), true
		}
	default:
		var known []poison.Update
		for _, n := range e.news {
			if e.known != nil && len(known) < maxNews {
				known = append(known, c.table.Known(now, n.Fingerprint)...)
			}
			b.changed = c.table.Apply(now, n) || b.changed
		}
		if e.known != nil {
			b.replies = append(b.replies, func() { e.known <- known })
		}
	}
}

func (c *Controller) handleCrash(now clock.Time, e event, b *batch) {
	n, retry := c.table.Crashed(now, e.fingerprint, e.server, e.claim != nil)
	c.crashes.Add(1)
	c.log.Warn("A backend server died while it ran a request.",
		zap.String("fingerprint", hex(e.fingerprint)), zap.String("server", e.server), zap.Int("crashes", n.Crashes))
	b.news, b.changed = append(b.news, n), true
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

// publish puts the suspects into the snapshot.
func (c *Controller) publish() {
	next := &state.PoisonRequests{ByFingerprint: map[uint64]state.PoisonRequest{}}
	c.table.PoisonRequests(func(fp uint64, e *poison.Entry) {
		next.ByFingerprint[fp] = state.PoisonRequest{Crashes: e.Crashes, Refuse: true, Expires: e.RefuseUntil}
	})
	c.entries.Set(int64(c.table.Len()))
	c.cfg.Store.Update(func(s *state.Snapshot) { s.PoisonRequests = next })
}
