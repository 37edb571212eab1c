// Package feeds owns this host's replica of the items that the platform publishes,
// and derives the manifest and the backend servers of the snapshot from it.
// Package feedhost runs it. One host of each data centre watches the platform; the
// others fetch changes from that host, and watch themselves when the newest
// confirmation of their replica is too old.
package feeds

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/feed"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/state"
)

const (
	// checkInterval is how often Run checks for a due call to the platform and
	// for held removals that take effect.
	checkInterval = 100 * time.Millisecond
	// readTimeout bounds reading the whole content, which takes several pages.
	readTimeout = 3 * time.Second
	// watchMargin is added to the wait of a watch to get its timeout.
	watchMargin = 700 * time.Millisecond
	// pullTimeout bounds one request for changes to another host.
	pullTimeout = 500 * time.Millisecond
	// minRetryBackoff and maxRetryBackoff bound the backoff after a failed call
	// to the platform. A refused call costs as much as any other.
	minRetryBackoff, maxRetryBackoff = 250 * time.Millisecond, 1500 * time.Millisecond
	// changeBatchDelay is the delay after a watch that returned changes. Servers
	// register in groups, and without it each further change would cost every
	// watcher a call.
	changeBatchDelay = 200 * time.Millisecond
	// maxUnusableDelay bounds the delay between reading the content in place of a watch
	// and the next watch. A change must be applied within 2 s all the while.
	maxUnusableDelay = 500 * time.Millisecond
	// initialPeerWait is how long a new process waits for the replica of another
	// host before it reads from the platform. The owner of the feed task does not
	// wait.
	initialPeerWait = 600 * time.Millisecond
)

// Content is the typed content of a replica.
type Content struct {
	Manifest *manifest.Manifest // nil until a configuration is published
	// ManifestRevision is the revision of the item that Manifest was decoded from.
	ManifestRevision uint64
	Servers          map[string]Registration // by item key
	Invalid          map[string]uint64       // revisions of the items that are not valid registrations, by item key
	Out              map[string]bool         // data centres out of service
}

// Registration is one registered backend server.
type Registration struct {
	Name, Address, DataCentre, Service string
	Slots                              int
	Born                               int64         // distinguishes processes that use the same name
	Leaving                            bool          // finishes its requests in flight and gets no new ones
	ColdRemaining                      time.Duration // remaining cold-start time at the time of registration
	Revision                           uint64
}

// Decoder turns a replica into typed content. Items that cannot be decoded are
// logged and yield no backend server. Unchanged parts are taken over from the
// previous content.
type Decoder interface {
	Decode(r *feed.Replica, previous *Content) *Content
}

// Roster provides the view of the known entry hosts.
type Roster interface{ View() *roster.View }

// Config holds the dependencies of a Controller.
type Config struct {
	Clock    clock.Clock
	Store    *state.Store
	Source   feed.Source
	Decoder  Decoder
	Roster   Roster
	Caller   peer.Caller
	PeerPort int    // TCP port of the RPC listener of other hosts
	Flush    func() // sends a heartbeat now
	Counters *metrics.Counters
	Log      *zap.Logger
	Rand     *rand.Rand
}

