// Package crashes owns the suspects of the snapshot on hosts whose backend
// servers are measured. A connection that was reset while a request ran tells
// little, since servers also reset connections when they are full: the request
// counts as the cause only when the server is found dead shortly afterwards.
package crashes

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/poison"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

const (
	// inboxLength bounds resets that wait; more are dropped and counted.
	inboxLength = 256
	// period is how often witnessed servers are looked at.
	period = 100 * time.Millisecond
	// confirmWithin is how long after the reset the server must be found dead.
	// Two measurements and a beat take under half a second.
	confirmWithin = 1500 * time.Millisecond
	// tellFor is how long a crash is told in beats, of which single ones get lost.
	tellFor = 3 * time.Second
	// maxTold bounds the crashes told in one beat.
	maxTold = 8
)

// Rules refuse a request after two confirmed deaths for a minute, and do not
// hold one back after a single death: most requests in flight on a dying server
// only stood beside the cause.
func Policy() poison.Policy {
	return poison.Policy{
		BaseRefusalTime: time.Minute, AmbiguousRefusalTime: 10 * time.Second, MaxRefusalTime: 8 * time.Minute,
		SameCrashWindow: 2 * time.Second, Capacity: 1024,
	}
}

// Config holds what the controller needs.
type Config struct {
	Clock    clock.Clock
	Store    *state.Store
	Self     string // address of this host, the origin of its news
	Counters *metrics.Counters
	Log      *zap.Logger
}

type witness struct {
	fingerprint uint64
	server      *state.Server
	at          clock.Time
}

// told is the news that goes into beats.
type told struct {
	news  poison.Update
	until clock.Time
}

// Controller is the only writer of Snapshot.Suspects. It implements
// filter.SuspectReporter.
type Controller struct {
	cfg   Config
	log   *zap.Logger
	inbox chan func()
	news  atomic.Pointer[[]told] // immutable

	table   *poison.Table // used by Run's goroutine only
	waiting []witness

	dropped, confirmed *expvar.Int
}

// New returns a controller.
func New(cfg Config) *Controller {
	c := &Controller{
		cfg: cfg, log: cfg.Log.Named("crashes"), inbox: make(chan func(), inboxLength),
		table:   poison.New(Policy(), cfg.Self, uint64(time.Now().UnixNano())),
		dropped: cfg.Counters.Int("crashes.dropped"), confirmed: cfg.Counters.Int("crashes.confirmed"),
	}
	c.news.Store(&[]told{})
	return c
}

func (c *Controller) offer(f func()) {
	select {
	case c.inbox <- f:
	default:
		c.dropped.Add(1)
	}
}

// Crashed implements filter.SuspectReporter. Whether the request is repeated is
// not decided here.
func (c *Controller) Crashed(_ context.Context, fingerprint uint64, server string, _ bool) bool {
	w := witness{fingerprint, c.cfg.Store.Load().Servers.ByName[server], c.cfg.Clock.Now()}
	if w.server != nil {
		c.offer(func() { c.waiting = append(c.waiting, w) })
	}
	return false
}

// Succeeded implements filter.SuspectReporter.
func (c *Controller) Succeeded(fingerprint uint64) {
	c.offer(func() {
		if len(c.table.Succeeded(c.cfg.Clock.Now(), fingerprint)) > 0 {
			c.publish()
		}
	})
}

// Run confirms crashes until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		var tick <-chan time.Time
		if len(c.waiting) > 0 || c.table.Len() > 0 || len(*c.news.Load()) > 0 {
			tick = ticker.C // nothing to look at costs no wake-up
		}
		select {
		case <-ctx.Done():
			return
		case f := <-c.inbox:
			f()
		case <-tick:
			c.look()
		}
	}
}

// look confirms the crashes of servers that are dead by now.
func (c *Controller) look() {
	now := c.cfg.Clock.Now()
	changed := c.table.Expire(now)
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		switch {
		case c.dead(w, now):
			c.confirm(w, now)
			changed = true
		case now.Sub(w.at) < confirmWithin:
			kept = append(kept, w)
		}
	}
	c.waiting = kept
	var news []told
	for _, t := range *c.news.Load() {
		if now.Before(t.until) {
			news = append(news, t)
		}
	}
	c.news.Store(&news)
	if changed {
		c.publish()
	}
}

// dead reports whether the server ended after the reset: it does not answer, it
// refused a connection, or another process registered under its name.
func (c *Controller) dead(w witness, now clock.Time) bool {
	s := c.cfg.Store.Load().Servers.ByName[w.server.Name]
	if s == nil || s.Born != w.server.Born || s.Load.Suspended(now) {
		return true
	}
	r := s.Load.Reading()
	return r != nil && r.Silent && w.at.Before(r.At)
}

func (c *Controller) confirm(w witness, now clock.Time) {
	n, _ := c.table.Crashed(now, w.fingerprint, w.server.Name, false)
	c.confirmed.Add(1)
	c.log.Warn("A backend server died while it ran a request.",
		zap.Uint64("fingerprint", w.fingerprint), zap.String("server", w.server.Name), zap.Int("crashes", n.Crashes))
	news := append([]told{}, *c.news.Load()...)
	news = append(news, told{n, now.Add(tellFor)})
	c.news.Store(&news)
}

func (c *Controller) publish() {
	next := &state.PoisonRequests{ByFingerprint: map[uint64]state.PoisonRequest{}}
	c.table.PoisonRequests(func(fp uint64, e *poison.Entry) {
		next.ByFingerprint[fp] = state.PoisonRequest{Crashes: e.Crashes, Refuse: e.Crashes > 1, Expires: e.RefuseUntil}
	})
	c.cfg.Store.Update(func(s *state.Snapshot) { s.PoisonRequests = next })
}

// Fill implements mesh.Part.
func (c *Controller) AddToHeartbeat(_ clock.Time, b *wire.Heartbeat) {
	for _, t := range *c.news.Load() {
		if len(b.Crashes) == maxTold {
			return
		}
		b.Crashes = append(b.Crashes, wire.Crash{
			Fingerprint: t.news.Fingerprint, Server: t.news.Server, Origin: t.news.Origin,
			Sequence: t.news.Sequence, Count: t.news.Crashes,
		})
	}
}

// FillDigest implements mesh.Part.
func (c *Controller) AddToDigest(now clock.Time, b *wire.Heartbeat) { c.AddToHeartbeat(now, b) }

// Heard implements mesh.Part. News of other hosts is told on, so that it crosses
// data centres with the digests of whichever host sends them.
func (c *Controller) Received(_ clock.Time, b *wire.Heartbeat) {
	for _, w := range b.Crashes {
		n := poison.Update{Fingerprint: w.Fingerprint, Server: w.Server, Origin: w.Origin, Sequence: w.Sequence, Crashes: w.Count}
		if n.Origin == c.cfg.Self || c.tells(n) {
			continue
		}
		c.offer(func() {
			now := c.cfg.Clock.Now()
			if !c.table.Apply(now, n) {
				return
			}
			news := append([]told{}, *c.news.Load()...)
			news = append(news, told{n, now.Add(tellFor)})
			c.news.Store(&news)
			c.publish()
		})
	}
}

// tells reports whether the news is told already.
func (c *Controller) tells(n poison.Update) bool {
	for _, t := range *c.news.Load() {
		if t.news.Fingerprint == n.Fingerprint && t.news.Origin == n.Origin && t.news.Sequence >= n.Sequence {
			return true
		}
	}
	return false
}
