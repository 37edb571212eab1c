package feeds

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/feed"
	"github.com/anvilfront/anvilfront/internal/roster"
)

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
	outOfReach := c.pullsFailedInRow >= maxPullsFailed && c.peers.Ahead(c.replica.Position())
	if outOfReach || feed.ShouldWatch(rank, c.elapsedSince(&c.confirmedAt, now), true, c.availability.Unavailable(now)) {
		c.startWatch(ctx, wg, now)
	}
}

// startWatch starts a watch. After a failed call, or a while without calls, it does not wait
// for changes: the platform may have come back from a copy and reached the known revision
// again, and then names its new era only at the end of the wait.
func (c *Controller) startWatch(ctx context.Context, wg *conc.WaitGroup, now clock.Time) {
	wait := c.wait
	if c.ownResponseAt == 0 || now.Sub(c.ownResponseAt) > eraCheckInterval {
		wait = func() time.Duration { return 0 }
	}
	c.startCall(ctx, wg, func(ctx context.Context) error { return c.watch(ctx, wait()) })
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
	c.callStartedAt = c.cfg.Clock.Now()
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
	if err == nil || errors.Is(err, feed.ErrCompacted) || errors.Is(err, feed.ErrUnusable) || errors.Is(err, errNewEra) {
		c.recordResponse(now)
		c.failing.Store(false)
		c.ownResponseAt = now
	} else {
		c.ownResponseAt = 0
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
	case errors.Is(err, errNewEra):
		c.log.Info("The platform names a newer era than is known. The whole content is read.",
			zap.Uint64("era", c.replica.Position().Era), zap.Uint64("revision", c.replica.Revision()), zap.Duration("watched", now.Sub(c.callStartedAt)))
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
	if err := c.checkEra(at.Era); errors.Is(err, errOlderEra) {
		return err
	}
	c.enqueue(func() {
		c.recordResponse(c.cfg.Clock.Now())
		if c.replica.ReplaceAt(at, at.Revision, items) {
			c.recordConfirmation(requestedAt)
		}
		c.publish()
	})
	return nil
}

// watch waits for changes after the position of the replica.
func (c *Controller) watch(ctx context.Context, wait time.Duration) error {
	done := make(chan feed.Position, 1)
	if !c.enqueue(func() { done <- c.replica.Position() }) {
		return errors.New("feeds: work queue full")
	}
	var after feed.Position
	select {
	case after = <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
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
	if err := c.checkEra(to.Era); err != nil {
		return err
	}
	completeAt := requestedAt
	if len(events) == 0 && c.cfg.Clock.Now().Sub(requestedAt) >= wait {
		completeAt = requestedAt.Add(wait) // the platform checked for changes until then
	}
	c.enqueue(func() {
		c.recordResponse(c.cfg.Clock.Now())
		c.gotChanges, c.unusable = len(events) > 0, 0
		if c.replica.ApplyAt(after, to, events) {
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
		after := c.replica.Position()
		c.background.Go(func() {
			defer close(done)
			to, events, err := c.cfg.Source.Watch(ctx, after, 0)
			if err == nil {
				err = c.checkEra(to.Era)
			}
			if errors.Is(err, feed.ErrUnusable) || errors.Is(err, feed.ErrCompacted) || errors.Is(err, errNewEra) {
				c.platformCalls.Add(1)
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
				if c.replica.ApplyAt(after, to, events) {
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
