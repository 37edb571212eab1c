package callers

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/anvilfront/anvilfront/internal/bodies"
)

// errMemory means that the bodies of requests exceed Config.MaxBufferedBytes.
var errMemory = errors.New("the bodies of requests take up too much memory")

// memoryRetryAfter is the mean time after which a caller may send a body again that did not
// fit: about as long as others take to be received and handled.
const memoryRetryAfter = time.Second

// requestBody is the body of a request, and its memory until the request has ended.
type requestBody struct {
	data   []byte
	memory bodies.Reservation
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
