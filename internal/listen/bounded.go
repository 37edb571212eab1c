package listen

import (
	"net"
	"net/netip"
	"sync"
	"time"

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

const (
	// admitWait is how long a new connection waits before others are looked at again, and
	// admitTries how often, before it is refused. Those that arrive meanwhile wait in the
	// listener's queue, so that a crowd that reconnects does not pass the others.
	admitWait  = 100 * time.Millisecond
	admitTries = 10
)

// Bounded returns a listener whose connections keep to the bounds: when they are reached, a
// connection that does not progress is closed in favour of a new one.
func Bounded(l net.Listener, b Bounds) net.Listener {
	return &boundedListener{Listener: l, Bounds: b, ended: make(chan struct{}, 1)}
}

type boundedListener struct {
	net.Listener
	Bounds
	ended chan struct{} // receives after the end of a connection
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.admit(conn); admitted != nil {
			return &boundedConn{Conn: conn, listener: l, admitted: admitted}, nil
		}
		l.Refused.Add(l.Clock.Now())
		_ = conn.Close()
	}
}

// admit waits until there is room for a connection. The result is nil if there is none.
func (l *boundedListener) admit(conn net.Conn) *admission.Connection {
	timer := time.NewTimer(admitWait)
	defer timer.Stop()
	for range admitTries {
		now := l.Clock.Now()
		admitted, closed, _ := l.Connections.Admit(RemoteAddress(conn), now, func() { _ = conn.Close() })
		if closed != admission.NotEvicted {
			l.Closed.Add(now)
		}
		if admitted != nil {
			return admitted
		}
		select {
		case <-l.ended:
		case <-timer.C:
			timer.Reset(admitWait)
		}
	}
	return nil
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
	c.closing.Do(func() {
		c.listener.Connections.Done(c.admitted)
		select {
		case c.listener.ended <- struct{}{}:
		default: // Accept has not seen the last one yet
		}
	})
	return c.Conn.Close()
}
