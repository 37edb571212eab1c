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

// Fill implements mesh.Part.
func (c *Controller) AddToHeartbeat(now clock.Time, b *wire.Heartbeat) { b.Feed = c.mark(now) }

// FillDigest implements mesh.Part.
func (c *Controller) AddToDigest(now clock.Time, b *wire.Heartbeat) { b.Feed = c.mark(now) }

func (c *Controller) mark(now clock.Time) wire.FeedPosition {
	m := wire.FeedPosition{Changed: c.changed.Load()}
	if m.Changed == 0 {
		return m
	}
	m.AgeMillis = ageMillis(c.since(&c.confirmed, now))
	if c.answered.Load() != 0 {
		m.AnsweredMillis = ageMillis(c.since(&c.answered, now))
	}
	return m
}

// ageMillis rounds up, so that an age never shrinks on its way through hosts.
func ageMillis(d time.Duration) uint32 {
	return uint32(min(d/time.Millisecond, 1<<30)) + 1
}

// Heard implements mesh.Part. It takes the sender's confirmation when this
// replica contains all that the sender's does, and its changes otherwise.
func (c *Controller) Received(now clock.Time, b *wire.Heartbeat) {
	if b.Feed.Changed == 0 {
		return
	}
	if b.Feed.AnsweredMillis > 0 {
		// Half a period later than known is no news worth a wake-up.
		if at := now.Add(-time.Duration(b.Feed.AnsweredMillis) * time.Millisecond); at.Sub(clock.Time(c.answered.Load())) > period/2 {
			c.post(func() { c.noteAnswer(at) })
		}
	}
	if c.changed.Load() >= b.Feed.Changed {
		c.confirm(now.Add(-time.Duration(b.Feed.AgeMillis) * time.Millisecond))
		return
	}
	// A digest that was passed on names a host of another data centre. Its
	// receiver here takes the changes, and the others take them from it.
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

// pull takes changes from another host.
func (c *Controller) pull(from string, confirmed clock.Time) {
	host, _, err := net.SplitHostPort(from)
	if err != nil {
		return
	}
	c.pulls.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), pullLimit)
	defer cancel()
	after := make(chan uint64, 1)
	if !c.post(func() { after <- c.replica.Revision() }) {
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
		c.log.Warn("Changes could not be taken from a peer.", zap.String("peer", from), zap.Error(err))
		return
	}
	items := make([]feed.Item, len(reply.Items))
	for i, w := range reply.Items {
		items[i] = feed.Item(w)
	}
	c.post(func() {
		if reply.Full {
			c.replica.Replace(reply.Revision, items)
		} else {
			c.replica.Apply(q.After, reply.Revision, items)
		}
		c.confirm(confirmed)
		c.publish()
	})
}
