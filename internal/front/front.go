// Package front is the listener for callers. It copies requests out of fiber,
// runs the chain and encodes outcomes; it takes no decisions.
package front

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/settings"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Front serves callers.
type Front struct {
	app      *fiber.App
	chain    filter.Handler
	store    *state.Store
	clock    clock.Clock
	counters *metrics.Counters
}

// New returns a front end that runs chain.
func New(s *settings.Settings, chain filter.Handler, store *state.Store, c clock.Clock, m *metrics.Counters) *Front {
	f := &Front{chain: chain, store: store, clock: c, counters: m}
	f.app = fiber.New(fiber.Config{
		BodyLimit: s.MaxBodyBytes, ReadBufferSize: s.MaxHeaderBytes, Concurrency: s.MaxConnections,
		IdleTimeout: time.Duration(s.IdleTimeout), ReadTimeout: time.Duration(s.ReadTimeout),
		AppName: "anvilfront",
	})
	f.app.Use(f.handle)
	return f
}

// Serve serves callers on l until Shutdown.
func (f *Front) Serve(l net.Listener) error {
	return f.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown stops accepting and waits for requests in flight until ctx ends.
func (f *Front) Shutdown(ctx context.Context) error { return f.app.ShutdownWithContext(ctx) }

func (f *Front) handle(c fiber.Ctx) error {
	x := &filter.Exchange{Snapshot: f.store.Load(), Request: copyRequest(c), Arrived: f.clock.Now()}
	x.Key = x.Request.Get(filter.HeaderOrderKey)
	x.Nested = x.Request.Get(filter.HeaderRetryBudget) != ""
	out := f.chain.Handle(c.RequestCtx(), x)
	f.count(out)
	return write(c, out)
}

func (f *Front) count(out filter.Outcome) {
	f.counters.Verdict(out.Verdict)
	if out.Response == nil {
		f.counters.Refusal(out.Reason)
	}
}

func copyRequest(c fiber.Ctx) *filter.Request {
	raw := c.Request()
	r := &filter.Request{
		Method: string(raw.Header.Method()), Host: string(raw.Host()),
		Path: string(raw.URI().Path()), Query: string(raw.URI().QueryString()),
		Body: append([]byte(nil), raw.Body()...),
	}
	for k, v := range raw.Header.All() {
		if name := string(k); !hopByHop[name] {
			r.Headers = append(r.Headers, filter.Header{Name: name, Value: string(v)})
		}
	}
	return r
}

// hopByHop are the headers that end at a proxy (RFC 9110, 7.6.1), and those
// that are written anew.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

func write(c fiber.Ctx, out filter.Outcome) error {
	c.Set(filter.HeaderVerdict, out.Verdict.String())
	c.Set(filter.HeaderReason, out.Reason.String())
	if out.FreshKey != "" {
		c.Set(filter.HeaderOrderKey, out.FreshKey)
	}
	if out.Response == nil {
		return c.Status(refusalStatus(out)).SendString(out.Reason.Help() + "\n")
	}
	resp := c.Response()
	for _, h := range out.Response.Headers {
		if !hopByHop[h.Name] {
			resp.Header.Add(h.Name, h.Value)
		}
	}
	resp.Header.Set("Content-Type", out.Response.Get("Content-Type"))
	c.Status(out.Response.Status)
	resp.SetBodyRaw(out.Response.Body)
	return nil
}

func refusalStatus(out filter.Outcome) int {
	if out.Reason == verdict.ReasonNone {
		return fiber.StatusInternalServerError
	}
	return out.Reason.Status()
}
