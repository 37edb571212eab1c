package backend

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// readBuffer bounds the header of an answer in bytes; fasthttp needs the whole
// header in the buffer.
const readBuffer = 8 << 10

// conn is one connection to a backend server, used by one request at a time.
type conn struct {
	net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	raw       syscall.RawConn // nil if the connection is not a socket
	peek      func(fd uintptr) bool
	peeked    peeked // result of the last peek
	idleSince time.Time
	expires   time.Time // from the server's Keep-Alive; zero if it named no time

	first     bool        // a byte of the current request may have left
	broken    bool        // the peer closed or reset the connection
	answered  bool        // a byte of the answer arrived
	cancelled atomic.Bool // set from another goroutine on cancellation
	onCancel  func()      // cancel, kept to save an allocation per request
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.r, c.w = bufio.NewReaderSize(c, readBuffer), bufio.NewWriter(c)
	c.onCancel = c.cancel
	if s, ok := raw.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	var one [1]byte
	c.peek = func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			c.peeked = peekedQuiet
		case err == nil && n > 0:
			c.peeked = peekedBytes
		}
		return true
	}
	return c
}

// expired reports whether the server may close the idle connection any moment.
func (c *conn) expired(now time.Time) bool { return !c.expires.IsZero() && !now.Before(c.expires) }

// peeked is what an idle connection looks like before its next use.
type peeked uint8

const (
	peekedClosed peeked = iota // the server closed or reset it
	peekedBytes                // the server sent bytes nobody asked for
	peekedQuiet                // open, with nothing to read
)

// look returns the state of an idle connection, before the first byte of the
// next request leaves. It does not block.
func (c *conn) look() peeked {
	if c.raw == nil {
		return peekedQuiet
	}
	c.peeked = peekedClosed
	if c.raw.Read(c.peek) != nil {
		return peekedClosed
	}
	return c.peeked
}

// Write implements net.Conn and records that a byte may have left.
func (c *conn) Write(p []byte) (int, error) {
	c.first = true
	n, err := c.Conn.Write(p)
	c.note(err)
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.answered = true
	}
	c.note(err)
	return n, err
}

func (c *conn) note(err error) {
	if err == nil {
		return
	}
	if n, ok := errors.Into[net.Error](err); ok && n.Timeout() {
		return
	}
	c.broken = true
}

// cancel ends the current request's reads and writes.
func (c *conn) cancel() {
	c.cancelled.Store(true)
	_ = c.SetDeadline(time.Unix(1, 0))
}
