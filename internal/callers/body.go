package callers

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/anvilfront/anvilfront/internal/admission"
	"github.com/anvilfront/anvilfront/internal/bodies"
)

// errMemory means that the bodies of requests exceed Config.MaxBufferedBytes.
var errMemory = errors.New("the bodies of requests take up too much memory")

// memoryRetryAfter is the mean time after which a caller may send a body again that did not
// fit: about as long as others take to be received and handled.
const memoryRetryAfter = time.Second

// requestBody is the body of a request, and the memory of the request until it has ended.
type requestBody struct {
	data   []byte
	memory bodies.Reservation
	head   requestMemory
}

// release gives back the memory of the request.
func (b *requestBody) release() {
	b.memory.Release()
	b.head.release()
}

// requestMemory is the memory of a request without its body. The zero value holds none.
type requestMemory struct {
	conn  *conn
	bytes int64
}

// release gives back the memory.
func (m *requestMemory) release() {
	if m.conn == nil {
		return
	}
	m.conn.inFlightBytes.Add(-m.bytes)
	m.conn.server.Requests.Give(m.conn.admitted.Client, m.bytes)
	m.conn = nil
}

// releaseRequest returns a message to its pool, but for a large one, whose fields would stay
// in memory.
func releaseRequest(req *fasthttp.Request, cost int64) {
	if cost <= admission.LargeRequest {
		fasthttp.ReleaseRequest(req)
	}
}

// readBody reads the body of a request whose header was read. The memory of a body of stated
// length is reserved before its first byte is read, so that a request that cannot be held is
// refused at once.
func (c *conn) readBody(req *fasthttp.Request, limit int, body *requestBody) error {
	length := req.Header.ContentLength()
	if length < -1 {
		length = 0 // a request without a length has no body
	}
	switch {
	case length > limit:
		return fasthttp.ErrBodyTooLarge
	case length > 0 && !body.memory.Grow(length):
		return errMemory
	}
	if req.MayContinue() {
		if _, err := c.netConn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	// One byte more than the limit tells a body that ends there from one that goes on.
	held, complete, err := bodies.Hold(bodies.NewReader(c.r, length, &req.Header), length, limit+1, &body.memory)
	switch {
	case err != nil:
		return err
	case len(held) > limit:
		return fasthttp.ErrBodyTooLarge
	case !complete:
		return errMemory
	}
	body.data = held
	return nil
}
