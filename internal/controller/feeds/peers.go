package feeds

import (
	"context"
	"net"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/feed"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// AddToHeartbeat implements mesh.HeartbeatHandler.
func (c *Controller) AddToHeartbeat(now clock.Time, b *wire.Heartbeat) { b.Feed = c.position(now) }

// AddToDigest implements mesh.HeartbeatHandler.
func (c *Controller) AddToDigest(now clock.Time, b *wire.Heartbeat) { b.Feed = c.position(now) }

func (c *Controller) position(now clock.Time) wire.FeedPosition {
	m := wire.FeedPosition{Changed: c.changedRevision.Load()}
	if m.Changed == 0 {
		return m
	}
	m.AgeMillis = ageMillis(c.elapsedSince(&c.confirmedAt, now))
	if c.respondedAt.Load() != 0 {
		m.AnsweredMillis = ageMillis(c.elapsedSince(&c.respondedAt, now))
	}
	return m
}

// ageMillis rounds up, so that an age never shrinks when it is relayed.
func ageMillis(d time.Duration) uint32 {
	return uint32(min(d/time.Millisecond, 1<<30)) + 1
}

// Received implements mesh.HeartbeatHandler. It adopts the sender's confirmation
// when this replica contains every change of the sender's replica, and fetches
// the sender's changes otherwise.
func (c *Controller) Received(now clock.Time, b *wire.Heartbeat) {
	if b.Feed.Changed == 0 {
		return
	}
	if b.Feed.AnsweredMillis > 0 {
		// A response that is newer by at most half a checkInterval is not worth a wake-up.
		if at := now.Add(-time.Duration(b.Feed.AnsweredMillis) * time.Millisecond); at.Sub(clock.Time(c.respondedAt.Load())) > checkInterval/2 {
			c.enqueue(func() { c.recordResponse(at) })
		}
	}
	if c.changedRevision.Load() >= b.Feed.Changed {
		c.recordConfirmation(now.Add(-time.Duration(b.Feed.AgeMillis) * time.Millisecond))
		return
	}
	// A relayed digest names a host of another data centre. The local host that
	// received the digest fetches the changes, and the other local hosts fetch
	// them from it.
	if b.Relayed || c.pulling.Swap(true) {
		return
	}
	from := b.From.Address
	age := time.Duration(b.Feed.AgeMillis) * time.Millisecond
	c.background.Go(func() {
		defer c.pulling.Store(false)
		c.pull(from, now.Add(-age))
	})
}

// pull fetches changes from another host and applies them.
func (c *Controller) pull(from string, confirmedAt clock.Time) {
	host, _, err := net.SplitHostPort(from)
	if err != nil {
		return
	}
	c.pulls.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	after := make(chan uint64, 1)
	if !c.enqueue(func() { after <- c.replica.Revision() }) {
		return
	}
	q := &wire.FeedRequest{Header: wire.Header{Version: wire.Version}}
	select {
	case q.After = <-after:
	case <-ctx.Done():
		return
	}
	reply := &wire.FeedReply{}
	address := net.JoinHostPort(host, strconv.Itoa(c.cfg.PeerPort))
	if err := c.cfg.Caller.Call(ctx, peer.Control, address, "Feed.Since", q, reply); err != nil {
		c.log.Warn("Changes could not be fetched from a peer. A later heartbeat triggers another attempt.", zap.String("peer", from), zap.Error(err))
		return
	}
	items := make([]feed.Item, len(reply.Items))
	for i, w := range reply.Items {
		items[i] = feed.Item(w)
	}
	c.enqueue(func() {
		if reply.Full {
			c.replica.Replace(reply.Revision, items)
		} else {
			c.replica.Apply(q.After, reply.Revision, items)
		}
		c.recordConfirmation(confirmedAt)
		c.publish()
	})
}
