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

// maxTakenOver limits the unexpired ledgers taken over from other incarnations.
// Together they may use no more bytes than this process's own ledger, and each is
// dropped when its last key expires, so 16 cover the planned stops of a whole
// fleet of the present size within one key TTL.
const maxTakenOver = 16

// maxKnownIncarnations limits the entries of the ledger table, including those of
// expired ledgers. At 60 restarts a day a host reaches the limit after 68 days at
// the earliest; then it takes over no more ledgers.
const maxKnownIncarnations = 1 << 12

// Stop seals all ledgers, waits until their orders have finished or ctx ends, and
// hands each ledger over to one successor. It returns the number of orders still
// running. Meanwhile callers' requests and forwarded orders still get responses.
// Run must not end before Stop returns.
func (c *Controller) Stop(ctx context.Context) (running int64) {
	// A ledger that takeOver adds concurrently is either in the table read below,
	// or this update makes its compare-and-swap fail, and it sees the seal when it
	// tries again.
	c.ownLedger.Seal()
	c.updateLedgers(func(ledgers) bool { return true })
	table := *c.ledgers.Load()
	for _, keyedLedger := range table {
		if keyedLedger != nil {
			keyedLedger.Seal()
		}
	}
	for _, keyedLedger := range table {
		running += waitIdle(ctx, keyedLedger)
	}
	if running > 0 {
		c.cfg.Log.Warn("Drain ended with orders still in flight.", zap.Int64("orders", running))
	}
	for incarnation, keyedLedger := range table {
		if keyedLedger != nil {
			// A transfer is short and must not be cancelled because the drain took long.
			c.handOver(context.WithoutCancel(ctx), incarnation, keyedLedger)
		}
	}
	return running
}

func waitIdle(ctx context.Context, keyedLedger *filters.KeyedLedger) int64 {
	for keyedLedger != nil && keyedLedger.Usage().Running > 0 {
		select {
		case <-keyedLedger.Idle():
		case <-ctx.Done():
			return keyedLedger.Usage().Running
		}
	}
	return 0
}

// handOver transfers one ledger to a successor. It tries another host only after a
// certain refusal: no byte left this process, or the peer replied with a refusal.
// After an unconfirmed transfer the peer may be the successor, so no other host
// may become it.
func (c *Controller) handOver(ctx context.Context, incarnation uint64, keyedLedger *filters.KeyedLedger) {
	s := c.cfg.Store.Load()
	payload := keyedLedger.Export(c.cfg.Clock.Now(), keyedLedger.Secret)
	for _, to := range successors(s.Members, incarnation) {
		switch c.transfer(ctx, s, to, incarnation, payload) {
		case transferRefused:
			continue
		case transferUnconfirmed:
			c.cfg.Log.Warn("Hand-over of order records was not confirmed; no other entry host is tried.", zap.String("successor", to.Name))
			return
		}
		c.recordSuccessor(incarnation, to.Name)
		c.cfg.Gossip.Publish(wire.Update{Successor: &wire.Successor{Incarnation: incarnation, Name: to.Name}})
		c.cfg.Log.Info("Handed over order records.", zap.String("successor", to.Name), zap.Int("bytes", len(payload)))
		return
	}
	c.cfg.Log.Warn("No entry host accepted the hand-over of order records.")
}

type transferResult uint8

const (
	transferUnconfirmed transferResult = iota
	transferRefused
	transferAccepted
)

func (c *Controller) transfer(ctx context.Context, s *state.Snapshot, to *state.Member, incarnation uint64, payload []byte) transferResult {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	parts := slices.Collect(slices.Chunk(payload, c.cfg.PartBytes))
	for i, part := range parts {
		reply := &wire.HandOverReply{}
		args := &wire.HandOverRequest{Header: c.Header(), Owner: incarnation, Payload: part, Part: i, Parts: len(parts)}
		err := c.cfg.Peers.Call(ctx, peer.Data, to.Address, "Order.HandOver", args, reply)
		if err == nil && reply.Accepted {
			continue
		}
		_, remote := errors.Into[*peer.RemoteError](err)
		// Only the last part completes a transfer. When an earlier part fails, the
		// peer has certainly not taken over the ledger.
		if i < len(parts)-1 || err == nil || remote || errors.Is(err, peer.ErrNotSent) {
			return transferRefused
		}
		return transferUnconfirmed
	}
	return transferAccepted
}

// successors returns the entry hosts to try for a hand-over, in order. Those in the
// local data centre come first, because callers that hold the keys are routed to it.
func successors(m *state.Members, incarnation uint64) []*state.Member {
	eligible := func(local bool) func(*state.Member) bool {
		return func(v *state.Member) bool {
			return v.Name != m.Self.Name && v.Alive && !v.Leaving && (v.DataCentre == m.Self.DataCentre) == local
		}
	}
	return append(rankMembers(m, incarnation, maxCandidates, eligible(true)), rankMembers(m, incarnation, maxCandidates, eligible(false))...)
}

