// Package crashes owns the poison requests of the snapshot on hosts that confirm
// crashes themselves. Filters report connections that were reset while a request ran;
// the request counts as the cause if the server refuses connections then, or is found
// by probes to have crashed shortly afterwards. Confirmed crashes are sent in
// heartbeats.
package crashes

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/poison"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

const (
	// queueLength bounds the queued reports; more are dropped and counted.
	queueLength = 256
	// checkInterval is the time between two checks of servers whose crash is not
	// confirmed.
	checkInterval = 100 * time.Millisecond
	// confirmTimeout is how long after the reset the server must be found to have
	// crashed. Two probes and a heartbeat take under half a second.
	confirmTimeout = 1500 * time.Millisecond
	// maxConnectionTests bounds the servers to which connections are tried at the same
	// time; the crashes of further ones are confirmed by probes only.
	maxConnectionTests = 16
	// sendDuration is how long a crash is repeated in heartbeats, since single ones
	// get lost.
	sendDuration = 3 * time.Second
	// maxUpdatesPerHeartbeat bounds the recent crashes in one heartbeat. They take
	// turns: all requests in flight on a server that crashes are reported.
	maxUpdatesPerHeartbeat = 8
	// refusalsPerHeartbeat bounds the refused requests that a heartbeat repeats, in
	// turn, for hosts that were restarted or cut off when the crashes were sent. With
	// five heartbeats a second, a host that sends alone repeats ten of them in a
	// second.
	refusalsPerHeartbeat = 2
)

// Policy refuses a request for a minute after two confirmed crashes, and does not
// refuse one after a single crash: most requests in flight on a server that crashes
// are not the cause.
func Policy() poison.Policy {
	return poison.Policy{
		BaseRefusalTime: time.Minute, AmbiguousRefusalTime: 10 * time.Second, MaxRefusalTime: 8 * time.Minute,
		SameCrashWindow: 2 * time.Second, Capacity: 1024,
	}
}

// Config holds the dependencies of a Controller.
type Config struct {
	Clock clock.Clock
	Store *state.Store
	Self  string // names this process in its updates; see poison.Origin
	// RefusesConnections tries a connection to the address and reports whether it was
	// refused, so that no process listens there.
	RefusesConnections func(ctx context.Context, address string) bool
	Flush              func() // sends the next heartbeat now
	Counters           *metrics.Counters
	Log                *zap.Logger
}

// unconfirmedCrash is a connection to server that was reset while a request ran. A
// reset alone is weak evidence, since servers also reset connections when they are
// full.
type unconfirmedCrash struct {
	fingerprint uint64
	server      *state.Server
	at          clock.Time
}

// connectionTest is the result of a connection attempt.
type connectionTest struct {
	server  *state.Server
	refused bool
}

// outgoingUpdate is an update that is sent in heartbeats.
type outgoingUpdate struct {
	update poison.Update
	at     clock.Time // time of the crash
	until  clock.Time // end of sending
}

func newOutgoing(now clock.Time, u poison.Update) outgoingUpdate {
	return outgoingUpdate{update: u, at: now.Add(-u.Age), until: now.Add(sendDuration)}
}

// Controller is the only writer of Snapshot.PoisonRequests. It implements
// filter.PoisonRequestReporter.
type Controller struct {
	cfg      Config
	log      *zap.Logger
	queue    chan func(ctx context.Context)   // executed by Run's goroutine
	tested   chan connectionTest              // holds a result of each test that is in progress
	outgoing atomic.Pointer[[]outgoingUpdate] // immutable
	refusals atomic.Pointer[[]outgoingUpdate] // requests that are refused; immutable

	// Positions in outgoing and refusals; used by the goroutine that calls
	// AddToHeartbeat and AddToDigest.
	nextOutgoing, nextRefusal int

	// Used by Run's goroutine only.
	table       *poison.Table
	unconfirmed []unconfirmedCrash
	testing     map[string]bool // servers to which a connection is being tried, by name
	background  conc.WaitGroup  // connection attempts

	dropped, confirmed, unconfirmedCount, received, deferred *expvar.Int
}

func New(cfg Config) *Controller {
	c := &Controller{
		cfg: cfg, log: cfg.Log.Named("crashes"), queue: make(chan func(context.Context), queueLength), testing: map[string]bool{},
		tested:  make(chan connectionTest, maxConnectionTests),
		table:   poison.New(Policy(), cfg.Self),
		dropped: cfg.Counters.Int("crashes.dropped"), confirmed: cfg.Counters.Int("crashes.confirmed"),
		unconfirmedCount: cfg.Counters.Int("crashes.unconfirmed"), received: cfg.Counters.Int("crashes.received"),
		deferred: cfg.Counters.Int("crashes.deferred"),
	}
	c.outgoing.Store(&[]outgoingUpdate{})
	c.refusals.Store(&[]outgoingUpdate{})
	return c
}