// Controller is the only writer of Snapshot.Manifest and Snapshot.Servers on
// hosts that are configured by a feed.
type Controller struct {
	cfg  Config
	log  *zap.Logger
	work chan func() // executed by Run's goroutine; when full, work is dropped and counted

	// Accessed by several goroutines.
	changedRevision atomic.Uint64 // of the newest change in the replica
	revision        atomic.Uint64 // the replica is complete up to it
	confirmedAt     atomic.Int64  // clock.Time at which the replica was last known to be complete; 0: never
	respondedAt     atomic.Int64  // clock.Time of the newest known response of the platform to any host; 0: never
	callInFlight    atomic.Bool
	failing         atomic.Bool                     // the newest call of this host failed
	failingHosts    atomic.Pointer[map[string]bool] // addresses of hosts of the data centre whose calls fail; written by Run's goroutine
	wokenByChange   atomic.Bool                     // the last watch ended with a change, as did the watches of other hosts

	// Used by Run's goroutine only.
	replica      *feed.Replica
	availability feed.PlatformAvailability
	content      *Content
	background   conc.WaitGroup // calls to peers and the platform, concurrent with Run
	servers      serverTable
	nextCallAt   clock.Time
	backoff      time.Duration
	unusable     int  // watches in a row whose responses could not be used
	gotChanges   bool // the last watch returned changes

	// Changes from and to other hosts; used by Run's goroutine only.
	peers            feed.Peers
	transfer         feed.Transfer
	pulling          bool       // a host is being asked
	confirmedByPeers clock.Time // the oldest confirmation of the hosts that sent parts of the transfer; 0: none
	receivers        feed.Receivers
	packer           packer

	stopped chan struct{} // closed when Run has ended

	platformCalls, platformCallsFailed, platformResponsesUnusable, pulls, pullsBusy, dropped, panics *expvar.Int
	replicaBytes, removalBytes                                                                       *expvar.Int // memory of the replica
}

// New returns a controller with an empty replica.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg, log: cfg.Log.Named("feeds"), work: make(chan func(), 256), replica: feed.New(), content: &Content{}, stopped: make(chan struct{})}
	c.servers = newServerTable()
	c.failingHosts.Store(&map[string]bool{})
	c.platformCalls, c.platformCallsFailed = cfg.Counters.Int("feeds.platform_calls"), cfg.Counters.Int("feeds.platform_calls_failed")
	c.platformResponsesUnusable = cfg.Counters.Int("feeds.platform_responses_unusable")
	c.pulls, c.pullsBusy, c.dropped = cfg.Counters.Int("feeds.pulls"), cfg.Counters.Int("feeds.pulls_busy"), cfg.Counters.Int("feeds.dropped")
	c.panics = cfg.Counters.Int("feeds.panics")
	c.replicaBytes, c.removalBytes = cfg.Counters.Int("feeds.replica_bytes"), cfg.Counters.Int("feeds.removal_bytes")
	return c
}

// Register adds the RPC service Feed to s.
func (c *Controller) Register(s *peer.Server) error {
	return s.Register("Feed", &handler{c})
}

// Ready reports whether a configuration is known.
func (c *Controller) Ready() bool { return c.cfg.Store.Load().Manifest != nil }

// enqueue queues f for Run's goroutine without blocking. It returns false when
// the queue is full.
func (c *Controller) enqueue(f func()) bool {
	select {
	case c.work <- f:
		return true
	default:
		c.dropped.Add(1)
		return false
	}
}

// enqueueAndWait queues f and waits until it was executed, unless the queue is full or Run
// has ended.
func (c *Controller) enqueueAndWait(f func()) {
	done := make(chan struct{})
	if !c.enqueue(func() { defer close(done); f() }) {
		return
	}
	select {
	case <-done:
	case <-c.stopped:
	}
}

// Run keeps the replica up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.stopped)
	var wg conc.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	c.startDueCall(ctx, &wg) // without delay: callers are refused until a configuration is known
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.work:
			c.runWork(f)
		case <-ticker.C:
			c.runWork(func() {
				c.startDueCall(ctx, &wg)
				c.applyHeldRemovals()
				c.startPull()
			})
		}
	}
}

// runWork runs queued work. An item of the platform or of a peer that makes it panic must
// not end this host: each other host has the same item.
func (c *Controller) runWork(f func()) {
	if p := panics.Try(f); p != nil {
		c.panics.Add(1)
		c.log.Error("Processing published items panicked. The previous content stays in effect.", zap.Error(p.AsError()))
	}
}

func (c *Controller) elapsedSince(t *atomic.Int64, now clock.Time) time.Duration {
	if v := t.Load(); v != 0 {
		return now.Sub(clock.Time(v))
	}
	return now.Sub(0) + feed.FallbackTimeout // never: reported as older than the process
}

