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
	// refusing bounds the connections that are being refused at the same time.
	refusing = 64
	// refuseTime bounds how long a refused caller may take to read its answer.
	refuseTime = 250 * time.Millisecond
	// writePart is the number of bytes for which a caller has one write time, so
	// that a slow caller gets a large answer and one that stalls is closed. At
	// the default of 10 s it is 6.4 KiB a second.
	writePart = 64 << 10
)

// listener bounds the callers' connections and keeps a list of them, so that a
// shutdown that reached its bound can end them. The lock is taken once per
// connection, never per request.
type listener struct {
	net.Listener
	writeTime time.Duration // a caller must read writePart bytes within it
	limit     int64
	open      atomic.Int64
	refused   *expvar.Int
	slots     chan struct{}

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

func newListener(l net.Listener, limit int64, writeTime time.Duration, refused *expvar.Int) *listener {
	return &listener{
		Listener: l, writeTime: writeTime, limit: limit, refused: refused,
		slots: make(chan struct{}, refusing), conns: map[*callerConn]struct{}{},
	}
}

// Accept implements net.Listener. Connections beyond the limit get an answer
// with a verdict and are closed.
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
	case l.slots <- struct{}{}:
	default:
		_ = raw.Close()
		return
	}
	go func() {
		defer func() { _ = raw.Close(); <-l.slots }()
		_ = raw.SetDeadline(time.Now().Add(refuseTime))
		out := filter.RefuseEarly(false, "", verdict.ReasonOverload, nil)
		_, _ = fmt.Fprintf(raw, "HTTP/1.1 %d Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n%s: %s\r\n%s: %s\r\n\r\n",
			out.Reason.Status(), filter.HeaderVerdict, out.Verdict, filter.HeaderReason, out.Reason)
		if t, ok := raw.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
		// Closing with unread bytes would reset the connection and lose the answer.
		_, _ = io.CopyN(io.Discard, raw, 64<<10)
	}()
}

func (l *listener) closeAll() {
	l.mu.Lock()
	left := make([]*callerConn, 0, len(l.conns))
	for c := range l.conns {
		left = append(left, c)
	}
	l.mu.Unlock()
	for _, c := range left {
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

// Write implements net.Conn. Without a bound a caller that does not read would
// keep its connection, its answer in memory and a graceful stop.
func (c *callerConn) Write(p []byte) (n int, err error) {
	for {
		part := p[n:min(n+writePart, len(p))]
		if err := c.SetWriteDeadline(time.Now().Add(c.listener.writeTime)); err != nil {
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
