package filters

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/ledger"
	"github.com/anvilfront/anvilfront/internal/orderkey"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// handleRemote handles an order whose key belongs to another incarnation. It
// returns NotRun only if the owner did.
func (f *OrderKey) handleRemote(ctx context.Context, x *filter.Exchange, k *orderkey.Key) filter.Outcome {
	if x.Forwarded {
		// The sender assumed that this process is the owner. Forwarding again could loop.
		return filter.Unknown(verdict.ReasonOwnerGone, nil)
	}
	to := forwardAddress(x.Snapshot.Members, k)
	if to == "" {
		return f.findCopy(ctx, x, k, filter.Unknown(verdict.ReasonOwnerGone, nil))
	}
	return f.forward(ctx, x, k, to)
}

// forwardAddress returns the address to forward an order to, or "" if its owner
// cannot be reached. It returns only addresses of known members, so that a forged
// key cannot direct traffic elsewhere. It matches the owner by address and not by
// incarnation, because the owner checks the incarnation itself and the member
// list shows restarts late.
func forwardAddress(m *state.Members, k *orderkey.Key) string {
	if to := m.Successors[k.Incarnation]; to != nil {
		return reachableAddress(m, to)
	}
	owner := k.Owner.String()
	for _, v := range m.ByName {
		if v.Address == owner {
			return reachableAddress(m, v)
		}
	}
	return ""
}

func reachableAddress(m *state.Members, v *state.Member) string {
	if !v.Alive || v.Name == m.Self.Name {
		return ""
	}
	return v.Address
}

// forward sends the order to its owner or successor. If the receiver reports a
// successor, the order is forwarded once more, to that successor.
func (f *OrderKey) forward(ctx context.Context, x *filter.Exchange, k *orderkey.Key, to string) filter.Outcome {
	if len(x.Request.Body) > MaxForwardBytes {
		return filter.Unknown(verdict.ReasonTooLarge, nil)
	}
	var out filter.Outcome
	for range 2 {
		reply, err := f.submit(ctx, x, to)
		if err != nil {
			return f.findCopy(ctx, x, k, outcomeFromError(err))
		}
		out = outcomeFromReply(reply)
		successor := x.Snapshot.Members.ByName[reply.Successor]
		if !reply.Sealed || successor == nil {
			break
		}
		if successor.Name == x.Snapshot.Members.Self.Name {
			return out
		}
		to = successor.Address
	}
	if out.Verdict == verdict.MayHaveRun && (out.Reason == verdict.ReasonOwnerGone || out.Reason == verdict.ReasonOwnerSealed) {
		return f.findCopy(ctx, x, k, out)
	}
	if out.Verdict == verdict.NotRun && out.FreshKey == "" {
		out.FreshKey = f.freshKey() // a stopping owner issues no keys
	}
	return out
}

func outcomeFromError(err error) filter.Outcome {
	if errors.Is(err, peer.ErrNotSent) {
		return filter.Unknown(verdict.ReasonOwnerGone, err)
	}
	return filter.Unknown(verdict.ReasonOwnerUnconfirmed, err)
}

// MaxForwardBytes is the largest request or response body that is sent between
// entry hosts. Peers refuse messages above 4 MiB; the rest is for headers.
const MaxForwardBytes = 3 << 20

// maxForwardMargin is the most time that is reserved for the reply to a forwarded
// order, because a call that times out closes the connection to the owner for all
// orders on it. The latency between entry hosts is 1.5 ms one way.
const maxForwardMargin = 10 * time.Millisecond

func (f *OrderKey) submit(ctx context.Context, x *filter.Exchange, to string) (*wire.OrderReply, error) {
	remaining := x.Deadline.Sub(f.Clock.Now())
	if remaining <= 0 {
		return nil, errors.Wrap(peer.ErrNotSent, "order deadline passed")
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	r := x.Request
	args := &wire.OrderRequest{
		Header: f.Orders.Header(), Key: x.Key,
		Method: r.Method, Host: r.Host, Path: r.Path, Query: r.Query, Body: r.Body,
		RemainingMicros: (remaining - min(maxForwardMargin, remaining/10)).Microseconds(), Nested: x.Nested,
	}
	for _, h := range r.Headers {
		args.Headers = append(args.Headers, wire.Field(h))
	}
	reply := &wire.OrderReply{}
	return reply, f.Peers.Call(ctx, peer.Data, to, "Order.Submit", args, reply)
}

// outcomeFromReply converts the owner's reply. A verdict or reason that this
// program version does not know becomes "may have run".
func outcomeFromReply(r *wire.OrderReply) filter.Outcome {
	reason, ok := verdict.ParseReason(r.ReasonName)
	out := filter.Outcome{Reason: reason, FreshKey: r.FreshKey}
	switch v := verdict.Verdict(r.Verdict); {
	case v == verdict.Ran:
		out.Verdict = v
		out.Response = newResponse(r.Status, r.Headers, r.Body)
	case v == verdict.NotRun && ok && !r.Sealed:
		out.Verdict = v
	}
	return out
}

func newResponse(status int, headers []wire.Field, body []byte) *filter.Response {
	if status == 0 {
		return nil
	}
	resp := &filter.Response{Status: status, Body: body}
	for _, h := range headers {
		resp.Headers = append(resp.Headers, filter.Header(h))
	}
	return resp
}

// findCopy returns the outcome that a copy of the finished order holds, or out if
// no copy is found.
func (f *OrderKey) findCopy(ctx context.Context, x *filter.Exchange, k *orderkey.Key, out filter.Outcome) filter.Outcome {
	remaining := x.Deadline.Sub(f.Clock.Now())
	if remaining <= 0 {
		return out
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	fingerprint := ledger.Fingerprint(x.Route.Name, x.Request)
	c, ok := f.Orders.Find(ctx, x.Snapshot, k, fingerprint)
	switch {
	case !ok:
		return out
	case c.Fingerprint != fingerprint:
		return filter.Unknown(verdict.ReasonKeyConflict, nil)
	default:
		reason, _ := verdict.ParseReason(c.ReasonName)
		return filter.Outcome{Verdict: verdict.Ran, Reason: reason, Response: newResponse(c.Status, c.Headers, c.Body)}
	}
}
