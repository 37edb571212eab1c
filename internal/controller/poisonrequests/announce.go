package poisonrequests

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/poison"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

const (
	// noticeRate and noticeBurst limit how often all entry hosts are notified, in
	// fan-outs per second. Above the limit, updates are sent by gossip alone and
	// no retry is granted.
	noticeRate  = 10
	noticeBurst = 20
	// maxUpdates is the maximum number of updates in one message.
	maxUpdates = 1024
	// maxNameLength is the maximum length in bytes of a name from another entry
	// host.
	maxNameLength = 64
	// maxAge is the greatest age of a crash in an update; refusals end earlier.
	maxAge = time.Hour
)

// noticeMethod is the RPC method of a notice.
const noticeMethod = "Suspect.Notice"

// Register adds the RPC service of the controller to the peer listener.
func (c *Controller) Register(s *peer.Server) error {
	return s.Register("Suspect", &Service{c: c})
}

// Service is the RPC service that receives notices.
type Service struct{ c *Controller }

// Notice processes updates and replies with what was known of their fingerprints
// before.
func (s *Service) Notice(req *wire.PoisonNoticeRequest, reply *wire.PoisonNoticeReply) error {
	if len(req.Suspects) > maxUpdates {
		return errors.Errorf("notice has %d poison requests, limit is %d", len(req.Suspects), maxUpdates)
	}
	e := event{updates: fromWire(req.Suspects), known: make(chan []poison.Update, 1)}
	if !s.c.enqueue(e) {
		return errors.New("event queue of the poison request controller is full")
	}
	t := time.NewTimer(replyTimeout)
	defer t.Stop()
	select {
	case known := <-e.known:
		reply.Version = wire.Version
		reply.Known = s.c.toWire(known)
		return nil
	case <-t.C:
		return errors.New("poison request controller did not reply in time")
	}
}

// announce sends the updates of a batch to the other entry hosts. Gossip alone
// takes some 600 ms to reach 16 hosts, in which a request sent every 200 ms runs
// three more times, so each host that is alive is also notified directly. The
// replies decide on retries.
func (c *Controller) announce(ctx context.Context, b *batch) {
	list := c.toWire(b.updates)
	for i := range list {
		if c.cfg.Gossip != nil {
			c.cfg.Gossip.Publish(wire.Update{Suspect: &list[i]})
		}
	}
	snap := c.cfg.Store.Load()
	var addresses []string
	for name, m := range snap.Members.ByName {
		if m.Alive && name != snap.Members.Self.Name && c.cfg.Caller != nil {
			addresses = append(addresses, m.Address)
		}
	}
	if !c.notices.take(c.cfg.Clock.Now()) {
		c.unannounced.Add(int64(len(list)))
		c.decide(b.claims, func(uint64) bool { return false })
		return
	}
	req := newNotice(snap, list)
	replies := make(chan *wire.PoisonNoticeReply, len(addresses))
	for _, address := range addresses {
		c.wg.Go(func() { replies <- c.notify(ctx, address, req) })
	}
	c.wg.Go(func() { c.collectReplies(ctx, b.claims, len(addresses), replies) })
}

func newNotice(snap *state.Snapshot, list []wire.PoisonUpdate) *wire.PoisonNoticeRequest {
	req := &wire.PoisonNoticeRequest{Suspects: list[:min(len(list), maxUpdates)]}
	req.Version, req.From, req.Incarnation = wire.Version, snap.Members.Self.Name, snap.Members.Self.Incarnation
	return req
}

// notifyNewMembers sends the requests that are refused to hosts that have become alive:
// they were started, or were cut off, after the crashes had been announced.
func (c *Controller) notifyNewMembers(ctx context.Context) {
	snap := c.cfg.Store.Load()
	alive := make(map[string]uint64, len(snap.Members.ByName))
	var addresses []string
	for name, m := range snap.Members.ByName {
		if !m.Alive || name == snap.Members.Self.Name {
			continue
		}
		alive[name] = m.Incarnation
		if incarnation, known := c.alive[name]; !known || incarnation != m.Incarnation {
			addresses = append(addresses, m.Address)
		}
	}
	c.alive = alive
	if len(addresses) == 0 || c.cfg.Caller == nil {
		return
	}
	var updates []poison.Update
	c.table.Refusals(c.cfg.Clock.Now(), func(u poison.Update, _ clock.Time) { updates = append(updates, u) })
	if len(updates) == 0 {
		return
	}
	req := newNotice(snap, c.toWire(updates))
	for _, address := range addresses {
		c.wg.Go(func() { c.notify(ctx, address, req) })
	}
}