// startDueCall starts a call to the platform when this host should make one.
func (c *Controller) startDueCall(ctx context.Context, wg *conc.WaitGroup) {
	now := c.cfg.Clock.Now()
	if now.Before(c.nextCallAt) || c.callInFlight.Load() {
		return
	}
	v := c.cfg.Roster.View()
	rank := c.rank(now, v)
	if !c.replica.Complete() {
		if rank != 0 && now.Sub(0) < initialPeerWait {
			return
		}
		c.startCall(ctx, wg, c.readAll)
		return
	}
	if now.Sub(0) < initialPeerWait && c.elapsedSince(&c.confirmedAt, now) < initialPeerWait {
		return // just confirmed, and the host that watches may not be known yet
	}
	if feed.ShouldWatch(rank, c.elapsedSince(&c.confirmedAt, now), true, c.availability.Unavailable(now)) {
		c.startCall(ctx, wg, c.watch)
	}
}

// rank returns the rank of this host among those that may watch the platform. Hosts whose
// calls fail are left out, since the platform may refuse some hosts and serve the others. A
// host whose own calls fail, and all hosts once none gets a response, keep their rank, so
// that few of them call a platform that is away.
func (c *Controller) rank(now clock.Time, v *roster.View) int {
	if c.failing.Load() || c.availability.Unavailable(now) {
		return v.Rank("feed")
	}
	return v.RankWithout("feed", *c.failingHosts.Load())
}

// startCall runs one call to the platform concurrently with Run.
func (c *Controller) startCall(ctx context.Context, wg *conc.WaitGroup, f func(context.Context) error) {
	c.callInFlight.Store(true)
	c.platformCalls.Add(1)
	wg.Go(func() {
		var err error
		if p := panics.Try(func() { err = f(ctx) }); p != nil {
			err = p.AsError()
		}
		// Waits if the queue is full: without finishCall there is no further call.
		select {
		case c.work <- func() { c.finishCall(ctx, wg, err) }:
		case <-ctx.Done():
		}
	})
}

// errWatchUnusable means that the response to a watch cannot be used. A watch for changes
// after the same revision would get it again, so that the content is read instead.
var errWatchUnusable = errors.New("feeds: response to a watch")

func (c *Controller) finishCall(ctx context.Context, wg *conc.WaitGroup, err error) {
	c.callInFlight.Store(false)
	now := c.cfg.Clock.Now()
	if err == nil || errors.Is(err, feed.ErrCompacted) || errors.Is(err, feed.ErrUnusable) {
		c.recordResponse(now)
		c.failing.Store(false)
	}
	switch {
	case err == nil:
		if c.backoff > 0 {
			c.log.Info("Calls to the platform succeed again. The retry backoff is reset.")
		}
		c.backoff, c.nextCallAt = 0, 0
		if c.unusable > 0 {
			// The whole content was read in place of a watch. The next watch may fail again.
			c.nextCallAt = now.Add(min(changeBatchDelay<<min(c.unusable-1, 8), maxUnusableDelay))
			return
		}
		if c.gotChanges {
			c.gotChanges, c.nextCallAt = false, now.Add(changeBatchDelay)
			c.wokenByChange.Store(true)
			return
		}
		c.startDueCall(ctx, wg)
	case errors.Is(err, feed.ErrCompacted):
		c.log.Info("The platform no longer has the changes since the known revision. The whole content is read again.", zap.Uint64("revision", c.replica.Revision()))
		c.startCall(ctx, wg, c.readAll)
	case ctx.Err() != nil:
	case errors.Is(err, errWatchUnusable):
		c.unusable++
		c.platformResponsesUnusable.Add(1)
		c.log.Warn("The response to a watch cannot be used. The whole content is read in pages.", zap.Error(err), zap.Uint64("revision", c.replica.Revision()))
		c.startCall(ctx, wg, c.readAll)
	default:
		c.platformCallsFailed.Add(1)
		if !c.failing.Swap(true) {
			c.cfg.Flush() // the next host in rank takes over
		}
		if c.backoff == 0 {
			c.log.Warn("A call to the platform failed. Serving continues with the last known content, and further calls back off.", zap.Error(err), zap.Uint64("revision", c.replica.Revision()))
		}
		c.backoff = min(max(2*c.backoff, minRetryBackoff), maxRetryBackoff)
		c.nextCallAt = now.Add(c.backoff/2 + time.Duration(c.cfg.Rand.Int64N(int64(c.backoff))))
	}
}

