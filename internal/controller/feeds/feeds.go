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
	// maxPullsFailed is how many requests for changes to other hosts may fail in a row until
	// this host asks the platform for changes that it hears of.
	maxPullsFailed = 2
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
	// eraCheckInterval is the time after the platform's last response to this host within
	// which a watch waits for changes at once. It exceeds the delays between two watches.
	eraCheckInterval = time.Second
	// initialPeerWait is how long a new process waits for the replica of another
	// host before it reads from the platform. The owner of the feed task does not
	// wait.
	initialPeerWait = 600 * time.Millisecond
)

// Content is the typed content of a replica.
type Content struct {
	Manifest *manifest.Manifest // nil until a configuration is published
	// ManifestItem is the newest configuration that was decoded, or could not be.
	ManifestItem feed.Item
	Servers      map[string]Registration // by item key
	Invalid      map[string]feed.Item    // those that are not valid registrations, by key
	Out          map[string]bool         // data centres out of service
}

// Registration is one registered backend server.
type Registration struct {
	Name, Address, DataCentre, Service string
	Slots                              int
	Born                               int64         // distinguishes processes that use the same name
	Leaving                            bool          // finishes its requests in flight and gets no new ones
	ColdRemaining                      time.Duration // remaining cold-start time at the time of registration
	Item                               feed.Item     // from which it was decoded
}

// Decoder turns a replica into typed content. Items that cannot be decoded are
// logged and yield no backend server. Unchanged parts are taken over from the
// previous content.
type Decoder interface {
	Decode(r *feed.Replica, previous *Content) *Content
	// Version returns the version of a published item, or 0 for an item without one.
	Version(i feed.Item) uint64
	// Generation returns a number that rises with each process of a backend server and
	// when it begins to leave, or 0 for any other item.
	Generation(i feed.Item) uint64
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
	progress      atomic.Pointer[progress]
	confirmedAt   atomic.Int64 // clock.Time at which the replica was last known to be complete; 0: never
	respondedAt   atomic.Int64 // clock.Time of the newest known response of the platform to any host; 0: never
	callInFlight  atomic.Bool
	failing       atomic.Bool                     // the newest call of this host failed
	failingHosts  atomic.Pointer[map[string]bool] // addresses of hosts of the data centre whose calls fail; written by Run's goroutine
	wokenByChange atomic.Bool                     // the last watch ended with a change, as did the watches of other hosts

	// Used by Run's goroutine only.
	replica       *feed.Replica
	availability  feed.PlatformAvailability
	content       *Content
	background    conc.WaitGroup // calls to peers and the platform, concurrent with Run
	servers       serverTable
	eras          eras
	nextCallAt    clock.Time
	ownResponseAt clock.Time // last response to a call of this host; 0 after a failed call
	callStartedAt clock.Time // of the newest call to the platform
	backoff       time.Duration
	unusable      int  // watches in a row whose responses could not be used
	gotChanges    bool // the last watch returned changes

	// Changes from and to other hosts; used by Run's goroutine only.
	peers            feed.Peers
	transfer         feed.Transfer
	pulling          bool // a host is being asked
	pullsFailedInRow int
	confirmedByPeers clock.Time // the oldest confirmation of the hosts that sent parts of the transfer; 0: none
	receivers        feed.Receivers
	packer           packer

	stopped chan struct{} // closed when Run has ended

	platformCalls, platformCallsFailed, platformResponsesUnusable, pulls, pullsBusy, dropped, panics *expvar.Int
	replicaBytes, removalBytes                                                                       *expvar.Int // memory of the replica
	eraChanges, olderEras, heldChanged, heldUnlisted                                                 *expvar.Int
	eraGauge, revisionGauge                                                                          *expvar.Int // position of the replica
	pullsFailed                                                                                      *expvar.Int
}

// New returns a controller with an empty replica.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg, log: cfg.Log.Named("feeds"), work: make(chan func(), 256), replica: feed.NewOrdered(cfg.Decoder.Version, cfg.Decoder.Generation), content: &Content{}, stopped: make(chan struct{})}
	c.servers = newServerTable()
	c.failingHosts.Store(&map[string]bool{})
	c.progress.Store(&progress{})
	c.platformCalls, c.platformCallsFailed = cfg.Counters.Int("feeds.platform_calls"), cfg.Counters.Int("feeds.platform_calls_failed")
	c.platformResponsesUnusable = cfg.Counters.Int("feeds.platform_responses_unusable")
	c.pulls, c.pullsBusy, c.dropped = cfg.Counters.Int("feeds.pulls"), cfg.Counters.Int("feeds.pulls_busy"), cfg.Counters.Int("feeds.dropped")
	c.eraChanges, c.olderEras = cfg.Counters.Int("feeds.era_changes"), cfg.Counters.Int("feeds.older_eras")
	c.heldChanged, c.heldUnlisted = cfg.Counters.Int("feeds.held_changed"), cfg.Counters.Int("feeds.held_unlisted")
	c.eraGauge, c.revisionGauge = cfg.Counters.Int("feeds.era"), cfg.Counters.Int("feeds.revision")
	c.pullsFailed = cfg.Counters.Int("feeds.pulls_failed")
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
				c.releaseUnlisted()
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

// recordConfirmation records that the replica contained every change made
// before time t.
func (c *Controller) recordConfirmation(t clock.Time) {
	if int64(t) > c.confirmedAt.Load() {
		c.confirmedAt.Store(int64(t))
	}
}

// Age returns the time since the replica was last known to contain every change.
func (c *Controller) Age(now clock.Time) time.Duration { return c.elapsedSince(&c.confirmedAt, now) }
