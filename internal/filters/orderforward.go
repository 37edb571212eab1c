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

// remote handles a key of another incarnation. It never returns NotRun on its own.
func (f *OrderKey) remote(ctx context.Context, x *filter.Exchange, k *orderkey.Key) filter.Outcome {
	if x.Forwarded {
		// The sender took this process for the owner. Forwarding again could loop.
		return filter.Unknown(verdict.ReasonOwnerGone, nil)
	}
	to := target(x.Snapshot.Members, k)
	if to == "" {
		return f.find(ctx, x, k, filter.Unknown(verdict.ReasonOwnerGone, nil))
	}
	return f.forward(ctx, x, k, to)
}

// target returns the address to forward an order to, or "" when the owner is
// gone. Only addresses of known members are returned, so that a forged key
// cannot direct traffic elsewhere. The incarnation is not compared when the
// address is that of a member, because the owner itself checks it and members
// hear late of restarts.
func target(m *state.Members, k *orderkey.Key) string {
	if to := m.Successors[k.Incarnation]; to != nil {
		return reachable(m, to)
	}
	owner := k.Owner.String()
	for _, v := range m.ByName {
		if v.Address == owner {
			return reachable(m, v)
		}
	}
	return ""
}

func reachable(m *state.Members, v *state.Member) string {
	if !v.Alive || v.Name == m.Self.Name {
		return ""
	}
	return v.Address
}

// forward sends the order to its owner or successor. If that one reports a
// successor, the order follows it once.
func (f *OrderKey) forward(ctx context.Context, x *filter.Exchange, k *orderkey.Key, to string) filter.Outcome {
	if len(x.Request.Body) > MaxForwardBytes {
		return filter.Unknown(verdict.ReasonTooLarge, nil)
	}
	var out filter.Outcome
	for range 2 {
		reply, err := f.submit(ctx, x, to)
		if err != nil {
			return f.find(ctx, x, k, unconfirmed(err))
		}
		out = replied(reply)
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
		return f.find(ctx, x, k, out)
	}
	if out.Verdict == verdict.NotRun && out.FreshKey == "" {
		out.FreshKey = f.freshKey() // a stopping owner issues no keys
	}
	return out
}

func unconfirmed(err error) filter.Outcome {
	if errors.Is(err, peer.ErrNotSent) {
		return filter.Unknown(verdict.ReasonOwnerGone, err)
	}
	return filter.Unknown(verdict.ReasonOwnerUnconfirmed, err)
}

// MaxForward is the largest body in bytes that is forwarded or comes back.
// Peers refuse messages above 4 MiB; the rest is for headers.
const MaxForwardBytes = 3 << 20

// maxForwardMargin is kept back from the time budget of a forwarded order for
// the way back, because an overdue call closes the connection to the owner for
// all orders on it. Entry hosts are 1.5 ms apart one way.
const maxForwardMargin = 10 * time.Millisecond

func (f *OrderKey) submit(ctx context.Context, x *filter.Exchange, to string) (*wire.OrderReply, error) {
	remaining := x.Deadline.Sub(f.Clock.Now())
	if remaining <= 0 {
		return nil, errors.Wrap(peer.ErrNotSent, "deadline")
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	r := x.Request
	args := &wire.OrderRequest{
		Header: f.Orders.Header(x.Snapshot), Key: x.Key,
		Method: r.Method, Host: r.Host, Path: r.Path, Query: r.Query, Body: r.Body,
		RemainingMicros: (remaining - min(maxForwardMargin, remaining/10)).Microseconds(), Nested: x.Nested,
	}
	for _, h := range r.Headers {
		args.Headers = append(args.Headers, wire.Field(h))
	}
	reply := &wire.OrderReply{}
	return reply, f.Peers.Call(ctx, peer.Data, to, "Order.Submit", args, reply)
}

// replied converts the owner's answer. Values unknown to this program become
// "may have run".
func replied(r *wire.OrderReply) filter.Outcome {
	reason, ok := verdict.ParseReason(r.ReasonName)
	out := filter.Outcome{Reason: reason, FreshKey: r.FreshKey}
	switch v := verdict.Verdict(r.Verdict); {
	case v == verdict.Ran:
		out.Verdict = v
		out.Response = response(r.Status, r.Headers, r.Body)
	case v == verdict.NotRun && ok && !r.Sealed:
		out.Verdict = v
	}
	return out
}

func response(status int, headers []wire.Field, body []byte) *filter.Response {
	if status == 0 {
		return nil
	}
	resp := &filter.Response{Status: status, Body: body}
	for _, h := range headers {
		resp.Headers = append(resp.Headers, filter.Header(h))
	}
	return resp
}

// find answers from a copy of the finished order. Without one it returns out.
func (f *OrderKey) find(ctx context.Context, x *filter.Exchange, k *orderkey.Key, out filter.Outcome) filter.Outcome {
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
		return filter.Outcome{Verdict: verdict.Ran, Reason: reason, Response: response(c.Status, c.Headers, c.Body)}
	}
}
