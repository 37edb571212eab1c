package orders

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/ledger"
	"github.com/anvilfront/anvilfront/internal/orderkey"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// maxAdopted bounds the books taken over from others. Together they keep no
// more bytes than the own ledger may, and each goes when its last key expires,
// so 16 cover the planned stops of a whole fleet today within one key life.
const maxAdopted = 16

// maxRemembered bounds the incarnations remembered as taken over. At 60
// restarts a day a host reaches it after 68 days at the earliest, and then
// takes over no more.
const maxRemembered = 1 << 12

// Stop seals all books, waits until their orders have finished or ctx ends, and
// hands each book to one successor. It returns the number of orders still running.
// Callers' requests and forwarded orders are still answered meanwhile. The
// controller's Run must go on until Stop returns.
func (c *Controller) Stop(ctx context.Context) (running int64) {
	// A book that is taken over at this moment is either in the table read
	// below, or adopt sees the seal when its change of the table is refused.
	c.own.Seal()
	c.edit(func(books) bool { return true })
	all := *c.books.Load()
	for _, b := range all {
		if b != nil {
			b.Seal()
		}
	}
	for _, b := range all {
		running += drain(ctx, b)
	}
	if running > 0 {
		c.cfg.Log.Warn("Orders still run at the end of the drain.", zap.Int64("orders", running))
	}
	for incarnation, b := range all {
		if b != nil {
			// A transfer is short and must not be cut off because the drain took long.
			c.handOver(context.WithoutCancel(ctx), incarnation, b)
		}
	}
	return running
}

func drain(ctx context.Context, b *filters.KeyedLedger) int64 {
	for b != nil && b.Usage().Running > 0 {
		select {
		case <-b.Idle():
		case <-ctx.Done():
			return b.Usage().Running
		}
	}
	return 0
}

// handOver transfers one book. Another host is asked only after a refusal that
// is certain: no byte left this process, or the peer answered no. After an
// unconfirmed transfer the peer may be the successor, so no other host may be.
func (c *Controller) handOver(ctx context.Context, incarnation uint64, b *filters.KeyedLedger) {
	s := c.cfg.Store.Load()
	payload := b.Export(c.cfg.Clock.Now(), b.Secret)
	for _, to := range successors(s.Members, incarnation) {
		switch c.transfer(ctx, s, to, incarnation, payload) {
		case transferRefused:
			continue
		case transferUnconfirmed:
			c.cfg.Log.Warn("Hand-over of order records was not confirmed.", zap.String("successor", to.Name))
			return
		}
		c.noteMoved(incarnation, to.Name)
		c.cfg.Gossip.Publish(wire.Update{Successor: &wire.Successor{Incarnation: incarnation, Name: to.Name}})
		c.cfg.Log.Info("Handed over order records.", zap.String("successor", to.Name), zap.Int("bytes", len(payload)))
		return
	}
	c.cfg.Log.Warn("No entry host took over the order records.")
}

type transferResult uint8

const (
	transferUnconfirmed transferResult = iota
	transferRefused
	transferAccepted
)

func (c *Controller) transfer(ctx context.Context, s *state.Snapshot, to *state.Member, incarnation uint64, payload []byte) transferResult {
	ctx, cancel := context.WithTimeout(ctx, transferLimit)
	defer cancel()
	parts := slices.Collect(slices.Chunk(payload, c.cfg.PartBytes))
	for i, part := range parts {
		reply := &wire.HandOverReply{}
		args := &wire.HandOverRequest{Header: c.Header(s), Owner: incarnation, Payload: part, Part: i, Parts: len(parts)}
		err := c.cfg.Peers.Call(ctx, peer.Data, to.Address, "Order.HandOver", args, reply)
		if err == nil && reply.Accepted {
			continue
		}
		_, answered := errors.Into[*peer.RemoteError](err)
		// Only the last part completes a transfer, so one that fails earlier is
		// certain not to have happened.
		if i < len(parts)-1 || err == nil || answered || errors.Is(err, peer.ErrNotSent) {
			return transferRefused
		}
		return transferUnconfirmed
	}
	return transferAccepted
}

// successors returns the entry hosts to hand over to, best first. Those in the
// own data centre come first, because callers that hold the keys are routed to it.
func successors(m *state.Members, incarnation uint64) []*state.Member {
	able := func(near bool) func(*state.Member) bool {
		return func(v *state.Member) bool {
			return v.Name != m.Self.Name && v.Alive && !v.Leaving && (v.DataCentre == m.Self.DataCentre) == near
		}
	}
	return append(rank(m, incarnation, candidates, able(true)), rank(m, incarnation, candidates, able(false))...)
}

