// Package feeds owns this host's replica of what the platform publishes, and
// with it the manifest and the backend servers of the snapshot. One host of each
// data centre watches the platform; the others take changes from it, and ask the
// platform themselves when its news gets old.
package feeds

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/feed"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

const (
	// period is how often duties and held removals are looked at.
	period = 100 * time.Millisecond
	// readLimit bounds reading the whole content, in several pages.
	readLimit = 3 * time.Second
	// watchSlack is added to the wait of a watch before it is given up.
	watchSlack = 700 * time.Millisecond
	// pullLimit bounds taking changes from another host.
	pullLimit = 500 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call to the
	// platform; a refused call is paid like any other.
	retryLeast, retryMost = 250 * time.Millisecond, 1500 * time.Millisecond
	// gather is the pause after a watch that brought changes. Servers register in
	// groups, and each further change would cost every watcher a call.
	gather = 200 * time.Millisecond
	// firstRead is how long a new process waits for another host's replica
	// before it reads the platform, unless it has the duty anyway.
	firstRead = 600 * time.Millisecond
)

// Published is the typed content of a replica.
type Content struct {
	Manifest *manifest.Manifest // nil until a configuration is published
	// ManifestRevision is that of the item from which Manifest was read.
	ManifestRevision uint64
	Servers          map[string]Registration // by item key
	Out              map[string]bool         // data centres out of service
}

// Record is one registered backend server.
type Registration struct {
	Name, Address, DataCentre, Service string
	Slots                              int
	Born                               int64         // identifies the process behind the name
	Leaving                            bool          // it finishes what it runs and takes nothing new
	ColdRemaining                      time.Duration // left of its cold start when it registered
	Revision                           uint64
}

// Decoder turns a replica into typed content. Items that it cannot read name no
// backend server and are logged. The previous content is kept for what has not
// changed.
type Decoder interface {
	Decode(r *feed.Replica, previous *Content) *Content
}

// Roster is what the controller needs of the mesh.
type Roster interface{ View() *roster.View }

// Config holds what the controller needs.
type Config struct {
	Clock    clock.Clock
	Store    *state.Store
	Source   feed.Source
	Decoder  Decoder
	Roster   Roster
	Caller   peer.Caller
	PeerPort int // TCP port of other hosts' message listener
	Counters *metrics.Counters
	Log      *zap.Logger
	Rand     *rand.Rand
}

// Controller is the only writer of Snapshot.Manifest and Snapshot.Servers on
// hosts that are configured by a feed.
type Controller struct {
	cfg  Config
	log  *zap.Logger
	work chan func() // run by Run's goroutine; dropped and counted when full

	// Read by other goroutines.
	changed   atomic.Uint64
	confirmed atomic.Int64 // clock.Time at which the replica was known complete; 0 is never
	answered  atomic.Int64 // clock.Time of the platform's newest answer to any host known of; 0 is never
	pulling   atomic.Bool
	watching  atomic.Bool
	woken     atomic.Bool // the last watch ended with a change, like those of other hosts

	// Used by Run's goroutine only.
	replica    *feed.Replica
	contact    feed.PlatformAvailability
	published  *Content
	background conc.WaitGroup // calls to peers and the platform beside Run
	servers    serverTable
	retryAt    clock.Time
	pause      time.Duration
	news       bool // the last watch brought changes

	calls, failed, pulls, dropped *expvar.Int
}

// New returns a controller with an empty replica.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg, log: cfg.Log.Named("feeds"), work: make(chan func(), 256), replica: feed.New(), published: &Content{}}
	c.servers = newServerTable()
	c.calls, c.failed = cfg.Counters.Int("feeds.platform_calls"), cfg.Counters.Int("feeds.platform_calls_failed")
	c.pulls, c.dropped = cfg.Counters.Int("feeds.pulls"), cfg.Counters.Int("feeds.dropped")
	return c
}

// Register adds the message handlers.
func (c *Controller) Register(s *peer.Server) error {
	return s.Register("Feed", &handler{c})
}

// Ready reports whether a configuration is known.
func (c *Controller) Ready() bool { return c.cfg.Store.Load().Manifest != nil }

// post hands work to Run's goroutine without blocking.
func (c *Controller) post(f func()) bool {
	select {
	case c.work <- f:
		return true
	default:
		c.dropped.Add(1)
		return false
	}
}

// Run keeps the replica up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	c.duties(ctx, &wg) // callers are refused until a configuration is known
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.work:
			f()
		case <-ticker.C:
			c.duties(ctx, &wg)
			c.publishHeld()
		}
	}
}

func (c *Controller) since(t *atomic.Int64, now clock.Time) time.Duration {
	if v := t.Load(); v != 0 {
		return now.Sub(clock.Time(v))
	}
	return now.Sub(0) + feed.FallbackTimeout // never: older than the process
}

// duties starts a call to the platform when this host should make one.
func (c *Controller) duties(ctx context.Context, wg *conc.WaitGroup) {
	now := c.cfg.Clock.Now()
	if now.Before(c.retryAt) || c.watching.Load() {
		return
	}
	v := c.cfg.Roster.View()
	rank := v.Rank("feed")
	if !c.replica.Complete() {
		if rank != 0 && now.Sub(0) < firstRead {
			return
		}
		c.call(ctx, wg, c.read)
		return
	}
	if now.Sub(0) < firstRead && c.since(&c.confirmed, now) < firstRead {
		return // just read, and it may not be known yet who watches
	}
	if feed.ShouldWatch(rank, c.since(&c.confirmed, now), true, c.contact.Unavailable(now)) {
		c.call(ctx, wg, c.watch)
	}
}

