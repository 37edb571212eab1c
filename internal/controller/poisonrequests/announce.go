package poisonrequests

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/poison"
	"github.com/anvilfront/anvilfront/internal/wire"
)

const (
	// noticeRate and noticeBurst bound how often all entry hosts are called, in
	// fan-outs per second. Beyond that, news go by gossip alone and no
	// repetition is granted.
	noticeRate  = 10
	noticeBurst = 20
	// maxNews bounds the news in one message.
	maxNews = 1024
	// maxText bounds names from other entry hosts.
	maxText = 64
)

// method is the name of the notice on the peer listener.
const method = "Suspect.Notice"

// Register adds the messages of the controller to the peer listener.
func (c *Controller) Register(s *peer.Server) error {
	return s.Register("Suspect", &Service{c: c})
}

// Service receives notices.
type Service struct{ c *Controller }

// Notice takes news and answers with what was known before.
func (s *Service) Notice(req *wire.PoisonNoticeRequest, reply *wire.PoisonNoticeReply) error {
	if len(req.Suspects) > maxNews {
		return errors.Errorf("%d suspects, the limit is %d", len(req.Suspects), maxNews)
	}
	e := event{news: fromWire(req.Suspects), known: make(chan []poison.Update, 1)}
	if !s.c.offer(e) {
		return errors.New("the queue of suspects is full")
	}
	t := time.NewTimer(askWait)
	defer t.Stop()
	select {
	case known := <-e.known:
		reply.Version = wire.Version
		reply.Known = s.c.toWire(known)
		return nil
	case <-t.C:
		return errors.New("the suspects are not at hand in time")
	}
}

// announce spreads the news of a batch. Gossip alone takes some 600 ms to reach
// 16 hosts, in which a request sent every 200 ms runs three more times, so each
// living host is also called directly. Their answers decide on repetitions.
func (c *Controller) announce(ctx context.Context, b *batch) {
	list := c.toWire(b.news)
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
	req := &wire.PoisonNoticeRequest{Suspects: list[:min(len(list), maxNews)]}
	req.Version, req.From, req.Incarnation = wire.Version, snap.Members.Self.Name, snap.Members.Self.Incarnation
	answers := make(chan *wire.PoisonNoticeReply, len(addresses))
	for _, address := range addresses {
		c.wg.Go(func() { answers <- c.notify(ctx, address, req) })
	}
	c.wg.Go(func() { c.collect(ctx, b.claims, len(addresses), answers) })
}

// notify calls one host, and again when the call failed or has no answer after
// repeatAfter. It returns nil when neither call was answered.
func (c *Controller) notify(ctx context.Context, address string, req *wire.PoisonNoticeRequest) *wire.PoisonNoticeReply {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	replies := make(chan *wire.PoisonNoticeReply, 2)
	call := func() {
		reply := &wire.PoisonNoticeReply{}
		if err := c.cfg.Caller.Call(ctx, peer.Control, address, method, req, reply); err != nil {
			reply = nil
		}
		replies <- reply
	}
	c.wg.Go(call)
	t := time.NewTimer(repeatAfter)
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

// collect waits for the answers and decides on the repetitions: one is granted
// when at least half of the hosts asked have answered in time, and none of them
// knew of a crash of the request.
func (c *Controller) collect(ctx context.Context, claims map[uint64]chan bool, asked int, answers <-chan *wire.PoisonNoticeReply) {
	t := time.NewTimer(askWait)
	defer t.Stop()
	self := c.cfg.Store.Load().Members.Self.Name
	known, answered := map[uint64]bool{}, 0
	var news []poison.Update
wait:
	for range asked {
		select {
		case r := <-answers:
			if r == nil {
				continue
			}
			answered++
			for _, n := range fromWire(r.Known) {
				if n.Origin != self {
					known[n.Fingerprint] = true
					news = append(news, n)
				}
			}
		case <-t.C:
			break wait
		case <-ctx.Done():
			break wait
		}
	}
	if len(news) > 0 {
		c.offer(event{news: news})
	}
	c.decide(claims, func(fp uint64) bool { return 2*answered >= asked && !known[fp] })
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

// bucket bounds a rate. It is used by one goroutine.
type bucket struct {
	tokens float64
	at     clock.Time
}

func (b *bucket) take(now clock.Time) bool {
	b.tokens = min(noticeBurst, b.tokens+now.Sub(b.at).Seconds()*noticeRate)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (c *Controller) toWire(news []poison.Update) []wire.PoisonUpdate {
	list := make([]wire.PoisonUpdate, len(news))
	for i, n := range news {
		list[i] = wire.PoisonUpdate{
			Fingerprint: n.Fingerprint, Crashes: n.Crashes, RetryUsed: n.RetryUsed, Cleared: n.Cleared,
			TTLMillis: c.cfg.Policy.MaxRefusalTime.Milliseconds(), Origin: n.Origin, Sequence: n.Sequence, Server: n.Server,
		}
	}
	return list
}

// fromWire drops news that no program of this kind sends. Times follow from
// the rules of the receiver, not from the sender's clock.
func fromWire(list []wire.PoisonUpdate) []poison.Update {
	news := make([]poison.Update, 0, len(list))
	for _, s := range list {
		if s.Origin == "" || len(s.Origin) > maxText || len(s.Server) > maxText || s.Crashes < 0 || s.TTLMillis <= 0 {
			continue
		}
		news = append(news, poison.Update{
			Fingerprint: s.Fingerprint, Origin: s.Origin, Sequence: s.Sequence, Crashes: s.Crashes,
			RetryUsed: s.RetryUsed, Cleared: s.Cleared, Server: s.Server,
		})
	}
	return news
}

func hex(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }
