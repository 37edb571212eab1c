package responsehead

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// maxHeadBytes bounds the head of a response that is read from a connection of NewConn.
const maxHeadBytes = 16 << 10

// ErrTooLarge means that the head of a response does not fit into maxHeadBytes.
var ErrTooLarge = errors.New("the head of the response exceeds the size limit")

// SetDialer makes a transport of net/http, which is as lenient as fasthttp, check the heads
// of responses. It speaks HTTP/1.1 only.
func SetDialer(t *http.Transport, d *net.Dialer) {
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return NewConn(d.DialContext(ctx, network, address))
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return NewConn((&tls.Dialer{NetDialer: d, Config: t.TLSClientConfig}).DialContext(ctx, network, address))
	}
}

type conn struct {
	net.Conn
	r       *bufio.Reader
	headDue atomic.Bool // a request was sent, and the final head has not arrived
	left    int         // bytes of a checked head that are unread
	err     error       // of reads behind them
}

// NewConn takes the results of a dial and returns a connection whose Read fails at a broken
// head, or the error of the dial. Its client must not pipeline: it sends a request only after
// the whole response to the one before. Errors of Read: ErrStatus, ErrField, ErrTooLarge.
func NewConn(raw net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, r: bufio.NewReaderSize(raw, maxHeadBytes)}, nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.headDue.Store(true)
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.left == 0 && c.err != nil {
		return 0, c.err
	}
	// The read ahead of a response begins before its request is written.
	if _, err := c.r.Peek(1); err != nil {
		return 0, err
	}
	if c.left == 0 && c.headDue.Load() {
		c.checkHead()
	}
	if c.left > 0 {
		p = p[:min(len(p), c.left)]
	}
	n, err := c.r.Read(p)
	c.left = max(0, c.left-n)
	return n, err
}

// checkHead lets the sound lines of a head be read before its error: net/http sends a request
// again if the first byte of its response cannot be read.
func (c *conn) checkHead() {
	h, err := check(c.r)
	c.left, c.err = h.length, err
	if !h.complete && err == nil && c.r.Buffered() == c.r.Size() {
		c.left, c.err = c.r.Buffered(), ErrTooLarge
	}
	c.headDue.Store(h.informational)
}
