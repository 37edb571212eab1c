package listen

import (
	"net"
	"net/netip"
	"sync"

	"github.com/anvilfront/anvilfront/internal/admission"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/metrics"
)

// Bounds are the bounds of the connections of one listener.
type Bounds struct {
	Connections *admission.Connections
	Clock       clock.Clock
	Refused     *metrics.Limit // new connections that were closed unread
	Closed      *metrics.Limit // connections that were closed for new ones
}

// Bounded returns a listener whose connections keep to the bounds: when they are reached, a
// connection that does not progress is closed in favour of a new one.
func Bounded(l net.Listener, b Bounds) net.Listener { return &boundedListener{l, b} }

type boundedListener struct {
	net.Listener
	Bounds
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := l.Clock.Now()
		admitted, closed, _ := l.Connections.Admit(RemoteAddress(conn), now, func() { _ = conn.Close() })
		if closed != admission.NotEvicted {
			l.Closed.Add(now)
		}
		if admitted == nil {
			l.Refused.Add(now)
			_ = conn.Close()
			continue
		}
		return &boundedConn{Conn: conn, listener: l, admitted: admitted}, nil
	}
}

// RemoteAddress returns the IP address of the client of a connection.
func RemoteAddress(conn net.Conn) netip.Addr {
	if a, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// boundedConn reports what an admitted connection does. A request counts as read until the
// first bytes of its response are written.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	admitted *admission.Connection
	reading  bool
	closing  sync.Once
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := c.listener.Clock.Now()
		if c.reading {
			c.admitted.Read(n, now)
		} else {
			c.reading = true
			c.admitted.Reading(now)
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.reading = false
	c.admitted.Running()
	c.admitted.Writing(len(p), c.listener.Clock.Now())
	n, err := c.Conn.Write(p)
	c.admitted.Written()
	c.admitted.Ended(c.listener.Clock.Now())
	return n, err
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.closing.Do(func() { c.listener.Connections.Done(c.admitted) })
	return c.Conn.Close()
}
