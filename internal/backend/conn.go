package backend

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// readBufferBytes limits the header of a response; fasthttp needs the whole header in
// the buffer.
const readBufferBytes = 8 << 10

// conn is one connection to a backend server, used by one request at a time.
type conn struct {
	net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	raw       syscall.RawConn // nil if the connection is not a socket
	peek      func(fd uintptr) bool
	idleState idleState // set by peek
	idleSince time.Time
	expires   time.Time // from the server's Keep-Alive header; zero if it has no timeout

	used            bool        // a request was sent on it
	mayHaveSent     bool        // a byte of the current request may have been sent
	broken          bool        // the backend server closed or reset the connection
	responseStarted bool        // a byte of the response was received
	cancelled       atomic.Bool // set by another goroutine when the request is cancelled
	onCancel        func()      // the method value cancel, stored to save an allocation per request
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.r, c.w = bufio.NewReaderSize(c, readBufferBytes), bufio.NewWriter(c)
	c.onCancel = c.cancel
	if s, ok := raw.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	var one [1]byte
	c.peek = func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			c.idleState = idleStateQuiet
		case err == nil && n > 0:
			c.idleState = idleStateBytes
		}
		return true
	}
	return c
}

// expired reports whether the server's keep-alive timeout has passed, so that it may
// close the idle connection at any moment.
func (c *conn) expired(now time.Time) bool { return !c.expires.IsZero() && !now.Before(c.expires) }

// idleState is the state of an idle connection before its next use.
type idleState uint8

const (
	idleStateClosed idleState = iota // the server closed or reset it
	idleStateBytes                   // the server sent bytes that belong to no request
	idleStateQuiet                   // open, with nothing to read
)

// checkIdle returns the state of an idle connection, before the first byte of the
// next request is sent. It does not block.
func (c *conn) checkIdle() idleState {
	if c.raw == nil {
		return idleStateQuiet
	}
	c.idleState = idleStateClosed
	if c.raw.Read(c.peek) != nil {
		return idleStateClosed
	}
	return c.idleState
}

// Write implements net.Conn and records that a byte may have been sent.
func (c *conn) Write(p []byte) (int, error) {
	c.mayHaveSent = true
	n, err := c.Conn.Write(p)
	c.recordError(err)
	return n, err
}

// Read implements net.Conn and records that a response byte was received.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.responseStarted = true
	}
	c.recordError(err)
	return n, err
}

func (c *conn) recordError(err error) {
	if err == nil {
		return
	}
	if n, ok := errors.Into[net.Error](err); ok && n.Timeout() {
		return
	}
	c.broken = true
}

// cancel makes the reads and writes of the current request fail.
func (c *conn) cancel() {
	c.cancelled.Store(true)
	_ = c.SetDeadline(time.Unix(1, 0))
}
