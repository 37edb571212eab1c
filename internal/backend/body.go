package backend

import (
	"bufio"
	"io"
	"net/http/httputil"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/anvilfront/anvilfront/internal/filter"
)

const (
	// firstBufferBytes is the first buffer for a body. It does not follow the stated
	// length, which a faulty server may never send.
	firstBufferBytes = 4 << 10
	// holdBytes is the size up to which a response is held until it is complete, so that
	// one that breaks off can be replaced by a retry. Larger ones are forwarded while they
	// arrive.
	holdBytes = 1 << 20
	// probeBytes bounds the body of a response to a probe, of which only the head is used.
	probeBytes = 64 << 10
)

// newBodyReader returns a reader of the body after a response head. It returns io.EOF
// only after the marked end of the body.
func newBodyReader(resp *fasthttp.Response, r *bufio.Reader) io.Reader {
	switch length := resp.Header.ContentLength(); {
	case length >= 0:
		return &fixedBody{r: r, left: length}
	case length == -1:
		return &chunkedBody{r: r, chunks: httputil.NewChunkedReader(r), trailer: &resp.Header}
	}
	return r
}

// fixedBody reads a body of stated length.
type fixedBody struct {
	r    *bufio.Reader
	left int
}

// Read implements io.Reader.
func (b *fixedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	switch {
	case b.left == 0:
		return n, io.EOF
	case err == io.EOF:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody reads a body in chunks and its trailer.
type chunkedBody struct {
	r       *bufio.Reader
	chunks  io.Reader
	trailer *fasthttp.ResponseHeader
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.trailer.ReadTrailer(b.r); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF // the last chunk alone does not end the body
		}
		return n, err
	}
	return n, io.EOF
}

// heldMemory counts the memory that one response takes up in Transport.largeBytes.
type heldMemory struct {
	transport *Transport
	bytes     int64 // counted there
}

// grow counts a buffer of the given size in place of the last one. It returns false,
// and counts nothing more, if large responses take up too much memory.
func (m *heldMemory) grow(size int) bool {
	more := int64(size) - freeResponseBytes - m.bytes
	if more <= 0 {
		return true
	}
	if m.transport.largeBytes.Add(more) > m.transport.options.MaxBufferedBytes {
		m.transport.largeBytes.Add(-more)
		return false
	}
	m.bytes += more
	return true
}

func (m *heldMemory) release() {
	m.transport.largeBytes.Add(-m.bytes)
	m.bytes = 0
}

// hold reads a body of the stated length, or -1, into memory, up to limit bytes.
// complete is false if the limit or the memory of all large responses was reached before
// the end of the body.
func hold(body io.Reader, length, limit int, memory *heldMemory) (held []byte, complete bool, err error) {
	if length == 0 {
		return nil, true, nil
	}
	most := limit
	if length > 0 {
		most = min(most, length)
	}
	for {
		if len(held) == cap(held) {
			if len(held) >= limit {
				return held, false, nil
			}
			size := min(max(2*cap(held), firstBufferBytes), most)
			if !memory.grow(size) {
				return held, false, nil
			}
			held = append(make([]byte, 0, size), held...)
		}
		n, err := body.Read(held[len(held):cap(held)])
		held = held[:len(held)+n]
		if err == io.EOF {
			return held, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

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
