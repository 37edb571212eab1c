package front

import (
	"crypto/tls"
	"expvar"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

const (
	// maxRefusals limits the connections that are being refused concurrently; further
	// ones are closed without a response.
	maxRefusals = 64
	// refusalTimeout limits how long a refused caller may take to read the response.
	refusalTimeout = 250 * time.Millisecond
	// writeChunk is the number of bytes that a caller must read within one write
	// timeout, so that a slow caller gets a large response and a stalled one is
	// disconnected. At the default timeout of 10 s this is 6.4 KiB a second.
	writeChunk = 64 << 10
)

// listener limits the callers' connections and keeps a set of them, so that a shutdown
// that reaches its time limit can close them. The lock is taken when a connection opens
// or closes, never per request.
type listener struct {
	net.Listener
	writeTimeout time.Duration // time limit for each writeChunk bytes
	limit        int64
	open         atomic.Int64
	refused      *expvar.Int
	refusals     chan struct{} // one element for each refusal in progress

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

func newListener(l net.Listener, limit int64, writeTimeout time.Duration, refused *expvar.Int) *listener {
	return &listener{
		Listener: l, writeTimeout: writeTimeout, limit: limit, refused: refused,
		refusals: make(chan struct{}, maxRefusals), conns: map[*callerConn]struct{}{},
	}
}

// Accept implements net.Listener. Connections beyond the limit get a response with a
// verdict and are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.limit {
			l.open.Add(-1)
			l.refused.Add(1)
			l.refuse(raw)
			continue
		}
		c := &callerConn{Conn: raw, listener: l}
		if s, ok := raw.(syscall.Conn); ok {
			c.raw, _ = s.SyscallConn()
		}
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

func (l *listener) refuse(raw net.Conn) {
	select {
	case l.refusals <- struct{}{}:
	default:
		_ = raw.Close()
		return
	}
	go func() {
		defer func() { _ = raw.Close(); <-l.refusals }()
		_ = raw.SetDeadline(time.Now().Add(refusalTimeout))
		out := filter.RefuseEarly(false, "", verdict.ReasonOverload, nil)
		_, _ = fmt.Fprintf(raw, "HTTP/1.1 %d Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n%s: %s\r\n%s: %s\r\n\r\n",
			out.Reason.Status(), filter.HeaderVerdict, out.Verdict, filter.HeaderReason, out.Reason)
		if t, ok := raw.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
		// Closing with unread bytes would reset the connection and lose the
		// response.
		_, _ = io.CopyN(io.Discard, raw, 64<<10)
	}()
}

func (l *listener) closeAll() {
	l.mu.Lock()
	remaining := make([]*callerConn, 0, len(l.conns))
	for c := range l.conns {
		remaining = append(remaining, c)
	}
	l.mu.Unlock()
	for _, c := range remaining {
		_ = c.Close()
	}
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	raw      syscall.RawConn // nil if the connection is not a socket
	listener *listener
	closed   atomic.Bool
	watcher  watch
}

// Write implements net.Conn with a time limit. Without it, a caller that does not read
// would hold its connection and the memory of its response, and delay a graceful
// shutdown.
func (c *callerConn) Write(p []byte) (n int, err error) {
	for {
		part := p[n:min(n+writeChunk, len(p))]
		if err := c.SetWriteDeadline(time.Now().Add(c.listener.writeTimeout)); err != nil {
			return n, err
		}
		m, err := c.Conn.Write(part)
		if n += m; err != nil || n == len(p) {
			return n, err
		}
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	}
	return c.Conn.Close()
}

// underlying returns the accepted connection below TLS, or nil.
func underlying(conn net.Conn) *callerConn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c, _ := conn.(*callerConn)
	return c
}