func (c *Controller) enqueue(f func(ctx context.Context)) {
	select {
	case c.queue <- f:
	default:
		c.dropped.Add(1)
	}
}

// Crashed implements filter.PoisonRequestReporter. It never grants a retry: whether
// the request is retried is decided elsewhere.
func (c *Controller) Crashed(_ context.Context, fingerprint uint64, server string, _ bool) bool {
	crash := unconfirmedCrash{fingerprint, c.cfg.Store.Load().Servers.ByName[server], c.cfg.Clock.Now()}
	if crash.server != nil {
		c.enqueue(func(ctx context.Context) {
			c.unconfirmed = append(c.unconfirmed, crash)
			c.testConnection(ctx, crash.server)
		})
	}
	return false
}

// testConnection tries a connection to a server that may have crashed. The probes of
// other hosts find the crash as well, but later, and not while those hosts are
// restarted or cut off.
func (c *Controller) testConnection(ctx context.Context, s *state.Server) {
	if c.testing[s.Name] || len(c.testing) >= maxConnectionTests {
		return
	}
	c.testing[s.Name] = true
	c.background.Go(func() {
		c.tested <- connectionTest{server: s, refused: c.cfg.RefusesConnections(ctx, s.Address)}
	})
}

func (c *Controller) finishTest(t connectionTest) {
	delete(c.testing, t.server.Name)
	if t.refused {
		c.confirmWhere(func(crash unconfirmedCrash) bool {
			return crash.server.Name == t.server.Name && crash.server.Born == t.server.Born
		})
	}
}

// confirmWhere confirms the crashes for which ended returns true.
func (c *Controller) confirmWhere(ended func(unconfirmedCrash) bool) (any bool) {
	now := c.cfg.Clock.Now()
	kept := c.unconfirmed[:0]
	for _, crash := range c.unconfirmed {
		if !ended(crash) {
			kept = append(kept, crash)
			continue
		}
		c.confirm(crash, now)
		any = true
	}
	c.unconfirmed = kept
	if any {
		c.publish()
		c.cfg.Flush()
	}
	return any
}

// Succeeded implements filter.PoisonRequestReporter.
func (c *Controller) Succeeded(fingerprint uint64) {
	c.enqueue(func(context.Context) {
		if len(c.table.Succeeded(c.cfg.Clock.Now(), fingerprint)) > 0 {
			c.publish()
		}
	})
}

// Run confirms crashes until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	defer c.background.Wait()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		var tick <-chan time.Time
		if len(c.unconfirmed) > 0 || c.table.Len() > 0 || len(*c.outgoing.Load()) > 0 {
			tick = ticker.C // no wake-ups while there is nothing to check
		}
		select {
		case <-ctx.Done():
			return
		case f := <-c.queue:
			f(ctx)
		case t := <-c.tested:
			c.finishTest(t)
		case <-tick:
			c.check()
		}
	}
}

// check confirms the crashes of servers that are found to have crashed, and removes
// what has expired.
func (c *Controller) check() {
	now := c.cfg.Clock.Now()
	changed := c.table.Expire(now)
	confirmed := c.confirmWhere(func(crash unconfirmedCrash) bool { return c.serverCrashed(crash, now) })
	kept := c.unconfirmed[:0]
	for _, crash := range c.unconfirmed {
		if now.Sub(crash.at) < confirmTimeout {
			kept = append(kept, crash)
			continue
		}
		c.unconfirmedCount.Add(1)
		c.log.Info("A connection was reset while a request ran, but no crash of the backend server was found. The reset does not count.",
			zap.Uint64("fingerprint", crash.fingerprint), zap.String("server", crash.server.Name))
	}
	c.unconfirmed = kept
	var outgoing []outgoingUpdate
	for _, out := range *c.outgoing.Load() {
		if now.Before(out.until) {
			outgoing = append(outgoing, out)
		}
	}
	c.outgoing.Store(&outgoing)
	if changed && !confirmed {
		c.publish()
	}
}

// serverCrashed reports whether the server ended after the reset: it does not
// respond to probes, it refused a connection, or another process registered under
// its name.
func (c *Controller) serverCrashed(crash unconfirmedCrash, now clock.Time) bool {
	s := c.cfg.Store.Load().Servers.ByName[crash.server.Name]
	if s == nil || s.Born != crash.server.Born || s.Load.Suspended(now) {
		return true
	}
	r := s.Load.Reading()
	return r != nil && r.Silent && crash.at.Before(r.At)
}