// recordResponse records a response of the platform at t to this or another
// host.
func (c *Controller) recordResponse(t clock.Time) {
	c.availability.RecordResponse(t)
	c.respondedAt.Store(int64(c.availability.LastResponse()))
}

func (c *Controller) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	requestedAt := c.cfg.Clock.Now()
	at, items, err := c.cfg.Source.Read(ctx)
	if err != nil {
		return err
	}
	c.enqueue(func() {
		c.recordResponse(c.cfg.Clock.Now())
		c.replica.Replace(at, items)
		c.recordConfirmation(requestedAt)
		c.publish()
	})
	return nil
}

func (c *Controller) watch(ctx context.Context) error {
	done := make(chan uint64, 1)
	if !c.enqueue(func() { done <- c.replica.Revision() }) {
		return errors.New("feeds: work queue full")
	}
	var after uint64
	select {
	case after = <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	wait := c.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	requestedAt := c.cfg.Clock.Now()
	to, events, err := c.cfg.Source.Watch(ctx, after, wait)
	switch {
	case errors.Is(err, feed.ErrUnusable):
		return errors.Join(errWatchUnusable, err)
	case err != nil:
		return err
	}
	completeAt := requestedAt
	if len(events) == 0 && c.cfg.Clock.Now().Sub(requestedAt) >= wait {
		completeAt = requestedAt.Add(wait) // the platform checked for changes until then
	}
	c.enqueue(func() {
		c.recordResponse(c.cfg.Clock.Now())
		c.gotChanges, c.unusable = len(events) > 0, 0
		if c.replica.Apply(after, to, events) {
			c.recordConfirmation(completeAt)
			c.publish()
		}
	})
	return nil
}

// wait returns how long the next watch waits for changes.
func (c *Controller) wait() time.Duration {
	v := c.cfg.Roster.View()
	index, dataCentres := 0, 1+len(v.Remote)
	for dc := range v.Remote {
		if dc < v.Self.DataCentre {
			index++
		}
	}
	if c.wokenByChange.Swap(false) {
		return feed.FirstWait(index, dataCentres)
	}
	return feed.WatchWait(dataCentres)
}

// Refresh queries the platform once for changes, for use after the process was
// paused. It returns when the changes are applied, the query failed or was not
// queued, or ctx ends.
func (c *Controller) Refresh(ctx context.Context) {
	done := make(chan struct{})
	if !c.enqueue(func() {
		after := c.replica.Revision()
		c.background.Go(func() {
			defer close(done)
			to, events, err := c.cfg.Source.Watch(ctx, after, 0)
			if errors.Is(err, feed.ErrUnusable) || errors.Is(err, feed.ErrCompacted) {
				if err = c.readAll(ctx); err == nil {
					c.enqueueAndWait(func() {}) // the content that was read is applied
					return
				}
			}
			if err != nil {
				c.log.Info("The platform could not be queried after a pause of the process. Serving continues with the last known content.", zap.Error(err))
				return
			}
			requestedAt := c.cfg.Clock.Now()
			c.enqueueAndWait(func() {
				c.recordResponse(requestedAt)
				if c.replica.Apply(after, to, events) {
					c.recordConfirmation(requestedAt)
					c.publish()
				}
			})
		})
	}) {
		return
	}
	c.platformCalls.Add(1)
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// recordConfirmation records that the replica contained every change made
// before time t.
func (c *Controller) recordConfirmation(t clock.Time) {
	if int64(t) > c.confirmedAt.Load() {
		c.confirmedAt.Store(int64(t))
	}
}

// Age returns the time since the replica was last known to contain every change.
func (c *Controller) Age(now clock.Time) time.Duration { return c.elapsedSince(&c.confirmedAt, now) }
