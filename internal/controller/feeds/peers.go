package feeds

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/panics"
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
	m := wire.FeedPosition{Failing: c.failing.Load()}
	p := c.progress.Load()
	if !p.trusted || p.changed == (feed.Position{}) {
		return m
	}
	m.Era, m.Changed, m.Held, m.Copied = p.changed.Era, p.changed.Revision, p.held, p.copied
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
	if b.Partial {
		return
	}
	if v := c.cfg.Roster.View(); b.From.DataCentre == v.Self.DataCentre && (*c.failingHosts.Load())[b.From.Address] != b.Feed.Failing {
		c.enqueue(func() { c.setFailing(b.From.Address, b.Feed.Failing) })
	}
	changed := feed.Position{Era: b.Feed.Era, Revision: b.Feed.Changed}
	if changed == (feed.Position{}) {
		return
	}
	if b.Feed.AnsweredMillis > 0 {
		// A response that is newer by at most half a checkInterval is not worth a wake-up.
		if at := now.Add(-time.Duration(b.Feed.AnsweredMillis) * time.Millisecond); at.Sub(clock.Time(c.respondedAt.Load())) > checkInterval/2 {
			c.enqueue(func() { c.recordResponse(at) })
		}
	}
	own := c.progress.Load()
	c.compareEras(own, b)
	upToDate := !own.position.Before(changed)
	if upToDate && changed.Era == own.position.Era {
		c.recordConfirmation(now.Add(-time.Duration(b.Feed.AgeMillis) * time.Millisecond))
	}
	if upToDate && (changed.Era < own.position.Era || b.Feed.Held == 0 || b.Feed.Held == own.held) {
		return
	}
	// A relayed digest names a host of another data centre. The local host that
	// received the digest fetches the changes, and the other local hosts fetch
	// them from it.
	if b.Relayed {
		return
	}
	from := feed.Peer{
		Address: b.From.Address, Changed: changed, Held: b.Feed.Held, Confirmed: now.Add(-time.Duration(b.Feed.AgeMillis) * time.Millisecond),
	}
	c.enqueue(func() {
		c.peers.Announce(from)
		c.startPull()
	})
}

// compareEras uses what another host knows of the copy from which this host's era began. A
// new process may use the era's content once a host of the same era holds nothing that it
// does not know.
func (c *Controller) compareEras(own *progress, b *wire.Heartbeat) {
	sameEra := own.position.Revision > 0 && b.Feed.Era == own.position.Era
	lower := sameEra && b.Feed.Copied < own.copied
	trust := !own.trusted && sameEra && (b.Feed.Held == 0 || b.Feed.Held == own.held)
	behind := !own.trusted && own.position.Revision > 0 && b.Feed.Era < own.position.Era
	if !lower && !trust && !behind {
		return
	}
	c.enqueue(func() {
		if trust {
			c.learnFromPeer()
		}
		c.eras.behind = c.eras.behind || behind
		c.replica.LowerCopied(b.Feed.Era, b.Feed.Copied)
		c.publish()
	})
}

// setFailing records whether the calls of another host of the data centre fail. Run's
// goroutine calls it.
func (c *Controller) setFailing(address string, failing bool) {
	next := map[string]bool{}
	for _, h := range c.cfg.Roster.View().Local {
		if (*c.failingHosts.Load())[h.Address] {
			next[h.Address] = true
		}
	}
	delete(next, address)
	if failing {
		next[address] = true
	}
	c.failingHosts.Store(&next)
}

// startPull asks another host for missing changes, if one has them and none is being
// asked. Run's goroutine calls it.
func (c *Controller) startPull() {
	if c.pulling {
		return
	}
	from, ok := c.peers.Pick(c.cfg.Clock.Now(), c.replica.Position(), c.replica.HeldDigest(), c.cfg.Rand)
	if !ok {
		return
	}
	c.pulling = true
	c.pulls.Add(1)
	q := requestToWire(c.transfer.Request(c.replica))
	q.From = c.cfg.Store.Load().Members.Self.Address
	c.background.Go(func() {
		reply := &wire.FeedReply{}
		var err error
		if p := panics.Try(func() { err = c.callPeer(from.Address, q, reply) }); p != nil {
			err = p.AsError()
		}
		select {
		case c.work <- func() { c.finishPull(from, reply, err) }:
		case <-c.stopped:
		}
	})
}

// callPeer asks the host with a mesh address.
func (c *Controller) callPeer(mesh string, q *wire.FeedRequest, reply *wire.FeedReply) error {
	host, _, err := net.SplitHostPort(mesh)
	if err != nil {
		return errors.Wrap(err, "address of a peer")
	}
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	return c.cfg.Caller.Call(ctx, peer.Control, net.JoinHostPort(host, strconv.Itoa(c.cfg.PeerPort)), "Feed.Since", q, reply)
}

