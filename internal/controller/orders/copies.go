package orders

import (
	"context"
	"strconv"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/ledger"
	"github.com/anvilfront/anvilfront/internal/orderkey"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/rendezvous"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// maxCandidates is the number of entry hosts that may hold the copies of one
// incarnation. One is enough while all hosts have the same host list; the other
// two cover a failed host and an outdated host list.
const maxCandidates = 3

// lookupTimeout limits the lookup of a copy, so that "may have run" is returned
// soon when no copy exists. It covers a round trip between two regions.
const lookupTimeout = 250 * time.Millisecond

// maxBatchCopies is the largest number of copies in one message. No copy is added
// once the response bodies in the batch reach maxBatchBytes. Peers reject messages
// above 4 MiB.
const (
	maxBatchCopies = 64
	maxBatchBytes  = 1 << 20
)

// rankMembers ranks the eligible members by rendezvous hash of the incarnation and
// returns up to limit of them, highest first.
func rankMembers(m *state.Members, incarnation uint64, limit int, eligible func(*state.Member) bool) []*state.Member {
	var names []string
	for name, member := range m.ByName {
		if eligible(member) {
			names = append(names, name)
		}
	}
	names = rendezvous.Order("orders/"+strconv.FormatUint(incarnation, 16), names)
	var out []*state.Member
	for _, name := range names[:min(limit, len(names))] {
		out = append(out, m.ByName[name])
	}
	return out
}

// copyHolders returns the entry hosts that may hold copies of the orders of a
// key's incarnation, best rank first. They are in other data centres than the
// key's owner. Failed hosts are included, so that sender and reader rank the same
// hosts even when they disagree on which of them are alive. When the owner is no
// longer listed, its data centre is unknown and twice as many hosts are returned.
func copyHolders(m *state.Members, k *orderkey.Key) []*state.Member {
	ownerDataCentre, limit := dataCentreOf(m, k.Owner.String()), maxCandidates
	if ownerDataCentre == "" {
		limit *= 2
	}
	return rankMembers(m, k.Incarnation, limit, func(v *state.Member) bool { return v.DataCentre != ownerDataCentre })
}

// QueueCopy implements filters.Orders.
func (c *Controller) QueueCopy(k *orderkey.Key, fingerprint uint64, result ledger.Result) {
	keyedLedger := c.KeyedLedger(k.Incarnation)
	if keyedLedger == nil {
		return
	}
	out := wire.OrderCopy{
		Key: k.String(), Fingerprint: fingerprint, Verdict: uint8(result.Verdict), ReasonName: result.Reason.String(),
		TTLMillis: keyedLedger.Remaining(c.cfg.Clock.Now(), k.Expiry).Milliseconds(),
	}
	out.Status, out.Headers, out.Body = encodeResponse(result.Response)
	select {
	case c.queue <- queuedCopy{key: *k, copy: out}:
	default:
		c.copiesDropped.Add(1)
	}
}

func encodeResponse(r *filter.Response) (status int, headers []wire.Field, body []byte) {
	if r == nil {
		return 0, nil, nil
	}
	for _, h := range r.Headers {
		headers = append(headers, wire.Field(h))
	}
	return r.Status, headers, r.Body
}

// queuedCopy is a copy waiting to be sent, with its decoded key.
type queuedCopy struct {
	key  orderkey.Key
	copy wire.OrderCopy
}

// collectBatch returns first and the copies waiting in the queue, up to the limits
// of a batch, grouped by incarnation.
func (c *Controller) collectBatch(first queuedCopy) map[uint64][]queuedCopy {
	out := map[uint64][]queuedCopy{first.key.Incarnation: {first}}
	size := len(first.copy.Body)
	for n := 1; n < maxBatchCopies && size < maxBatchBytes; n++ {
		select {
		case next := <-c.queue:
			size += len(next.copy.Body)
			out[next.key.Incarnation] = append(out[next.key.Incarnation], next)
		default:
			return out
		}
	}
	return out
}

// sendCopies sends copies of one incarnation to its copy holders in turn, until
// one of them confirms.
func (c *Controller) sendCopies(ctx context.Context, batch []queuedCopy) {
	s := c.cfg.Store.Load()
	copies := make([]wire.OrderCopy, len(batch))
	for i := range batch {
		copies[i] = batch[i].copy
	}
	args := &wire.CopyRequest{Header: c.Header(), Copies: copies}
	for _, to := range copyHolders(s.Members, &batch[0].key) {
		if !to.Alive || to.Name == s.Members.Self.Name {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, copySendTimeout)
		err := c.cfg.Peers.Call(callCtx, peer.Data, to.Address, "Order.Copy", args, &wire.CopyReply{})
		cancel()
		if err == nil {
			return
		}
	}
	c.copiesDropped.Add(int64(len(copies)))
}

// storeCopies stores copies of another incarnation's orders.
func (c *Controller) storeCopies(copies []wire.OrderCopy) {
	now := c.cfg.Clock.Now()
	for i := range copies {
		received := &copies[i]
		reason, _ := verdict.ParseReason(received.ReasonName)
		result := ledger.Result{Verdict: verdict.Verdict(received.Verdict), Reason: reason}
		if received.Status != 0 {
			result.Response = &filter.Response{Status: received.Status, Body: received.Body}
			for _, h := range received.Headers {
				result.Response.Headers = append(result.Response.Headers, filter.Header(h))
			}
		}
		ttl := min(time.Duration(received.TTLMillis)*time.Millisecond, c.cfg.Ledger.KeyTTL)
		if !c.copies.Put(now, &ledger.Copy{Key: received.Key, Fingerprint: received.Fingerprint, Result: result, Expires: now.Add(ttl)}) {
			c.copiesDropped.Add(1)
		}
	}
}

// storedCopy returns the copy of an order that is stored in this process. The
// response is left out when the fingerprint is that of a different request.
func (c *Controller) storedCopy(key string, fingerprint uint64) (wire.OrderCopy, bool) {
	stored := c.copies.Get(c.cfg.Clock.Now(), key)
	if stored == nil {
		return wire.OrderCopy{}, false
	}
	out := wire.OrderCopy{Key: stored.Key, Fingerprint: stored.Fingerprint, Verdict: uint8(stored.Result.Verdict), ReasonName: stored.Result.Reason.String()}
	if stored.Fingerprint == fingerprint {
		out.Status, out.Headers, out.Body = encodeResponse(stored.Result.Response)
	}
	return out, true
}

// Find implements filters.Orders. It queries the copy holders concurrently.
func (c *Controller) Find(ctx context.Context, s *state.Snapshot, k *orderkey.Key, fingerprint uint64) (wire.OrderCopy, bool) {
	key := k.String()
	if out, ok := c.storedCopy(key, fingerprint); ok {
		c.answeredFromCopy.Add(1)
		return out, true
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	holders := copyHolders(s.Members, k)
	replies := make(chan *wire.LookupReply, len(holders))
	var wg conc.WaitGroup
	defer wg.Wait()
	pending := 0
	for _, to := range holders {
		if !to.Alive || to.Name == s.Members.Self.Name {
			continue
		}
		pending++
		wg.Go(func() {
			reply := &wire.LookupReply{}
			args := &wire.LookupRequest{Header: c.Header(), Key: key, Fingerprint: fingerprint}
			if err := c.cfg.Peers.Call(ctx, peer.Data, to.Address, "Order.Lookup", args, reply); err != nil {
				// A late response may still be written to the reply of a call that timed out.
				reply = &wire.LookupReply{}
			}
			replies <- reply
		})
	}
	for ; pending > 0; pending-- {
		if r := <-replies; r.Found && r.Copy.Key == key && verdict.Verdict(r.Copy.Verdict) == verdict.Ran {
			cancel()
			c.answeredFromCopy.Add(1)
			return r.Copy, true
		}
	}
	return wire.OrderCopy{}, false
}

// dataCentreOf returns the data centre of the host with the given address, or ""
// if it is not listed. A restart of the host makes no difference.
func dataCentreOf(m *state.Members, address string) string {
	for _, member := range m.ByName {
		if member.Address == address {
			return member.DataCentre
		}
	}
	return ""
}
