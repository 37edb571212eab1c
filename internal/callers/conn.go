package callers

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// conn is a caller's connection. One goroutine reads requests, each request
// runs in its own, and answers are written in the order of the requests.
type conn struct {
	server *Server
	raw    net.Conn
	caller string // IP address
	r      *bufio.Reader
	w      *bufio.Writer
	ctx    context.Context // ends when the caller leaves
	cancel context.CancelFunc

	// newest is the number of the newest request that was taken, negative once an
	// answer told the caller that the connection ends.
	newest  atomic.Int64
	last    chan struct{} // closed when the newest request is answered; nil before the first
	running chan struct{} // places for requests that run at the same time
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, running: make(chan struct{}, maxPipelined)}
	c.r = bufio.NewReaderSize(raw, max(minReader, s.limits().HeaderBytes))
	c.w = bufio.NewWriter(raw)
	if a, ok := raw.RemoteAddr().(*net.TCPAddr); ok {
		c.caller = a.IP.String()
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// interrupt wakes the reader of a connection that is idle.
func (c *conn) interrupt() { _ = c.raw.SetReadDeadline(time.Unix(1, 0)) }

// run reads requests until the connection ends.
func (c *conn) run() {
	defer c.server.remove(c)
	graceful := c.read()
	if !graceful {
		c.cancel() // the caller left: its requests are not wanted any more
	}
	if c.last != nil {
		if graceful {
			c.watch()
		}
		<-c.last
	}
	c.cancel()
	if t, ok := c.raw.(*net.TCPConn); ok && graceful {
		c.linger(t)
	}
	_ = c.raw.Close()
}

// watch notices a caller that leaves before the last answer. start interrupts
// it when that is written.
func (c *conn) watch() {
	_ = c.raw.SetReadDeadline(time.Time{})
	select {
	case <-c.last:
		return
	default:
	}
	if _, err := c.r.Peek(1); err != nil && !timedOut(err) {
		c.cancel()
	}
}

const (
	// lingerTime and lingerBytes bound what is read after the last answer.
	// Closing with unread bytes would reset the connection and lose the answer.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
)

func (c *conn) linger(t *net.TCPConn) {
	if t.CloseWrite() != nil {
		return
	}
	_ = t.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.r, lingerBytes)
}

// read reads requests and starts them. It returns false when the caller left.
func (c *conn) read() (graceful bool) {
	for {
		limits := c.server.limits()
		if err := c.awaitRequest(limits); err != nil {
			return timedOut(err)
		}
		req := fasthttp.AcquireRequest()
		_ = c.raw.SetReadDeadline(time.Now().Add(time.Duration(limits.HeaderTime)))
		if out := c.readRequest(req, limits); out != nil {
			fasthttp.ReleaseRequest(req)
			if out.Reason == verdict.ReasonCallerGone {
				return false
			}
			c.start(nil, out, true)
			return true
		}
		_ = c.raw.SetReadDeadline(time.Time{})
		r, refusal := c.server.Codec.Decode(req)
		r.Caller = c.caller
		end := req.ConnectionClose() || c.server.ending.Load()
		alone := !req.Header.IsGet() && !req.Header.IsHead()
		fasthttp.ReleaseRequest(req)
		if alone && c.last != nil {
			<-c.last // only idempotent requests run side by side
		}
		if !c.take() {
			return true // sent before the caller saw the last answer; it is not run
		}
		c.running <- struct{}{}
		c.start(r, refusal, end)
		if end {
			return true
		}
	}
}

// take counts a request that was read. It returns false when the connection was
// ended by an answer meanwhile.
func (c *conn) take() bool {
	n := c.newest.Load()
	return n >= 0 && c.newest.CompareAndSwap(n, n+1)
}

// finish ends the connection with the answer to request n, unless a later one
// was taken.
func (c *conn) finish(n int64) bool { return c.newest.CompareAndSwap(n, -n) }

