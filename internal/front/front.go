// Package front is the HTTP front end for callers. It accepts connections, copies
// requests out of fiber, runs the filter chain and encodes outcomes as responses. It
// makes no decisions about requests: those are made by the chain.
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

// KeyIssuer issues order keys. Its errors are of type *verdict.Error.
type KeyIssuer interface {
	Issue(n int) ([]string, error)
}

// Options contains the dependencies of a Front.
type Options struct {
	Settings *settings.Settings
	Chain    filter.Handler
	Keys     KeyIssuer // nil: order keys are not issued
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
		// The listener limits connections and refuses with a response that contains
		// a verdict, so fasthttp's own limit must never be reached.
		Concurrency: s.MaxConnections + maxRefusals + 1,
		IdleTimeout: time.Duration(s.IdleTimeout), ReadTimeout: time.Duration(s.ReadTimeout),
		DisableDefaultContentType: true, DisableDefaultDate: true, DisablePreParseMultipartForm: true,
		ErrorHandler: f.fiberError, AppName: "anvilfront",
	})
	// fiber's handler for read errors would run the middleware, and with it the
	// chain, on a partially read request.
	f.app.Server().ErrorHandler = f.readError
	f.app.Server().CloseOnShutdown = true
	f.app.Server().Handler = f.addVerdict(f.app.Server().Handler)
	f.app.Post("/.anvilfront/order-keys", f.issue)
	f.app.Use(f.handle)
	return f
}

// Serve accepts and serves callers until Shutdown.
func (f *Front) Serve() error {
	var l net.Listener = f.listener
	if f.TLS != nil {
		l = tls.NewListener(l, f.TLS)
	}
	return f.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown stops accepting and waits until every response is written or ctx ends. Then
// it closes the remaining connections.
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
	writeVerdictHeaders(c.Response(), out)
	return writeResponse(c, out.Response)
}

// run runs the chain with a context that ends when the caller closes the connection.
// The context is not derived from fasthttp's, which ends when a graceful shutdown
// begins. A panic of the chain is counted and becomes an outcome.
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
