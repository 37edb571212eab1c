package listen

import (
	"net"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// failingListener fails as often as a process without free descriptors may.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServerOutlivesFailedAccept guards against an HTTP server, such as that of the readiness
// checks, that ends for good when accept fails once: the balancer would take the host for
// stopped.
func TestServerOutlivesFailedAccept(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := persistent(&failingListener{inner, 3})
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ready") }}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	status, body, err := fasthttp.Get(nil, "http://"+l.Addr().String()+"/")
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(string(body), "ready")
	is.NoErr(l.Close())
	is.NoErr(<-ended) // ends when it is closed
}

// TestCloseEndsAccept guards against an accept that goes on after the listener was closed
// while it fails.
func TestCloseEndsAccept(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := persistent(&failingListener{inner, 1 << 30})
	is.NoErr(l.Close())
	_, err = l.Accept()
	is.True(errors.Is(err, net.ErrClosed))
}