func (c *Controller) confirm(crash unconfirmedCrash, now clock.Time) {
	u, _ := c.table.Crashed(now, crash.fingerprint, crash.server.Name, false)
	c.confirmed.Add(1)
	c.log.Warn("A backend server crashed while it ran a request.",
		zap.Uint64("fingerprint", crash.fingerprint), zap.String("server", crash.server.Name), zap.Int("crashes", u.Crashes))
	outgoing := append([]outgoingUpdate{}, *c.outgoing.Load()...)
	outgoing = append(outgoing, newOutgoing(now, u))
	c.outgoing.Store(&outgoing)
}

func (c *Controller) publish() {
	now := c.cfg.Clock.Now()
	refusals := []outgoingUpdate{}
	c.table.Refusals(now, func(u poison.Update, until clock.Time) {
		refusals = append(refusals, outgoingUpdate{update: u, at: now.Add(-u.Age), until: until})
	})
	c.refusals.Store(&refusals)
	next := &state.PoisonRequests{ByFingerprint: map[uint64]state.PoisonRequest{}}
	c.table.PoisonRequests(func(fp uint64, e *poison.Entry) {
		next.ByFingerprint[fp] = state.PoisonRequest{Crashes: e.Crashes, Refuse: e.Crashes > 1, Expires: e.RefuseUntil}
	})
	c.cfg.Store.Update(func(s *state.Snapshot) { s.PoisonRequests = next })
}

// AddToHeartbeat implements mesh.HeartbeatHandler. It adds the crashes of the last
// few seconds, and some of the requests that are refused.
func (c *Controller) AddToHeartbeat(now clock.Time, b *wire.Heartbeat) {
	outgoing, refusals := *c.outgoing.Load(), *c.refusals.Load()
	c.deferred.Add(int64(max(0, len(outgoing)-maxUpdatesPerHeartbeat)))
	for range min(maxUpdatesPerHeartbeat, len(outgoing)) {
		c.nextOutgoing = (c.nextOutgoing + 1) % len(outgoing)
		b.Crashes = append(b.Crashes, toWire(now, &outgoing[c.nextOutgoing]))
	}
	for range min(refusalsPerHeartbeat, len(refusals)) {
		c.nextRefusal = (c.nextRefusal + 1) % len(refusals)
		if out := &refusals[c.nextRefusal]; now.Before(out.until) {
			b.Crashes = append(b.Crashes, toWire(now, out))
		}
	}
}

func toWire(now clock.Time, out *outgoingUpdate) wire.Crash {
	u := &out.update
	return wire.Crash{
		Fingerprint: u.Fingerprint, Server: u.Server, Origin: u.Origin, Sequence: u.Sequence, Count: u.Crashes,
		AgeMillis: uint32(max(0, now.Sub(out.at)) / time.Millisecond),
	}
}

// AddToDigest implements mesh.HeartbeatHandler.
func (c *Controller) AddToDigest(now clock.Time, b *wire.Heartbeat) { c.AddToHeartbeat(now, b) }

// Received implements mesh.HeartbeatHandler. Updates of other hosts are sent on, so
// that they reach other data centres with the digests of whichever host sends them.
func (c *Controller) Received(_ clock.Time, b *wire.Heartbeat) {
	for _, w := range b.Crashes {
		u := poison.Update{Fingerprint: w.Fingerprint, Server: w.Server, Origin: w.Origin, Sequence: w.Sequence, Crashes: w.Count, Age: time.Duration(w.AgeMillis) * time.Millisecond}
		if u.Origin == c.cfg.Self || c.isSending(u) {
			continue
		}
		c.enqueue(func(context.Context) {
			now := c.cfg.Clock.Now()
			if !c.table.Apply(now, u) {
				return
			}
			c.received.Add(1)
			c.log.Info("Another host reported a backend server that crashed while it ran a request.", zap.Uint64("fingerprint", u.Fingerprint),
				zap.String("server", u.Server), zap.String("origin", u.Origin), zap.Int("crashes", u.Crashes), zap.Bool("refused", c.table.Refused(now, u.Fingerprint)))
			outgoing := append([]outgoingUpdate{}, *c.outgoing.Load()...)
			outgoing = append(outgoing, newOutgoing(now, u))
			c.outgoing.Store(&outgoing)
			c.publish()
		})
	}
}

// isSending reports whether the update, or a later one of its origin for the same
// request, is being sent already.
func (c *Controller) isSending(u poison.Update) bool {
	for _, list := range [...]*[]outgoingUpdate{c.outgoing.Load(), c.refusals.Load()} {
		for _, out := range *list {
			if out.update.Fingerprint == u.Fingerprint && out.update.Origin == u.Origin && out.update.Sequence >= u.Sequence {
				return true
			}
		}
	}
	return false
}
