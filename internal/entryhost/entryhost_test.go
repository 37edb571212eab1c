package entryhost_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/entryhost"
	"github.com/anvilfront/anvilfront/internal/fake"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/localfleet"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/settings"
)

// TestRequestReachesBackendServer guards against a fault anywhere on the path of a
// request from a caller to a backend server and of the response back to the caller.
func TestRequestReachesBackendServer(t *testing.T) {
	is := is.New(t)
	b := &fake.Backend{Slots: 4, Instance: "a1"}
	is.NoErr(b.Start())
	defer func() { _ = b.Stop() }()
	m, err := manifest.Parse(fmt.Appendf(nil, `
revision = 1
[[data_centres]]
name = "ktm1"
region = "central"
[[services]]
name = "counter"
[[services.backend_servers]]
name = "counter-1"
address = %q
data_centre = "ktm1"
slots = 4
[[routes]]
name = "status"
path_prefix = "/status"
service = "counter"
idempotent = true
`, b.Address()))
	is.NoErr(err)
	s := settings.Default()
	s.Name, s.DataCentre, s.Plaintext = "eh1", "ktm1", true
	s.Listen, s.Peer, s.Operator = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Notice = 0
	e, err := entryhost.New(s, zap.NewNop())
	is.NoErr(err)
	e.ApplyManifest(m)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	is.NoErr(localfleet.Wait(ctx, func() bool { ready, _ := e.Ready(); return ready }))

	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + e.Address() + "/status/7")
	is.NoErr(fasthttp.Do(req, resp))
	is.Equal(resp.StatusCode(), 200)
	is.Equal(string(resp.Body()), "ok /status/7 \n")
	is.Equal(string(resp.Header.Peek(filter.HeaderVerdict)), "ran")
	is.Equal(b.Runs(), int64(1))

	req.SetRequestURI("http://" + e.Address() + "/unknown")
	is.NoErr(fasthttp.Do(req, resp))
	is.Equal(resp.StatusCode(), 404)
	is.Equal(string(resp.Header.Peek(filter.HeaderVerdict)), "not-run")
	cancel()
	is.NoErr(<-done)
}
