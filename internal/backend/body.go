package backend

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/filter"
)

const (
	// holdBytes is the size up to which a response is held until it is complete, so that
	// one that breaks off can be replaced by a retry. Larger ones are forwarded while they
	// arrive.
	holdBytes = 1 << 20
	// probeBytes bounds the body of a response to a probe, of which only the head is used.
	probeBytes = 64 << 10
)

// stream implements filter.Body. It owns the connection until Close.
type stream struct {
	transport *Transport
	pool      *pool
	conn      *conn
	body      io.Reader
	stop      func() bool // stops the cancellation of the connection
	reusable  bool        // the connection may be reused after a complete body
	complete  bool
	err       error
	closed    atomic.Bool
}

var errStreamClosed = errors.New("the response was read after its request had ended")

// Read implements filter.Body.
func (s *stream) Read(p []byte) (int, error) {
	switch {
	case s.closed.Load():
		return 0, errStreamClosed
	case s.complete:
		return 0, io.EOF
	}
	n, err := s.body.Read(p)
	switch {
	case err == io.EOF:
		s.complete = true
	case err != nil && s.err == nil && !s.conn.cancelled.Load():
		s.err = err
	}
	return n, err
}

// Err implements filter.Body.
func (s *stream) Err() error { return s.err }

// Close implements filter.Body.
func (s *stream) Close() {
	if s.closed.Swap(true) {
		return
	}
	if !s.stop() || !s.complete || !s.reusable || !s.transport.putIdle(s.pool, s.conn) {
		s.pool.close(s.conn)
	}
}

var _ filter.Body = (*stream)(nil)