func (c *Controller) recordSuccessor(incarnation uint64, name string) {
	for {
		old := c.successors.Load()
		next := make(map[uint64]string, len(*old)+1)
		for k, v := range *old {
			next[k] = v
		}
		next[incarnation] = name
		if c.successors.CompareAndSwap(old, &next) {
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
	return (*c.successors.Load())[k.Incarnation]
}

// takeOver takes over the ledger of a stopped incarnation. A repeated transfer of
// the same ledger is confirmed again and changes nothing.
func (c *Controller) takeOver(incarnation uint64, payload []byte) bool {
	now := c.cfg.Clock.Now()
	imported, secret, err := ledger.Import(payload, now, c.cfg.Ledger)
	if err != nil {
		c.cfg.Log.Warn("Refused a hand-over; its payload cannot be imported.", zap.Error(err))
		return false
	}
	accepted := c.updateLedgers(func(table ledgers) bool {
		if c.ownLedger.Sealed() {
			return false
		}
		active, bytes := 0, imported.Usage().Bytes
		for other, keyedLedger := range table {
			switch {
			case other == c.cfg.Incarnation || keyedLedger == nil:
			case keyedLedger.Expired(now):
				table[other] = nil
			default:
				active++
				bytes += keyedLedger.Usage().Bytes
			}
		}
		if _, known := table[incarnation]; known {
			return true
		}
		table[incarnation] = &filters.KeyedLedger{Ledger: imported, Secret: secret}
		return active < maxTakenOver && len(table) <= maxKnownIncarnations && bytes <= c.cfg.Ledger.MaxBytes
	})
	if accepted {
		self := c.cfg.Store.Load().Members.Self.Name
		c.cfg.Gossip.Publish(wire.Update{Successor: &wire.Successor{Incarnation: incarnation, Name: self}})
	}
	return accepted
}

// incoming collects the parts of transfers, by owner. It is not on the request path.
type incoming struct {
	mu    sync.Mutex
	parts map[uint64]*partialTransfer
}

type partialTransfer struct {
	nextPart int
	payload  []byte
	expiry   *time.Timer // discards the transfer if its sender stops midway
}

// maxIncomingTransfers limits the transfers that are received concurrently.
const maxIncomingTransfers = 4

// add stores a part. It returns the payload with the last part and nil before; ok
// is false when the part is refused.
func (in *incoming) add(owner uint64, part, parts int, data []byte, limit int64) (payload []byte, ok bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	p := in.parts[owner]
	if part == 0 {
		if p == nil && len(in.parts) >= maxIncomingTransfers {
			for otherOwner, abandoned := range in.parts { // their senders have abandoned them
				in.discard(otherOwner, abandoned)
			}
		}
		in.discard(owner, p)
		p = &partialTransfer{}
		p.expiry = time.AfterFunc(2*handOverTimeout, func() {
			in.mu.Lock()
			defer in.mu.Unlock()
			in.discard(owner, p)
		})
		in.parts[owner] = p
	}
	if p == nil || part != p.nextPart || int64(len(p.payload)+len(data)) > limit {
		return nil, false
	}
	p.payload = append(p.payload, data...)
	p.nextPart++
	if p.nextPart < parts {
		return nil, true
	}
	in.discard(owner, p)
	return p.payload, true
}

// discard removes a transfer unless another one of the same owner has begun. The
// caller must hold mu.
func (in *incoming) discard(owner uint64, p *partialTransfer) {
	if p != nil && in.parts[owner] == p {
		p.expiry.Stop()
		delete(in.parts, owner)
	}
}

// maxPayloadBytes returns the size limit of a whole hand-over: the results kept in
// the ledger, and the encoding overhead of each record and key.
func (c *Controller) maxPayloadBytes() int64 {
	const perRecord, perKey, header = 1 << 10, 1, 1 << 10
	l := c.cfg.Ledger
	return l.MaxBytes + int64(l.MaxRecords)*perRecord + int64(l.MaxKeys)*perKey + header
}

// receivePart processes one part of a hand-over and reports whether it is accepted.
func (c *Controller) receivePart(req *wire.HandOverRequest) bool {
	if c.ownLedger.Sealed() || req.Owner == c.cfg.Incarnation {
		return false
	}
	payload, ok := c.incoming.add(req.Owner, req.Part, req.Parts, req.Payload, c.maxPayloadBytes())
	if !ok || payload == nil {
		return ok
	}
	return c.takeOver(req.Owner, payload)
}