// call runs one exchange with the platform beside Run.
func (c *Controller) call(ctx context.Context, wg *conc.WaitGroup, f func(context.Context) error) {
	c.watching.Store(true)
	c.calls.Add(1)
	wg.Go(func() {
		err := f(ctx)
		c.post(func() { c.called(ctx, wg, err) })
	})
}

func (c *Controller) called(ctx context.Context, wg *conc.WaitGroup, err error) {
	c.watching.Store(false)
	now := c.cfg.Clock.Now()
	if err == nil || errors.Is(err, feed.ErrCompacted) {
		c.noteAnswer(now)
	}
	switch {
	case err == nil:
		if c.pause > 0 {
			c.log.Info("The platform answers again.")
		}
		c.pause, c.retryAt = 0, 0
		if c.news {
			c.news, c.retryAt = false, now.Add(gather)
			c.woken.Store(true)
			return
		}
		c.duties(ctx, wg)
	case errors.Is(err, feed.ErrCompacted):
		c.log.Info("The platform dropped the history. The content is read again.", zap.Uint64("revision", c.replica.Revision()))
		c.call(ctx, wg, c.read)
	case ctx.Err() != nil:
	default:
		c.failed.Add(1)
		if c.pause == 0 {
			c.log.Warn("The platform does not answer. Serving goes on with what is known.", zap.Error(err), zap.Uint64("revision", c.replica.Revision()))
		}
		c.pause = min(max(2*c.pause, retryLeast), retryMost)
		c.retryAt = now.Add(c.pause/2 + time.Duration(c.cfg.Rand.Int64N(int64(c.pause))))
	}
}

// noteAnswer takes an answer of the platform at t, to this or another host.
func (c *Controller) noteAnswer(t clock.Time) {
	c.contact.RecordResponse(t)
	c.answered.Store(int64(c.contact.LastResponse()))
}

func (c *Controller) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	asked := c.cfg.Clock.Now()
	at, items, err := c.cfg.Source.Read(ctx)
	if err != nil {
		return err
	}
	c.post(func() {
		c.noteAnswer(c.cfg.Clock.Now())
		c.replica.Replace(at, items)
		c.confirm(asked)
		c.publish()
	})
	return nil
}

func (c *Controller) watch(ctx context.Context) error {
	done := make(chan uint64, 1)
	if !c.post(func() { done <- c.replica.Revision() }) {
		return errors.New("feeds: busy")
	}
	var after uint64
	select {
	case after = <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	wait := c.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	asked := c.cfg.Clock.Now()
	to, events, err := c.cfg.Source.Watch(ctx, after, wait)
	if err != nil {
		return err
	}
	complete := asked
	if len(events) == 0 && c.cfg.Clock.Now().Sub(asked) >= wait {
		complete = asked.Add(wait) // the platform looked for changes until then
	}
	c.post(func() {
		c.noteAnswer(c.cfg.Clock.Now())
		c.news = len(events) > 0
		if c.replica.Apply(after, to, events) {
			c.confirm(complete)
			c.publish()
		}
	})
	return nil
}

// wait returns how long the next watch waits.
func (c *Controller) wait() time.Duration {
	v := c.cfg.Roster.View()
	place, centres := 0, 1+len(v.Remote)
	for dc := range v.Remote {
		if dc < v.Self.DataCentre {
			place++
		}
	}
	if c.woken.Swap(false) {
		return feed.FirstWait(place, centres)
	}
	return feed.WatchWait(centres)
}

// Refresh asks the platform once for changes, as after a pause of the process.
// It returns when they are applied or ctx ends.
func (c *Controller) Refresh(ctx context.Context) {
	done := make(chan struct{})
	if !c.post(func() {
		after := c.replica.Revision()
		c.background.Go(func() {
			defer close(done)
			to, events, err := c.cfg.Source.Watch(ctx, after, 0)
			if err != nil {
				c.log.Info("No news after a pause. Serving goes on with what is known.", zap.Error(err))
				return
			}
			applied := make(chan struct{})
			asked := c.cfg.Clock.Now()
			if c.post(func() {
				defer close(applied)
				c.noteAnswer(asked)
				if c.replica.Apply(after, to, events) {
					c.confirm(asked)
					c.publish()
				}
			}) {
				<-applied
			}
		})
	}) {
		return
	}
	c.calls.Add(1)
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// confirm notes that the replica contained every change at t.
func (c *Controller) confirm(t clock.Time) {
	if int64(t) > c.confirmed.Load() {
		c.confirmed.Store(int64(t))
	}
}

// Age returns how long ago the replica was known to contain every change.
func (c *Controller) Age(now clock.Time) time.Duration { return c.since(&c.confirmed, now) }

type handler struct{ c *Controller }

// Since returns the changes after a revision.
func (h *handler) Since(q *wire.FeedRequest, reply *wire.FeedReply) error {
	done := make(chan struct{})
	ok := h.c.post(func() {
		defer close(done)
		items, full := h.c.replica.Since(q.After)
		reply.Revision, reply.Full = h.c.replica.Revision(), full
		for _, i := range items {
			reply.Items = append(reply.Items, wire.FeedItem(i))
		}
	})
	if !ok {
		return errors.New("feeds: busy")
	}
	<-done
	return nil
}