// awaitRequest waits for the first byte of the next request. An error that is a
// timeout means that the connection stayed idle, or that the server drains.
func (c *conn) awaitRequest(limits manifest.Limits) error {
	if c.r.Buffered() > 0 {
		return nil
	}
	for {
		_ = c.raw.SetReadDeadline(time.Now().Add(time.Duration(limits.IdleTime)))
		if c.server.draining.Load() {
			// Drain may have set the flag before the deadline above replaced its
			// interruption. A first request of a new connection is still awaited.
			if c.last != nil {
				return os.ErrDeadlineExceeded
			}
		}
		_, err := c.r.Peek(1)
		if err == nil || !timedOut(err) || c.server.draining.Load() {
			return err
		}
		if len(c.running) == 0 {
			return err
		}
		// A request of this connection still runs: it is not idle.
	}
}

func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// readRequest reads one request. The result is nil, or refuses it.
func (c *conn) readRequest(req *fasthttp.Request, limits manifest.Limits) *filter.Outcome {
	err := req.Header.Read(c.r)
	if err == nil {
		if req.MayContinue() {
			if _, werr := c.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); werr != nil {
				return refusal(verdict.ReasonCallerGone, werr)
			}
		}
		if c.server.held.Load()+int64(req.Header.ContentLength()) > c.server.MaxBufferedBytes {
			return refusal(verdict.ReasonOverload, nil)
		}
		err = req.ContinueReadBody(c.r, limits.BodyBytes, false)
	}
	if err == nil {
		return nil
	}
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		return refusal(verdict.ReasonHeaderTooLarge, err)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return refusal(verdict.ReasonTooLarge, err)
	case timedOut(err):
		return refusal(verdict.ReasonRequestTimeout, err)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isReset(err):
		return refusal(verdict.ReasonCallerGone, err)
	}
	return refusal(verdict.ReasonBadRequest, err)
}

func isReset(err error) bool {
	_, ok := errors.Into[*net.OpError](err)
	return ok
}

func refusal(r verdict.Reason, err error) *filter.Outcome {
	out := filter.Refuse(r, err)
	return &out
}

// start runs a request beside the reader. refused is set when it is answered
// without the chain; end when the connection ends after its answer.
func (c *conn) start(r *filter.Request, refused *filter.Outcome, end bool) {
	before, done, number := c.last, make(chan struct{}), c.newest.Load()
	size := int64(0)
	if r != nil {
		size = int64(len(r.Body))
	}
	c.server.held.Add(size)
	c.last = done
	c.server.active.Add(1)
	go func() {
		defer c.server.answered()
		defer c.server.held.Add(-size)
		defer func() {
			close(done)
			if end {
				c.interrupt() // ends watch
			}
		}()
		x := &filter.Exchange{Snapshot: c.server.Store.Load(), Request: r, Arrived: c.server.Clock.Now()}
		out := refused
		if out == nil {
			o := c.handle(x)
			out = &o
		}
		c.server.Observe(x, out)
		if before != nil {
			<-before
		}
		if !end && c.server.ending.Load() {
			end = c.finish(number)
		}
		if c.ctx.Err() == nil {
			c.write(r, out, end)
		}
		if r != nil {
			<-c.running
		}
	}()
}

func (c *conn) handle(x *filter.Exchange) (out filter.Outcome) {
	defer func() {
		if p := recover(); p != nil {
			c.server.Log.Error("A request panicked.", zap.Any("panic", p), zap.Stack("stack"))
			out = filter.Unknown(verdict.ReasonInternal, errors.Errorf("panic: %v", p))
		}
	}()
	return c.server.Chain.Handle(c.ctx, x)
}

// write writes an answer. A caller that does not take it is gone.
func (c *conn) write(r *filter.Request, out *filter.Outcome, end bool) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.Header.SetNoDefaultContentType(true)
	resp.Header.DisableNormalizing()
	c.server.Codec.Encode(resp, r, out)
	resp.SkipBody = r != nil && r.Method == fasthttp.MethodHead
	if end {
		resp.SetConnectionClose()
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTime))
	err := resp.Write(c.w)
	if err == nil {
		err = c.w.Flush()
	}
	if err != nil {
		c.cancel()
		c.interrupt()
	}
}
