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

// Register adds the receivers Order.Submit, Order.Copy, Order.Lookup and Order.HandOver.
func (c *Controller) Register(s *peer.Server) error { return s.Register("Order", &Service{c}) }

// Service receives messages about orders from other entry hosts.
type Service struct{ c *Controller }

// Service returns the receiver, for fakes of peer.Caller.
func (c *Controller) Service() *Service { return &Service{c} }

// Submit runs a forwarded order through the chain.
func (s *Service) Submit(req *wire.OrderRequest, reply *wire.OrderReply) error {
	c := s.c
	snapshot := c.cfg.Store.Load()
	reply.Header = c.Header(snapshot)
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
	left := time.Duration(req.RemainingMicros) * time.Microsecond
	x.Request.Headers = append(x.Request.Headers, filter.Header{
		Name: filter.HeaderDeadline, Value: strconv.FormatInt(max(left.Milliseconds(), 0), 10),
	})
	// The sender may go away; net/rpc does not tell. The chain ends at the deadline.
	out := c.run(*chain, x)
	reply.Verdict, reply.ReasonName, reply.FreshKey = uint8(out.Verdict), out.Reason.String(), out.FreshKey
	reply.Status, reply.Headers, reply.Body = encode(out.Response)
	if len(reply.Body) > filters.MaxForwardBytes {
		// Peers refuse a larger message, which would end the other calls too.
		reply.Status, reply.Headers, reply.Body = 0, nil, nil
		reply.ReasonName = verdict.ReasonNotKept.String()
	}
	if out.Verdict == verdict.MayHaveRun && out.Reason == verdict.ReasonOwnerSealed {
		reply.Sealed, reply.Successor = true, c.successor(req.Key)
	}
	return nil
}

// run runs the chain. A panic, which would end the process, is logged and counted.
func (c *Controller) run(chain filter.Handler, x *filter.Exchange) filter.Outcome {
	out := filter.Unknown(verdict.ReasonInternal, nil)
	c.guard(func() { out = chain.Handle(context.Background(), x) })
	return out
}

// Copy stores copies of finished orders.
func (s *Service) Copy(req *wire.CopyRequest, reply *wire.CopyReply) error {
	s.c.store(req.Copies)
	reply.Header = s.c.Header(s.c.cfg.Store.Load())
	return nil
}

// Lookup returns the copy of an order.
func (s *Service) Lookup(req *wire.LookupRequest, reply *wire.LookupReply) error {
	reply.Header = s.c.Header(s.c.cfg.Store.Load())
	reply.Copy, reply.Found = s.c.held(req.Key, req.Fingerprint)
	return nil
}

// HandOver takes over the records of a stopping entry host.
func (s *Service) HandOver(req *wire.HandOverRequest, reply *wire.HandOverReply) error {
	reply.Header = s.c.Header(s.c.cfg.Store.Load())
	reply.Accepted = s.c.receive(req)
	return nil
}
