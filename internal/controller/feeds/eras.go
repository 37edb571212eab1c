package feeds

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/feed"
)

// maxPeerWait bounds how long a new process waits for another host to reach the era that it
// has read from the platform, before it uses what it has read.
const maxPeerWait = 2 * time.Second

// maxLoggedKeys bounds the keys of held changes in the log line about a change of era.
const maxLoggedKeys = 20

var (
	// errNewEra means that the platform has come back from a copy. Changes after a position
	// of the era before are not known; the content is read instead.
	errNewEra = errors.New("feeds: the platform's response names a newer era")
	// errOlderEra means that a response is stale, or that the platform no longer names its
	// era. What is known of the newer era stays in force.
	errOlderEra = errors.New("feeds: the platform's response names an older era than is known, or none")
)

// progress is how far the replica is, for heartbeats. It is immutable.
type progress struct {
	position     feed.Position // the replica is complete up to it
	changed      feed.Position // of the newest change
	held, copied uint64        // as of feed.Replica
	trusted      bool          // the content is published
}

// eras is what Run's goroutine knows of changes of the platform's era.
type eras struct {
	known     bool   // content of an era was published
	current   uint64 // era of the published content
	trusted   bool   // the content of the replica may be published
	behind    bool   // another host has content of an older era
	releaseAt clock.Time
}

// recordProgress publishes how far the replica is. It also reports whether the content may
// be published. A platform that came back from a copy a moment ago lists what was changed
// since, so that a new process first learns from other hosts what they hold.
func (c *Controller) recordProgress(now clock.Time) (trusted bool) {
	if !c.eras.trusted && c.replica.Complete() {
		wait := initialPeerWait
		if c.eras.behind {
			wait = maxPeerWait
		}
		c.eras.trusted = c.replica.Position().Era == 0 || now.Sub(0) >= wait
	}
	p := &progress{
		position: c.replica.Position(), held: c.replica.HeldDigest(), copied: c.replica.Copied(), trusted: c.eras.trusted,
		changed: feed.Position{Era: c.replica.Position().Era, Revision: c.replica.Changed()},
	}
	c.progress.Store(p)
	c.eraGauge.Set(int64(p.position.Era))
	c.revisionGauge.Set(int64(p.position.Revision))
	changed, unlisted := c.replica.Held()
	c.heldChanged.Set(int64(changed))
	c.heldUnlisted.Set(int64(unlisted))
	if unlisted > 0 && c.eras.releaseAt == 0 {
		c.eras.releaseAt = now.Add(feed.RemovalGrace)
	}
	if c.eras.trusted && p.position.Era != c.eras.current {
		if c.eras.known {
			c.eraChanges.Add(1)
			c.availability.RecordEra(now)
			c.eras.releaseAt = now.Add(feed.RemovalGrace)
			c.log.Warn("The platform has come back from a copy. What it acknowledged before stays in force until it is written again.",
				zap.Uint64("era", p.position.Era), zap.Uint64("previous_era", c.eras.current), zap.Uint64("revision", p.position.Revision),
				zap.Int("held_changed", changed), zap.Int("held_unlisted", unlisted), zap.Int("dropped", c.replica.HeldDropped()),
				zap.Strings("held", c.replica.HeldKeys(maxLoggedKeys)))
			c.cfg.Flush() // other hosts may not know of it
		}
		c.eras.current = p.position.Era
	}
	c.eras.known = c.eras.known || c.eras.trusted
	return c.eras.trusted
}

// learnFromPeer records that another host has told what it knows of the era.
func (c *Controller) learnFromPeer() { c.eras.trusted = true }

// releaseUnlisted removes the backend servers that the platform has not listed again since
// it came back from a copy. It also publishes the content of a new process that has waited
// for other hosts.
func (c *Controller) releaseUnlisted() {
	now := c.cfg.Clock.Now()
	if !c.eras.trusted && c.replica.Complete() {
		c.publish()
	}
	if c.eras.releaseAt == 0 || now.Before(c.eras.releaseAt) {
		return
	}
	c.eras.releaseAt = 0
	released := 0
	release := func(key string) {
		if c.replica.ReleaseUnlisted(key) {
			released++
		}
	}
	for key := range c.content.Servers {
		release(key)
	}
	for key := range c.content.Invalid {
		release(key)
	}
	if released > 0 {
		c.log.Info("Backend servers did not register again after the platform came back from a copy.", zap.Int("servers", released))
		c.publish()
	}
}

// checkEra compares the position of a response of the platform with that of the request.
func (c *Controller) checkEra(response uint64) error {
	switch known := c.progress.Load().position; {
	case response < known.Era:
		c.olderEras.Add(1)
		return errOlderEra
	case response > known.Era && known.Revision > 0:
		return errNewEra
	}
	return nil
}
