package orders

import (
	"context"
	"strconv"
	"time"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// Register registers the RPC methods Order.Submit, Order.Copy, Order.Lookup and Order.HandOver.
func (c *Controller) Register(s *peer.Server) error { return s.Register("Order", &Service{c}) }

// Service implements the Order RPCs that other entry hosts call.
type Service struct{ c *Controller }

// Service returns the RPC receiver, for fakes of peer.Caller.
func (c *Controller) Service() *Service { return &Service{c} }

// Submit runs a forwarded order through the chain.
func (s *Service) Submit(req *wire.OrderRequest, reply *wire.OrderReply) error {
	c := s.c
	snapshot := c.cfg.Store.Load()
	reply.Header = c.Header()
	chain := c.chain.Load()
	if chain == nil {
		reply.ReasonName = verdict.ReasonInternal.String()
		return nil
	}
	x := &filter.Exchange{
		Snapshot: snapshot, Arrived: c.cfg.Clock.Now(), Key: req.Key, Nested: req.Nested, Forwarded: true,
		Request: &filter.Request{Method: req.Method, Host: req.Host, Path: req.Path, Query: req.Query, Body: req.Body},
	}
	for _, h := range req.Headers {
		if h.Name != filter.HeaderDeadline {
			x.Request.Headers = append(x.Request.Headers, filter.Header(h))
		}
	}
	remaining := time.Duration(req.RemainingMicros) * time.Microsecond
	x.Request.Headers = append(x.Request.Headers, filter.Header{
		Name: filter.HeaderDeadline, Value: strconv.FormatInt(max(remaining.Milliseconds(), 0), 10),
	})
	// net/rpc does not report when the sender goes away. The chain ends at the deadline.
	out := c.runChain(*chain, x)
	reply.Verdict, reply.ReasonName, reply.FreshKey = uint8(out.Verdict), out.Reason.String(), out.FreshKey
	reply.Status, reply.Headers, reply.Body = encodeResponse(out.Response)
	if len(reply.Body) > filters.MaxForwardBytes {
		// Peers reject a larger message, and that would fail the other calls too.
		reply.Status, reply.Headers, reply.Body = 0, nil, nil
		reply.ReasonName = verdict.ReasonNotKept.String()
	}
	if out.Verdict == verdict.MayHaveRun && out.Reason == verdict.ReasonOwnerSealed {
		reply.Sealed, reply.Successor = true, c.successor(req.Key)
	}
	return nil
}

// runChain runs the chain. It logs and counts a panic, which would otherwise end
// the process.
func (c *Controller) runChain(chain filter.Handler, x *filter.Exchange) filter.Outcome {
	out := filter.Unknown(verdict.ReasonInternal, nil)
	c.recoverPanics(func() { out = chain.Handle(context.Background(), x) })
	return out
}

// Copy stores copies of finished orders.
func (s *Service) Copy(req *wire.CopyRequest, reply *wire.CopyReply) error {
	s.c.storeCopies(req.Copies)
	reply.Header = s.c.Header()
	return nil
}

// Lookup returns the copy of an order.
func (s *Service) Lookup(req *wire.LookupRequest, reply *wire.LookupReply) error {
	reply.Header = s.c.Header()
	reply.Copy, reply.Found = s.c.storedCopy(req.Key, req.Fingerprint)
	return nil
}

// HandOver takes over the records of a stopping entry host.
func (s *Service) HandOver(req *wire.HandOverRequest, reply *wire.HandOverReply) error {
	reply.Header = s.c.Header()
	reply.Accepted = s.c.receivePart(req)
	return nil
}
