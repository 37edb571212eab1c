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

// hostileRetry retries whatever did not run completely, so that only the
// recorded key stands between an order and a second dispatch.
type hostileRetry struct{}

func (hostileRetry) Name() string { return "retry" }

func (hostileRetry) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	out := next.Handle(ctx, x)
	for range 2 {
		if out.Verdict != verdict.Ran {
			out = next.Handle(ctx, x)
		}
	}
	return out
}

// admit grants a slot, late or not at all as the request's plan says.
type admit struct{ h *host }

func (admit) Name() string { return "admission" }

func (a admit) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	switch plan(x.Request, "Test-Admission", 0) {
	case 'w':
		a.h.w.hold()
	case 'f':
		return filter.Refuse(verdict.ReasonOverload, nil)
	case 'p':
		panic("admission")
	}
	x.Grant = &filter.Grant{Server: &manifest.BackendServer{Name: "desk-1"}, StartBy: a.h.clock.Now().Add(time.Hour)}
	return next.Handle(ctx, x)
}

func (admit) Release(*filter.Grant, filter.Report) {}

// plan returns the n-th letter of a plan header, or 'o' for no fault.
func plan(r *filter.Request, name string, n int) byte {
	if v := r.Get(name); n < len(v) {
		return v[n]
	}
	return 'o'
}

// backend is the transport of one host.
type backend struct{ h *host }

func (b *backend) Do(ctx context.Context, a *filter.Attempt) filter.Result {
	key, w := a.Request.Get(filter.HeaderOrderKey), b.h.w
	w.mu.Lock()
	w.calls++
	what := plan(a.Request, "Test-Backend", w.calls%4)
	w.mu.Unlock()
	if what == 'h' {
		w.hold()
	}
	if what == 'c' || b.h.dead.Load() {
		return filter.Result{}
	}
	if err := a.BeforeFirstByte(); err != nil || what == 'u' {
		return filter.Result{Facts: verdict.Facts{Connected: true}, Err: err}
	}
	if what == 's' {
		return filter.Result{Facts: verdict.Facts{Connected: true, FirstByte: true, Written: true, ResponseState: verdict.ResponseShed}}
	}
	w.mu.Lock()
	if w.sent[key]++; w.sent[key] > 1 && key != "" {
		w.violate("key %s dispatched twice", key)
	}
	if w.notRun[key] {
		w.violate("key %s dispatched after not-run", key)
	}
	if what != 'n' {
		w.ran[key] = string(a.Request.Body)
	}
	w.mu.Unlock()
	sent := verdict.Facts{Connected: true, FirstByte: true, Written: true}
	switch what {
	case 'H':
		w.hold()
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
	if what == 'L' {
		body += string(bytes.Repeat([]byte("."), 300))
	}
	return filter.Result{Facts: sent, Response: &filter.Response{Status: 201, Body: []byte(body)}}
}

// network is the peer.Caller of one host.
type network struct{ from *host }

func (n *network) Call(ctx context.Context, _ peer.Class, address, method string, args, reply any) error {
	w, fault := n.from.w, byte('o')
	switch a := args.(type) {
	case *wire.OrderRequest:
		r := &filter.Request{}
		for _, h := range a.Headers {
			r.Headers = append(r.Headers, filter.Header(h))
		}
		fault = plan(r, "Test-Net", 0)
	case *wire.HandOverRequest:
		if f := n.from.transfer.Load(); a.Part == a.Parts-1 && f <= 'Z' { // upper case: the last part
			fault = byte(n.from.transfer.Swap('o')) + 'a' - 'A'
		} else if f > 'Z' {
			fault = byte(n.from.transfer.Swap('o'))
		}
	case *wire.CopyRequest:
		w.mu.Lock()
		w.calls++
		fault = w.copyFault(w.calls)
		w.mu.Unlock()
	}
	w.mu.Lock()
	var to *host
	for _, h := range w.hosts {
		if h.address == address {
			to = h
		}
	}
	w.mu.Unlock()
	switch {
	case to == nil:
		w.mu.Lock()
		w.violate("call to %s, which is no member", address)
		w.mu.Unlock()
		return peer.ErrNotSent
	case to.dead.Load() || n.from.dead.Load() || fault == 'x':
		return peer.ErrNotSent
	case fault == 'l':
		return peer.ErrUnconfirmed
	case fault == 't':
		go func() { w.hold(); _ = deliver(to, args, newReply(reply)) }()
		return peer.ErrUnconfirmed
	case fault == 'd':
		go func() { w.hold(); _ = deliver(to, args, newReply(reply)) }()
	}
	own, done := newReply(reply), make(chan error, 1)
	go func() { done <- deliver(to, args, own) }()
	select {
	case err := <-done:
		if fault == 'r' || to.dead.Load() || n.from.dead.Load() {
			return peer.ErrUnconfirmed
		}
		reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(own).Elem())
		return err
	case <-ctx.Done():
		return peer.ErrUnconfirmed
	}
}

func deliver(to *host, args, reply any) error {
	if to.dead.Load() {
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
