package orders

import (
	"bytes"
	"context"
	"reflect"
	"time"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// alwaysRetry retries every order without the verdict "ran", so that only the
// record of the key prevents a second dispatch.
type alwaysRetry struct{}

func (alwaysRetry) Name() string { return "retry" }

func (alwaysRetry) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	out := next.Handle(ctx, x)
	for range 2 {
		if out.Verdict != verdict.Ran {
			out = next.Handle(ctx, x)
		}
	}
	return out
}

// fakeAdmission grants a slot. Faults: 'w' blocks first, 'f' refuses for overload,
// 'p' panics.
type fakeAdmission struct{ h *host }

func (fakeAdmission) Name() string { return "admission" }

func (a fakeAdmission) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	switch plannedFault(x.Request, "Test-Admission", 0) {
	case 'w':
		a.h.sim.block()
	case 'f':
		return filter.Refuse(verdict.ReasonOverload, nil)
	case 'p':
		panic("admission")
	}
	x.Grant = &filter.Grant{Server: &manifest.BackendServer{Name: "desk-1"}, StartBy: a.h.clock.Now().Add(time.Hour)}
	return next.Handle(ctx, x)
}

func (fakeAdmission) Release(*filter.Grant, filter.Report) {}

// plannedFault returns the n-th letter of a header that lists the faults of a
// request, or 'o' for no fault.
func plannedFault(r *filter.Request, name string, n int) byte {
	if v := r.Get(name); n < len(v) {
		return v[n]
	}
	return 'o'
}

// fakeTransport is the transport of one host. Faults: 'c' does not connect, 'h'
// blocks before the dispatch, 'u' fails after it without sending a byte, 's' sheds
// the order, 'n' resets without running it, 'r' resets after running it, 'H' blocks
// after running it, 'T' times out, 'L' returns a response too large to keep.
type fakeTransport struct{ h *host }

func (b *fakeTransport) Do(ctx context.Context, a *filter.Attempt) filter.Result {
	key, sim := a.Request.Get(filter.HeaderOrderKey), b.h.sim
	sim.mu.Lock()
	sim.calls++
	fault := plannedFault(a.Request, "Test-Backend", sim.calls%4)
	sim.mu.Unlock()
	if fault == 'h' {
		sim.block()
	}
	if fault == 'c' || b.h.down.Load() {
		return filter.Result{}
	}
	if err := a.BeforeFirstByte(); err != nil || fault == 'u' {
		return filter.Result{Facts: verdict.Facts{Connected: true}, Err: err}
	}
	if fault == 's' {
		return filter.Result{Facts: verdict.Facts{Connected: true, FirstByte: true, Written: true, ResponseState: verdict.ResponseShed}}
	}
	sim.mu.Lock()
	if sim.sent[key]++; sim.sent[key] > 1 && key != "" {
		sim.recordViolation("key %s dispatched twice", key)
	}
	if sim.notRun[key] {
		sim.recordViolation("key %s dispatched after verdict not-run", key)
	}
	if fault != 'n' {
		sim.ranBody[key] = string(a.Request.Body)
	}
	sim.mu.Unlock()
	sent := verdict.Facts{Connected: true, FirstByte: true, Written: true}
	switch fault {
	case 'H':
		sim.block()
	case 'T':
		limited, cancel := context.WithTimeout(ctx, a.Timeout)
		defer cancel()
		<-limited.Done()
		sent.TimedOut = true
		return filter.Result{Facts: sent}
	case 'n', 'r':
		return filter.Result{Facts: sent, Reset: true}
	}
	sent.ResponseState = verdict.ResponseComplete
	body := "answer to " + string(a.Request.Body)
	if fault == 'L' {
		body += string(bytes.Repeat([]byte("."), 300))
	}
	return filter.Result{Facts: sent, Response: &filter.Response{Status: 201, Body: []byte(body)}}
}

// fakeNetwork is the peer.Caller of one host. Faults: 'x' does not send, 'l' loses
// the message, 'r' loses the reply, 't' delivers late without a reply, 'd' delivers
// a second time later. For a hand-over, upper case letters fault the last part.
type fakeNetwork struct{ from *host }

func (n *fakeNetwork) Call(ctx context.Context, _ peer.Class, address, method string, args, reply any) error {
	sim, fault := n.from.sim, byte('o')
	switch a := args.(type) {
	case *wire.OrderRequest:
		r := &filter.Request{}
		for _, h := range a.Headers {
			r.Headers = append(r.Headers, filter.Header(h))
		}
		fault = plannedFault(r, "Test-Net", 0)
	case *wire.HandOverRequest:
		if f := n.from.handOverFault.Load(); a.Part == a.Parts-1 && f <= 'Z' { // upper case: fault of the last part
			fault = byte(n.from.handOverFault.Swap('o')) + 'a' - 'A'
		} else if f > 'Z' {
			fault = byte(n.from.handOverFault.Swap('o'))
		}
	case *wire.CopyRequest:
		sim.mu.Lock()
		sim.calls++
		fault = sim.copyFault(sim.calls)
		sim.mu.Unlock()
	}
	sim.mu.Lock()
	var to *host
	for _, h := range sim.hosts {
		if h.address == address {
			to = h
		}
	}
	sim.mu.Unlock()
	switch {
	case to == nil:
		sim.mu.Lock()
		sim.recordViolation("call to %s, which is not a member", address)
		sim.mu.Unlock()
		return peer.ErrNotSent
	case to.down.Load() || n.from.down.Load() || fault == 'x':
		return peer.ErrNotSent
	case fault == 'l':
		return peer.ErrUnconfirmed
	case fault == 't':
		go func() { sim.block(); _ = deliver(to, args, newReply(reply)) }()
		return peer.ErrUnconfirmed
	case fault == 'd':
		go func() { sim.block(); _ = deliver(to, args, newReply(reply)) }()
	}
	callReply, done := newReply(reply), make(chan error, 1)
	go func() { done <- deliver(to, args, callReply) }()
	select {
	case err := <-done:
		if fault == 'r' || to.down.Load() || n.from.down.Load() {
			return peer.ErrUnconfirmed
		}
		reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(callReply).Elem())
		return err
	case <-ctx.Done():
		return peer.ErrUnconfirmed
	}
}

func deliver(to *host, args, reply any) error {
	if to.down.Load() {
		return peer.ErrNotSent
	}
	s := to.ctl.Service()
	switch a := args.(type) {
	case *wire.OrderRequest:
		return s.Submit(a, reply.(*wire.OrderReply))
	case *wire.CopyRequest:
		return s.Copy(a, reply.(*wire.CopyReply))
	case *wire.LookupRequest:
		return s.Lookup(a, reply.(*wire.LookupReply))
	default:
		return s.HandOver(args.(*wire.HandOverRequest), reply.(*wire.HandOverReply))
	}
}

func newReply(r any) any { return reflect.New(reflect.TypeOf(r).Elem()).Interface() }