func (c *Controller) noteMoved(incarnation uint64, name string) {
	for {
		old := c.moved.Load()
		next := make(map[uint64]string, len(*old)+1)
		for k, v := range *old {
			next[k] = v
		}
		next[incarnation] = name
		if c.moved.CompareAndSwap(old, &next) {
			return
		}
	}
}

// successor returns the confirmed successor for a key of this process, or "".
func (c *Controller) successor(key string) string {
	k, err := orderkey.Decode(key)
	if err != nil {
		return ""
	}
	return (*c.moved.Load())[k.Incarnation]
}

// adopt takes over the book of a stopped incarnation. A repeated transfer of
// the same book is confirmed again and changes nothing.
func (c *Controller) adopt(incarnation uint64, payload []byte) bool {
	now := c.cfg.Clock.Now()
	l, secret, err := ledger.Import(payload, now, c.cfg.Ledger)
	if err != nil {
		c.cfg.Log.Warn("Refused a hand-over.", zap.Error(err))
		return false
	}
	accepted := c.edit(func(b books) bool {
		if c.own.Sealed() {
			return false
		}
		live, bytes := 0, l.Usage().Bytes
		for inc, book := range b {
			switch {
			case inc == c.cfg.Incarnation || book == nil:
			case book.Expired(now):
				b[inc] = nil
			default:
				live++
				bytes += book.Usage().Bytes
			}
		}
		if _, known := b[incarnation]; known {
			return true
		}
		b[incarnation] = &filters.KeyedLedger{Ledger: l, Secret: secret}
		return live < maxAdopted && len(b) <= maxRemembered && bytes <= c.cfg.Ledger.MaxBytes
	})
	if accepted {
		self := c.cfg.Store.Load().Members.Self.Name
		c.cfg.Gossip.Publish(wire.Update{Successor: &wire.Successor{Incarnation: incarnation, Name: self}})
	}
	return accepted
}

// incoming collects the parts of transfers. It is not on the path of a request.
type incoming struct {
	mu    sync.Mutex
	parts map[uint64]*partial
}

type partial struct {
	next    int
	payload []byte
	life    *time.Timer // ends a transfer whose sender was ended in the middle
}

// maxIncoming bounds the transfers that are received at the same time.
const maxIncoming = 4

// add stores a part. It returns the payload once it is complete; ok is false
// when the part is refused.
func (in *incoming) add(owner uint64, part, parts int, data []byte, limit int64) (payload []byte, ok bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	p := in.parts[owner]
	if part == 0 {
		if p == nil && len(in.parts) >= maxIncoming {
			for other, given := range in.parts { // their senders gave them up
				in.forget(other, given)
			}
		}
		in.forget(owner, p)
		p = &partial{}
		p.life = time.AfterFunc(2*transferLimit, func() {
			in.mu.Lock()
			defer in.mu.Unlock()
			in.forget(owner, p)
		})
		in.parts[owner] = p
	}
	if p == nil || part != p.next || int64(len(p.payload)+len(data)) > limit {
		return nil, false
	}
	p.payload = append(p.payload, data...)
	p.next++
	if p.next < parts {
		return nil, true
	}
	in.forget(owner, p)
	return p.payload, true
}

// forget drops a transfer unless another one of the same owner has begun.
// Callers hold mu.
func (in *incoming) forget(owner uint64, p *partial) {
	if p != nil && in.parts[owner] == p {
		p.life.Stop()
		delete(in.parts, owner)
	}
}

// maxPayload bounds a whole hand-over in bytes: the kept answers, and for each
// record and key what is around them.
func (c *Controller) maxPayload() int64 {
	const perRecord, perKey, header = 1 << 10, 1, 1 << 10
	l := c.cfg.Ledger
	return l.MaxBytes + int64(l.MaxRecords)*perRecord + int64(l.MaxKeys)*perKey + header
}

// receive takes one part of a hand-over.
func (c *Controller) receive(req *wire.HandOverRequest) bool {
	if c.own.Sealed() || req.Owner == c.cfg.Incarnation {
		return false
	}
	payload, ok := c.incoming.add(req.Owner, req.Part, req.Parts, req.Payload, c.maxPayload())
	if !ok || payload == nil {
		return ok
	}
	return c.adopt(req.Owner, payload)
}