// notify calls one host, and calls it a second time when the call failed or has no
// reply after resendDelay. It returns nil when both calls failed.
func (c *Controller) notify(ctx context.Context, address string, req *wire.PoisonNoticeRequest) *wire.PoisonNoticeReply {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	replies := make(chan *wire.PoisonNoticeReply, 2)
	call := func() {
		reply := &wire.PoisonNoticeReply{}
		if err := c.cfg.Caller.Call(ctx, peer.Control, address, noticeMethod, req, reply); err != nil {
			reply = nil
		}
		replies <- reply
	}
	c.wg.Go(call)
	t := time.NewTimer(resendDelay)
	defer t.Stop()
	select {
	case r := <-replies:
		if r != nil {
			return r
		}
		call()
		return <-replies
	case <-t.C:
		c.wg.Go(call)
	}
	if r := <-replies; r != nil {
		return r
	}
	return <-replies
}

// collectReplies waits for the replies and decides on the retries: a retry is
// granted when at least half of the notified hosts have replied in time and none of
// them knew of a crash of the request.
func (c *Controller) collectReplies(ctx context.Context, claims map[uint64]chan bool, notified int, replies <-chan *wire.PoisonNoticeReply) {
	t := time.NewTimer(replyTimeout)
	defer t.Stop()
	self := origin(&c.cfg.Store.Load().Members.Self)
	known, replied := map[uint64]bool{}, 0
	var updates []poison.Update
wait:
	for range notified {
		select {
		case r := <-replies:
			if r == nil {
				continue
			}
			replied++
			for _, u := range fromWire(r.Known) {
				if u.Origin != self {
					known[u.Fingerprint] = true
					updates = append(updates, u)
				}
			}
		case <-t.C:
			break wait
		case <-ctx.Done():
			break wait
		}
	}
	if len(updates) > 0 {
		c.enqueue(event{updates: updates})
	}
	c.decide(claims, func(fp uint64) bool { return 2*replied >= notified && !known[fp] })
}

func (c *Controller) decide(claims map[uint64]chan bool, grant func(fingerprint uint64) bool) {
	for fp, claim := range claims {
		ok := grant(fp)
		if ok {
			c.granted.Add(1)
		} else {
			c.denied.Add(1)
		}
		claim <- ok
	}
}

// tokenBucket limits a rate. It is not safe for concurrent use.
type tokenBucket struct {
	tokens     float64
	refilledAt clock.Time
}

func (b *tokenBucket) take(now clock.Time) bool {
	b.tokens = min(noticeBurst, b.tokens+now.Sub(b.refilledAt).Seconds()*noticeRate)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (c *Controller) toWire(updates []poison.Update) []wire.PoisonUpdate {
	list := make([]wire.PoisonUpdate, len(updates))
	for i, u := range updates {
		list[i] = wire.PoisonUpdate{
			Fingerprint: u.Fingerprint, Crashes: u.Crashes, RetryUsed: u.RetryUsed, Cleared: u.Cleared,
			TTLMillis: c.cfg.Policy.MaxRefusalTime.Milliseconds(), Origin: u.Origin, Sequence: u.Sequence, Server: u.Server,
			AgeMillis: u.Age.Milliseconds(),
		}
	}
	return list
}

// fromWire converts updates and drops those that no entry host sends. Times follow
// from the policy of the receiver and the age of the crash, not from the clock of the
// sender.
func fromWire(list []wire.PoisonUpdate) []poison.Update {
	updates := make([]poison.Update, 0, len(list))
	for _, s := range list {
		if s.Origin == "" || len(s.Origin) > maxNameLength+poison.MaxOriginSuffix || len(s.Server) > maxNameLength || s.Crashes < 0 || s.TTLMillis <= 0 || s.AgeMillis < 0 || s.AgeMillis > maxAge.Milliseconds() {
			continue
		}
		updates = append(updates, poison.Update{
			Fingerprint: s.Fingerprint, Origin: s.Origin, Sequence: s.Sequence, Crashes: s.Crashes,
			RetryUsed: s.RetryUsed, Cleared: s.Cleared, Server: s.Server, Age: time.Duration(s.AgeMillis) * time.Millisecond,
		})
	}
	return updates
}

func formatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }
