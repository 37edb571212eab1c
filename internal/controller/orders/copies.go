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

// candidates is how many entry hosts may hold the copies of one incarnation.
// One would do while host lists agree; two more cover a dead host and a lagging list.
const candidates = 3

// lookupLimit bounds the look-up of a copy, so that "may have run" comes soon
// when there is none. It covers a round trip between two regions.
const lookupLimit = 250 * time.Millisecond

// maxBatch is the largest number of copies in one message, and maxBatchBytes
// the size of their answers after which no further one is added. Peers refuse
// messages above 4 MiB.
const (
	maxBatch      = 64
	maxBatchBytes = 1 << 20
)

// rank returns up to limit members by rendezvous hash of the incarnation,
// highest first, among those that accept returns true for.
func rank(m *state.Members, incarnation uint64, limit int, accept func(*state.Member) bool) []*state.Member {
	var names []string
	for name, v := range m.ByName {
		if accept(v) {
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
// key's incarnation, in other data centres than its owner's. Dead ones are
// included, so that a sender and a reader with different views of life agree on
// the order. When the owner is no longer listed, its data centre is unknown and
// twice as many are returned.
func copyHolders(m *state.Members, k *orderkey.Key) []*state.Member {
	away, limit := dataCentreOf(m, k.Owner.String()), candidates
	if away == "" {
		limit *= 2
	}
	return rank(m, k.Incarnation, limit, func(v *state.Member) bool { return v.DataCentre != away })
}

// Finished implements filters.Orders.
func (c *Controller) QueueCopy(k *orderkey.Key, fingerprint uint64, a ledger.Result) {
	book := c.KeyedLedger(k.Incarnation)
	if book == nil {
		return
	}
	out := wire.OrderCopy{
		Key: k.String(), Fingerprint: fingerprint, Verdict: uint8(a.Verdict), ReasonName: a.Reason.String(),
		TTLMillis: book.Remaining(c.cfg.Clock.Now(), k.Expiry).Milliseconds(),
	}
	out.Status, out.Headers, out.Body = encode(a.Response)
	select {
	case c.queue <- queued{key: *k, copy: out}:
	default:
		c.dropped.Add(1)
	}
}

func encode(r *filter.Response) (status int, headers []wire.Field, body []byte) {
	if r == nil {
		return 0, nil, nil
	}
	for _, h := range r.Headers {
		headers = append(headers, wire.Field(h))
	}
	return r.Status, headers, r.Body
}

// queued is a copy on its way out, with its decoded key.
type queued struct {
	key  orderkey.Key
	copy wire.OrderCopy
}

// batch adds to first what waits in the queue, by incarnation.
func (c *Controller) batch(first queued) map[uint64][]queued {
	out := map[uint64][]queued{first.key.Incarnation: {first}}
	size := len(first.copy.Body)
	for n := 1; n < maxBatch && size < maxBatchBytes; n++ {
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

// send gives copies of one incarnation to the first candidate that confirms them.
func (c *Controller) send(ctx context.Context, batch []queued) {
	s := c.cfg.Store.Load()
	copies := make([]wire.OrderCopy, len(batch))
	for i := range batch {
		copies[i] = batch[i].copy
	}
	args := &wire.CopyRequest{Header: c.Header(s), Copies: copies}
	for _, to := range copyHolders(s.Members, &batch[0].key) {
		if !to.Alive || to.Name == s.Members.Self.Name {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callLimit)
		err := c.cfg.Peers.Call(callCtx, peer.Data, to.Address, "Order.Copy", args, &wire.CopyReply{})
		cancel()
		if err == nil {
			return
		}
	}
	c.dropped.Add(int64(len(copies)))
}

// store keeps copies of another incarnation.
func (c *Controller) store(copies []wire.OrderCopy) {
	now := c.cfg.Clock.Now()
	for i := range copies {
		w := &copies[i]
		reason, _ := verdict.ParseReason(w.ReasonName)
		a := ledger.Result{Verdict: verdict.Verdict(w.Verdict), Reason: reason}
		if w.Status != 0 {
			a.Response = &filter.Response{Status: w.Status, Body: w.Body}
			for _, h := range w.Headers {
				a.Response.Headers = append(a.Response.Headers, filter.Header(h))
			}
		}
		left := min(time.Duration(w.TTLMillis)*time.Millisecond, c.cfg.Ledger.KeyTTL)
		if !c.copies.Put(now, &ledger.Copy{Key: w.Key, Fingerprint: w.Fingerprint, Result: a, Expires: now.Add(left)}) {
			c.dropped.Add(1)
		}
	}
}

// held returns the copy of an order. The answer itself is left out when the
// asker's request is another one.
func (c *Controller) held(key string, fingerprint uint64) (wire.OrderCopy, bool) {
	p := c.copies.Get(c.cfg.Clock.Now(), key)
	if p == nil {
		return wire.OrderCopy{}, false
	}
	out := wire.OrderCopy{Key: p.Key, Fingerprint: p.Fingerprint, Verdict: uint8(p.Result.Verdict), ReasonName: p.Result.Reason.String()}
	if p.Fingerprint == fingerprint {
		out.Status, out.Headers, out.Body = encode(p.Result.Response)
	}
	return out, true
}

// Find implements filters.Orders. It asks the candidates at the same time.
func (c *Controller) Find(ctx context.Context, s *state.Snapshot, k *orderkey.Key, fingerprint uint64) (wire.OrderCopy, bool) {
	key := k.String()
	if out, ok := c.held(key, fingerprint); ok {
		c.found.Add(1)
		return out, true
	}
	ctx, cancel := context.WithTimeout(ctx, lookupLimit)
	defer cancel()
	asked := copyHolders(s.Members, k)
	replies := make(chan *wire.LookupReply, len(asked))
	var wg conc.WaitGroup
	defer wg.Wait()
	waiting := 0
	for _, to := range asked {
		if !to.Alive || to.Name == s.Members.Self.Name {
			continue
		}
		waiting++
		wg.Go(func() {
			reply := &wire.LookupReply{}
			args := &wire.LookupRequest{Header: c.Header(s), Key: key, Fingerprint: fingerprint}
			if err := c.cfg.Peers.Call(ctx, peer.Data, to.Address, "Order.Lookup", args, reply); err != nil {
				// A late answer may still be written to the reply of a call that timed out.
				reply = &wire.LookupReply{}
			}
			replies <- reply
		})
	}
	for ; waiting > 0; waiting-- {
		if r := <-replies; r.Found && r.Copy.Key == key && verdict.Verdict(r.Copy.Verdict) == verdict.Ran {
			cancel()
			c.found.Add(1)
			return r.Copy, true
		}
	}
	return wire.OrderCopy{}, false
}

// dataCentreOf returns where the host with the given address stands, also after
// it restarted, or "" if it is not listed.
func dataCentreOf(m *state.Members, address string) string {
	for _, v := range m.ByName {
		if v.Address == address {
			return v.DataCentre
		}
	}
	return ""
}
