// Package fake holds small stand-ins for what surrounds an entry host: backend
// servers and the platform's configuration service.
package fake

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Backend is a fake backend server.
type Backend struct {
	Slots       int
	ServiceTime time.Duration
	Instance    string
	inflight    atomic.Int64
	runs        atomic.Int64
	listener    net.Listener
	server      *fasthttp.Server
}

// Start listens on a free loopback port and serves.
func (b *Backend) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.listener = l
	b.server = &fasthttp.Server{Handler: b.handle}
	go func() { _ = b.server.Serve(l) }()
	return nil
}

// Address returns IP:port.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// Runs returns how many requests ran.
func (b *Backend) Runs() int64 { return b.runs.Load() }

// Stop stops the server.
func (b *Backend) Stop() error { return b.server.Shutdown() }

func (b *Backend) handle(ctx *fasthttp.RequestCtx) {
	n := b.inflight.Add(1)
	defer b.inflight.Add(-1)
	ctx.Response.Header.Set("Backend-Instance", b.Instance)
	ctx.Response.Header.Set("Backend-Load", strconv.FormatInt(n, 10)+"/"+strconv.Itoa(b.Slots))
	if n > int64(b.Slots) {
		ctx.Response.Header.Set("Backend-Shed", "not-run")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	time.Sleep(b.ServiceTime)
	b.runs.Add(1)
	ctx.SetBodyString("ok " + string(ctx.Path()) + "\n")
}
