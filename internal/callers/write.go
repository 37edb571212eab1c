package callers

import (
	"bufio"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/filter"
)

const (
	// writeTimeout bounds writing writeBytes to a caller that does not read.
	writeTimeout = 10 * time.Second
	writeBytes   = 64 << 10
)

// callerWriter writes to a caller, with a timeout for each writeBytes, and reports how long it waits.
type callerWriter struct{ *conn }

// Write implements io.Writer.
func (w callerWriter) Write(p []byte) (written int, err error) {
	for len(p) > 0 && err == nil {
		part, n := p[:min(len(p), writeBytes)], 0
		w.admitted.Writing(len(part), w.server.Clock.Now())
		if err = w.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)); err == nil {
			n, err = w.netConn.Write(part)
		}
		w.admitted.Written()
		written, p = written+n, p[n:]
	}
	return written, err
}

// writers holds write buffers. A connection needs one only while it sends a response.
var writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// write writes a response. A caller that does not receive it in time counts as
// disconnected.
func (c *conn) write(r *filter.Request, out *filter.Outcome, closeConn bool) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.Header.SetNoDefaultContentType(true)
	resp.Header.DisableNormalizing()
	c.server.Codec.Encode(resp, r, out)
	resp.SkipBody = r != nil && r.Method == fasthttp.MethodHead
	if closeConn {
		resp.SetConnectionClose()
	}
	w := writers.Get().(*bufio.Writer)
	w.Reset(callerWriter{c})
	err := resp.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writers.Put(w)
	if err == nil {
		return
	}
	if out.Response != nil && out.Response.Rest != nil {
		c.abort(r, out.Response.Rest.Err())
		return
	}
	c.cancel()
	c.interruptRead()
}

// abort closes the connection after a part of a response, so that the caller does not
// take it for complete. cause is nil if the caller is the reason.
func (c *conn) abort(r *filter.Request, cause error) {
	c.cancel()
	_ = c.netConn.Close()
	if cause != nil {
		c.server.brokenOff.Add(1)
		c.server.Log.Info("The response of a backend server broke off after its first part was forwarded. The connection to the caller was closed.",
			zap.String("id", r.ID), zap.Error(cause))
	}
}