// finishPull processes a reply, and asks again for what is still missing. Run's goroutine
// calls it.
func (c *Controller) finishPull(from feed.Peer, reply *wire.FeedReply, err error) {
	c.pulling = false
	now := c.cfg.Clock.Now()
	if err == nil {
		c.pullsFailedInRow = 0
	}
	switch {
	case err != nil:
		c.pullsFailed.Add(1)
		if c.pullsFailedInRow++; c.pullsFailedInRow == maxPullsFailed {
			c.log.Info("Other hosts with newer changes do not answer this host. It asks the platform for changes that it hears of until one answers.")
		}
		c.log.Warn("Changes could not be fetched from a peer. Another one is asked.", zap.String("peer", from.Address), zap.Error(err))
		c.peers.Failed(now, from.Address)
	case reply.Busy:
		c.pullsBusy.Add(1)
		c.peers.Busy(now, from.Address, c.cfg.Rand)
	default:
		c.acceptReply(now, from, reply)
	}
	c.startPull()
}

func (c *Controller) acceptReply(now clock.Time, from feed.Peer, reply *wire.FeedReply) {
	done, err := c.transfer.Accept(replyFromWire(reply), unpack)
	if err != nil {
		c.log.Warn("A peer sent changes that cannot be used. They are fetched again.", zap.String("peer", from.Address), zap.Error(err))
		c.peers.Failed(now, from.Address)
		return
	}
	if c.confirmedByPeers == 0 || from.Confirmed.Before(c.confirmedByPeers) {
		c.confirmedByPeers = from.Confirmed
	}
	if !done {
		return
	}
	all := c.transfer.ApplyTo(c.replica)
	if all {
		c.peers.Learned(now, from.Address, reply.Era, reply.Held)
		c.learnFromPeer()
	}
	if reply.Era == c.replica.Position().Era {
		c.recordConfirmation(c.confirmedByPeers)
	}
	c.confirmedByPeers = 0
	c.publish()
	if c.replica.Position().Before(from.Changed) || !all {
		c.peers.Failed(now, from.Address) // its process has restarted and has less than it announced
	}
}

// replyFromWire converts a reply. One from a host that does not know pages is complete.
func replyFromWire(w *wire.FeedReply) feed.Reply {
	reply := feed.Reply{Era: w.Era, Copied: w.Copied, Held: w.Held, Revision: w.Revision, Full: w.Full, Key: w.Key, Part: feed.Part(w.Part), More: w.More, Items: make([]feed.Item, len(w.Items))}
	for i, item := range w.Items {
		reply.Items[i] = feed.Item(item)
	}
	if !w.Paged {
		reply.Items = feed.NewestByKey(reply.Items)
	}
	return reply
}

func requestToWire(q feed.Request) *wire.FeedRequest {
	return &wire.FeedRequest{
		Header: wire.Header{Version: wire.Version}, Paged: true,
		After: q.After.Revision, AfterEra: q.After.Era, Eras: q.Eras, Held: q.Held, Full: q.Full, Key: q.Key, Part: wire.FeedPart(q.Part),
	}
}

type handler struct{ c *Controller }

// Since returns the changes after the revision q.After, or the whole content.
func (h *handler) Since(q *wire.FeedRequest, reply *wire.FeedReply) error {
	done := make(chan struct{})
	ok := h.c.enqueue(func() {
		defer close(done)
		if q.Paged {
			h.c.serve(q, reply)
			return
		}
		after := q.After
		if h.c.replica.Position().Era != q.AfterEra {
			after = 0
		}
		items, full := h.c.replica.Since(after)
		reply.Revision, reply.Full = h.c.replica.Revision(), full
		reply.Items = itemsToWire(items)
	})
	if !ok {
		return errors.New("feeds: work queue full")
	}
	select {
	case <-done:
		return nil
	case <-h.c.stopped:
		return errors.New("feeds: the host has stopped")
	}
}

// serve fills in a page. Run's goroutine calls it.
func (c *Controller) serve(q *wire.FeedRequest, out *wire.FeedReply) {
	reply := c.replica.Serve(feed.Request{
		After: feed.Position{Era: q.AfterEra, Revision: q.After}, Full: q.Full, Key: q.Key, Part: feed.Part(q.Part), Eras: q.Eras, Held: q.Held,
	}, c.packer.pack)
	out.Paged = true
	if !c.receivers.Admit(c.cfg.Clock.Now(), q.From, &reply) {
		out.Busy = true
		return
	}
	out.Era, out.Copied, out.Held = reply.Era, reply.Copied, reply.Held
	out.Revision, out.Full, out.Key, out.More = reply.Revision, reply.Full, reply.Key, reply.More
	out.Part, out.Items = wire.FeedPart(reply.Part), itemsToWire(reply.Items)
}

func itemsToWire(items []feed.Item) []wire.FeedItem {
	out := make([]wire.FeedItem, len(items))
	for i, item := range items {
		out[i] = wire.FeedItem(item)
	}
	return out
}
