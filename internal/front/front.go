// Package front is the listener for callers. It copies requests out of fiber,
// runs the chain and encodes outcomes; it takes no decisions.
package front

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/settings"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// KeyIssuer issues order keys. Errors are *verdict.Error.
type KeyIssuer interface {
	Issue(n int) ([]string, error)
}

// Options are what a Front is built from.
type Options struct {
	Settings *settings.Settings
	Chain    filter.Handler
	Keys     KeyIssuer // nil: order keys are not offered
	Store    *state.Store
	Clock    clock.Clock
	Counters *metrics.Counters
	TLS      *tls.Config // nil: plain HTTP
}

// Front serves callers.
type Front struct {
	Options
	app      *fiber.App
	listener *listener
}

// New returns a front end that serves callers on l.
func New(o Options, l net.Listener) *Front {
	s := o.Settings
	f := &Front{Options: o}
	f.listener = newListener(l, int64(s.MaxConnections), time.Duration(s.ReadTimeout), o.Counters.Int("front.connections_refused"))
	f.app = fiber.New(fiber.Config{
		BodyLimit: s.MaxBodyBytes, ReadBufferSize: s.MaxHeaderBytes,
		// The listener bounds connections, with an answer that carries a
		// verdict; fasthttp's own limit must stay out of reach.
		Concurrency: s.MaxConnections + refusing + 1,
		IdleTimeout: time.Duration(s.IdleTimeout), ReadTimeout: time.Duration(s.ReadTimeout),
		DisableDefaultContentType: true, DisableDefaultDate: true, DisablePreParseMultipartForm: true,
		ErrorHandler: f.fiberError, AppName: "anvilfront",
	})
	// fiber's handler of read errors would run the middleware, and with it the
	// chain, on the part of a request that was read.
	f.app.Server().ErrorHandler = f.readError
	f.app.Server().CloseOnShutdown = true
	f.app.Server().Handler = f.marked(f.app.Server().Handler)
	f.app.Post("/.anvilfront/order-keys", f.issue)
	f.app.Use(f.handle)
	return f
}

// Serve serves callers until Shutdown.
func (f *Front) Serve() error {
	var l net.Listener = f.listener
	if f.TLS != nil {
		l = tls.NewListener(l, f.TLS)
	}
	return f.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown stops accepting and waits until every answer is written or ctx ends.
// Then it closes what is left.
func (f *Front) Shutdown(ctx context.Context) error {
	err := f.app.ShutdownWithContext(ctx)
	f.listener.closeAll()
	return err
}

func (f *Front) handle(c fiber.Ctx) error {
	arrived := f.Clock.Now()
	raw := c.Request()
	if err := checkFraming(&raw.Header); err != nil {
		raw.Header.SetConnectionClose()
		c.Response().SetConnectionClose()
		return f.refuse(c.RequestCtx(), filter.RefuseEarly(true, orderKey(&raw.Header), verdict.ReasonBadRequest, err), 0)
	}
	r, err := copyRequest(raw)
	if err != nil {
		return f.refuse(c.RequestCtx(), filter.RefuseEarly(true, orderKey(&raw.Header), verdict.ReasonBadRequest, err), 0)
	}
	x := &filter.Exchange{Snapshot: f.Store.Load(), Request: r, Arrived: arrived}
	x.Key = r.Get(filter.HeaderOrderKey)
	x.Nested = r.Get(filter.HeaderRetryBudget) != ""
	out := f.run(c, x)
	f.Counters.Verdict(out.Verdict)
	if want := r.Get(filter.HeaderWantKeys); want != "" {
		f.addKeys(c, want)
	}
	if out.Response == nil {
		return f.refuse(c.RequestCtx(), out, 0)
	}
	writeMarks(c.Response(), out)
	return writeResponse(c, out.Response)
}

// run runs the chain with a context that ends when the caller goes away. It
// does not derive from fasthttp's context, which ends when a graceful shutdown
// begins.
func (f *Front) run(c fiber.Ctx, x *filter.Exchange) (out filter.Outcome) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if conn := underlying(c.RequestCtx().Conn()); conn != nil {
		w := conn.watch(cancel)
		defer w.stop()
	}
	defer func() {
		if p := recover(); p != nil {
			f.Counters.Int("front.panics").Add(1)
			out = filter.Unknown(verdict.ReasonInternal, errors.Errorf("panic: %v", p))
		}
	}()
	return f.Chain.Handle(ctx, x)
}
