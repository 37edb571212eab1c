package callers

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/admission"
	"github.com/anvilfront/anvilfront/internal/bodies"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/listen"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// conn is a connection of a caller. One goroutine reads requests, each request runs
// in its own goroutine, and responses are written in the order of the requests.
type conn struct {
	server  *Server
	netConn net.Conn
	caller  string // IP address
	address netip.Addr
	input   io.Reader // netConn, with reports to admitted
	r       *bufio.Reader
	ctx     context.Context // canceled when the caller disconnects
	cancel  context.CancelFunc

	admitted      *admission.Connection
	firstReader   *bufio.Reader // r, but while a large head is read
	inFlightBytes atomic.Int64  // memory of the requests in flight, without bodies

	// newestRequest is the number of the newest accepted request. It is negative once
	// a response announces to the caller that the connection closes.
	newestRequest atomic.Int64
	lastDone      chan struct{} // closed when the newest request is done; nil before the first request
	pipelineSlots chan struct{} // one element for each concurrent request

	unread int // bytes that the caller may still send of a refused body; used by run's goroutine
}

func newConn(s *Server, netConn net.Conn) *conn {
	c := &conn{server: s, netConn: netConn, address: listen.RemoteAddress(netConn), pipelineSlots: make(chan struct{}, maxPipelined)}
	c.input = callerReader{c}
	c.firstReader = bufio.NewReaderSize(c.input, minReadBufferBytes)
	c.r = c.firstReader
	if c.address.IsValid() {
		c.caller = c.address.String()
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// interruptRead wakes a pending read of the connection with a timeout error.
func (c *conn) interruptRead() { _ = c.netConn.SetReadDeadline(time.Unix(1, 0)) }

// run reads requests until the connection ends.
func (c *conn) run() {
	defer c.server.remove(c)
	graceful := false
	if p := panics.Try(func() { graceful = c.read() }); p != nil {
		c.logPanic("Reading a request panicked. Its connection is closed.", p)
	}
	if !graceful {
		c.cancel() // the caller disconnected and no longer waits for its requests
	}
	if c.lastDone != nil {
		if graceful {
			c.watchForDisconnect()
		}
		<-c.lastDone
	}
	c.cancel()
	if t, ok := c.netConn.(*net.TCPConn); ok && graceful {
		c.linger(t)
	}
	_ = c.netConn.Close()
}

// watchForDisconnect cancels the requests when the caller disconnects before the
// last response. start interrupts it when that response is written.
func (c *conn) watchForDisconnect() {
	_ = c.netConn.SetReadDeadline(time.Time{})
	select {
	case <-c.lastDone:
		return
	default:
	}
	if _, err := c.r.Peek(1); err != nil && !timedOut(err) {
		c.cancel()
	}
}

const (
	// lingerTimeout and lingerBytes bound the data that is read and discarded after
	// the last response. Closing a connection with unread data would reset it and
	// lose the response. The rest of a refused body is discarded for as long as reading
	// it may take.
	lingerTimeout = 200 * time.Millisecond
	lingerBytes   = 256 << 10
)

func (c *conn) linger(t *net.TCPConn) {
	if t.CloseWrite() != nil {
		return
	}
	timeout := lingerTimeout
	if c.unread > 0 {
		timeout = max(timeout, time.Duration(c.server.limits().HeaderTime))
	}
	_ = t.SetReadDeadline(time.Now().Add(timeout))
	_, _ = io.CopyN(io.Discard, c.r, int64(lingerBytes+c.unread))
}

// read reads requests and starts them. It returns false when the caller
// disconnected.
func (c *conn) read() (graceful bool) {
	for {
		limits := c.server.limits()
		if err := c.awaitRequest(limits); err != nil {
			return timedOut(err)
		}
		if last, graceful := c.readOne(limits); last {
			return graceful
		}
	}
}

// readOne reads one request and starts it. last is true if no other request is read from
// the connection; graceful is as for read.
func (c *conn) readOne(limits manifest.Limits) (last, graceful bool) {
	body := requestBody{memory: bodies.Reservation{Account: c.server.memory}}
	defer func() { body.memory.Release() }() // unless the request has taken it over
	c.admitted.Reading(c.server.Clock.Now())
	_ = c.netConn.SetReadDeadline(time.Now().Add(time.Duration(limits.HeaderTime)))
	cost := c.awaitHead(limits)
	if c.inFlightBytes.Load() > 0 {
		c.awaitPipelineRoom(cost)
		_ = c.netConn.SetReadDeadline(time.Now().Add(time.Duration(limits.HeaderTime)))
	}
	if out := c.admitRequest(cost); out != nil {
		c.start(nil, requestBody{}, out, true, false)
		return true, true
	}
	held := requestMemory{c, cost}
	defer func() { held.release() }() // as for body
	req := fasthttp.AcquireRequest()
	if out := c.readRequest(req, limits, &body); out != nil {
		releaseRequest(req, cost)
		if out.Reason == verdict.ReasonCallerGone {
			return true, false
		}
		c.start(nil, requestBody{}, out, true, false)
		return true, true
	}
	_ = c.netConn.SetReadDeadline(time.Time{})
	r, refusal := c.server.Codec.Decode(req)
	r.Caller, r.Body = c.caller, body.data
	closeConn := req.ConnectionClose() || c.server.keepAliveDisabled.Load()
	chunks := req.Header.IsHTTP11()
	sequential := !req.Header.IsGet() && !req.Header.IsHead()
	releaseRequest(req, cost)
	if sequential && c.lastDone != nil {
		<-c.lastDone // only idempotent requests run concurrently
	}
	if !c.acceptRequest() {
		return true, true // sent before the caller received the last response; not run
	}
	c.pipelineSlots <- struct{}{}
	started := body
	started.head = held
	body, held = requestBody{}, requestMemory{}
	c.start(r, started, refusal, closeConn, chunks)
	return closeConn, true
}

// acceptRequest counts a request that was read. It returns false when a response
// has announced the end of the connection meanwhile.
func (c *conn) acceptRequest() bool {
	n := c.newestRequest.Load()
	return n >= 0 && c.newestRequest.CompareAndSwap(n, n+1)
}

// endAfter makes the response to request n the last one of the connection, unless a
// later request was accepted.
func (c *conn) endAfter(n int64) bool { return c.newestRequest.CompareAndSwap(n, -n) }

// awaitRequest waits for the first byte of the next request. A timeout error means
// that the connection was idle for too long, or that the server drains.
func (c *conn) awaitRequest(limits manifest.Limits) error {
	if c.r.Buffered() > 0 {
		return nil
	}
	c.shrinkBuffer()
	c.admitted.Idle(c.server.Clock.Now())
	for {
		_ = c.netConn.SetReadDeadline(time.Now().Add(time.Duration(limits.IdleTime)))
		if c.server.draining.Load() {
			// Drain may have set the flag and interrupted the read before the deadline
			// above replaced the interrupting one. The first request of a new
			// connection is still awaited.
			if c.lastDone != nil {
				return os.ErrDeadlineExceeded
			}
		}
		_, err := c.r.Peek(1)
		if err == nil || !timedOut(err) || c.server.draining.Load() {
			return err
		}
		if len(c.pipelineSlots) == 0 {
			return err
		}
		// The connection is not idle: a request of it is still in flight.
	}
}

func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// readRequest reads the header of a request into req, and its body. It returns nil, or the
// outcome that refuses the request.
func (c *conn) readRequest(req *fasthttp.Request, limits manifest.Limits, body *requestBody) *filter.Outcome {
	err := req.Header.Read(c.r)
	if err == nil {
		err = c.readBody(req, limits.BodyBytes, body)
	}
	if err == nil {
		return nil
	}
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		return refusal(verdict.ReasonHeaderTooLarge, errHeaderTooLarge)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		c.unread = limits.BodyBytes
		return refusal(verdict.ReasonTooLarge, err)
	case errors.Is(err, errMemory):
		c.unread = limits.BodyBytes
		c.server.refusedBodies.Add(1)
		out := refusal(verdict.ReasonOverload, err)
		out.RetryAfter = memoryRetryAfter/2 + rand.N(memoryRetryAfter)
		return out
	case timedOut(err):
		return refusal(verdict.ReasonRequestTimeout, os.ErrDeadlineExceeded)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return refusal(verdict.ReasonCallerGone, io.ErrUnexpectedEOF)
	case isNetworkError(err):
		cause, _ := errors.Into[*net.OpError](err)
		return refusal(verdict.ReasonCallerGone, cause)
	}
	return refusal(verdict.ReasonBadRequest, errMalformed)
}

// Causes in place of the errors of fasthttp, which quote the header: it may contain the key
// of an account, and causes are logged.
var (
	errHeaderTooLarge = errors.New("the header does not fit into the read buffer")
	errMalformed      = errors.New("the header or the body cannot be parsed")
)

func isNetworkError(err error) bool {
	_, ok := errors.Into[*net.OpError](err)
	return ok
}

func refusal(r verdict.Reason, err error) *filter.Outcome {
	out := filter.Refuse(r, err)
	return &out
}

// start runs a request in its own goroutine. A non-nil refusal is the outcome of the
// request, which then does not enter the chain. closeConn is set when the connection
// closes after the response. chunks is set when the caller accepts a response in chunks,
// which one of unknown length needs.
func (c *conn) start(r *filter.Request, body requestBody, refusal *filter.Outcome, closeConn, chunks bool) {
	previousDone, done, number := c.lastDone, make(chan struct{}), c.newestRequest.Load()
	c.lastDone = done
	c.server.inFlight.Add(1)
	c.admitted.Running()
	go func() {
		defer c.server.requestDone()
		defer body.release()
		defer func() { c.admitted.Ended(c.server.Clock.Now()) }()
		defer func() {
			if p := recover(); p != nil {
				recovered := panics.NewRecovered(1, p)
				c.logPanic("Writing a response panicked. Its connection is closed.", &recovered)
				c.cancel()
				_ = c.netConn.Close()
			}
		}()
		defer func() {
			close(done)
			if closeConn {
				c.interruptRead() // ends watchForDisconnect
			}
		}()
		x := &filter.Exchange{Snapshot: c.server.Store.Load(), Request: r, Arrived: c.server.Clock.Now()}
		if chunks {
			x.Cleanup = &filter.Cleanup{}
			defer x.Cleanup.Run()
		}
		out := refusal
		if out == nil {
			o := c.handle(x)
			out = &o
		}
		c.server.Observe(x, out)
		if previousDone != nil {
			<-previousDone
		}
		if !closeConn && c.server.keepAliveDisabled.Load() {
			closeConn = c.endAfter(number)
		}
		if c.ctx.Err() == nil {
			c.write(r, out, closeConn)
		}
		if r != nil {
			<-c.pipelineSlots
		}
	}()
}

func (c *conn) logPanic(message string, p *panics.Recovered) {
	c.server.panics.Add(1)
	c.server.Log.Error(message, zap.Error(p.AsError()))
}

func (c *conn) handle(x *filter.Exchange) (out filter.Outcome) {
	defer func() {
		if p := recover(); p != nil {
			recovered := panics.NewRecovered(1, p)
			c.logPanic("The handler of a request panicked. The request fails with an internal error.", &recovered)
			out = filter.Unknown(verdict.ReasonInternal, errors.Errorf("panic: %v", p))
		}
	}()
	return c.server.Chain.Handle(c.ctx, x)
}
