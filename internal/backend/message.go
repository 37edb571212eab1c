package backend

import (
	"bufio"
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/anvilfront/anvilfront/internal/bodies"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/responsehead"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// maxInformational limits the informational (1xx) responses before the final one.
const maxInformational = 8

var (
	errNoLength      = errors.New("response without length: its end cannot be distinguished from truncation")
	errTrailingBytes = errors.New("unexpected bytes after the end of the response: its length is wrong")
	errUpgrade       = errors.New("response switches protocols")
	errInformational = errors.New("too many informational responses")
	errHeadTooLarge  = errors.New("the head of the response exceeds the size limit")
	// errResponsesTooLarge means that the responses that are being read exceed
	// Options.MaxBufferedBytes.
	errResponsesTooLarge = errors.New("large responses take up too much memory")
)

// exchange sends one request and reads its response. The second result reports whether
// the connection may be reused. With Response.Rest, the stream owns the connection.
func (t *Transport) exchange(ctx context.Context, p *pool, c *conn, a *filter.Attempt, deadline time.Time) (filter.Result, bool) {
	res := filter.Result{Facts: verdict.Facts{Connected: true}, Reused: c.used}
	c.mayHaveSent, c.broken, c.responseStarted = false, false, false
	if err := c.SetDeadline(deadline); err != nil {
		res.Err = err
		return res, false
	}
	stop := context.AfterFunc(ctx, c.onCancel)
	if ctx.Err() != nil {
		stop()
		res.Facts.Cancelled, res.Err = true, ctx.Err()
		return res, false
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	t.options.Dialect.Encode(req, a)
	resp.Header.SetNoDefaultContentType(true)
	if a.BeforeFirstByte != nil {
		if err := a.BeforeFirstByte(); err != nil {
			res.Err = err
			return res, stop()
		}
	}
	start := time.Now()
	c.used = true
	err := req.Write(c.w)
	if err == nil {
		err = c.w.Flush()
	}
	var body responseBody
	if err == nil {
		res.Facts.Written = true
		resp.SkipBody = a.Request.Method == fasthttp.MethodHead
		body, err = t.readMatchingResponse(resp, c.r, a, &res)
	}
	res.Facts.FirstByte = c.mayHaveSent
	res.ServiceTime = time.Since(start)
	if err != nil {
		stop()
		recordFailure(&res, c, err, deadline)
		return res, false
	}
	if a.Cleanup != nil {
		a.Cleanup.Add(body.memory.Release)
	} else {
		body.memory.Release()
	}
	res.Response = copyResponse(resp, body.held)
	reuse := res.Facts.ResponseState != verdict.ResponseForeign && !resp.ConnectionClose() && !res.TrailingBytes
	if res.Facts.ResponseState == verdict.ResponseShed && !res.Identified {
		reuse = false // the server may send it once more, in response to another request
	}
	if timeout, ok := keepAliveTimeout(resp); ok {
		c.expires = time.Now().Add(timeout)
	}
	if body.rest != nil {
		s := &stream{transport: t, pool: p, conn: c, body: body.rest, stop: stop, reusable: reuse}
		res.Response.Rest, res.Response.Length = s, body.length
		return res, false
	}
	return res, stop() && reuse
}

// maxForeignResponses limits the responses to other requests that are skipped before
// the one to this request.
const maxForeignResponses = 4

// responseBody is the body of a response, or its beginning.
type responseBody struct {
	held   []byte
	rest   io.Reader // follows held; nil if held is complete
	length int       // stated length of the whole body, or -1; valid with rest
	memory bodies.Reservation
}

// readMatchingResponse reads the response to this request. It skips complete responses
// to other requests that arrive before it; the connection is not reused then.
func (t *Transport) readMatchingResponse(resp *fasthttp.Response, r *bufio.Reader, a *filter.Attempt, res *filter.Result) (responseBody, error) {
	for n := 0; ; n++ {
		body, trailing, err := t.readFinalResponse(resp, r, a)
		if err != nil {
			body.memory.Release()
			return body, err
		}
		res.TrailingBytes = res.TrailingBytes || trailing
		state, matches := t.options.Dialect.Inspect(resp, a, res)
		if body.rest != nil && (!matches || state != verdict.ResponseComplete) {
			body.memory.Release()
			return body, errResponsesTooLarge // only the response of the request itself is forwarded in parts
		}
		res.Facts.ResponseState = state
		if matches || n == maxForeignResponses {
			return body, nil
		}
		body.memory.Release()
		res.TrailingBytes = true
		resp.Reset()
		resp.Header.SetNoDefaultContentType(true)
	}
}

// keepAliveTimeout returns for how long an idle connection may be reused: the timeout
// of the Keep-Alive header minus keepAliveMargin.
func keepAliveTimeout(resp *fasthttp.Response) (time.Duration, bool) {
	for part := range strings.SplitSeq(string(resp.Header.Peek("Keep-Alive")), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(text); err == nil && n >= 0 {
				return time.Duration(n)*time.Second - keepAliveMargin, true
			}
		}
	}
	return 0, false
}

// keepAliveMargin covers the time that a request takes to reach the server, whose own
// keep-alive timer may expire meanwhile.
const keepAliveMargin = 500 * time.Millisecond

// recordFailure sets the facts of an attempt without a complete response.
func recordFailure(res *filter.Result, c *conn, err error, deadline time.Time) {
	if _, ok := errors.Into[*fasthttp.ErrSmallBuffer](err); ok {
		err = errHeadTooLarge // the text of the original error contains the head
	}
	res.Err = err
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, errHeadTooLarge), errors.Is(err, errResponsesTooLarge):
		res.Facts.ResponseState = verdict.ResponseTooLarge
	case c.cancelled.Load():
		res.Facts.Cancelled = true
	case !c.broken && !time.Now().Before(deadline):
		res.Facts.TimedOut = true
	case c.responseStarted:
		res.Facts.ResponseState = verdict.ResponseTruncated
		res.Reset = c.broken
	default:
		res.Reset = c.broken
	}
}

// readFinalResponse reads the final response. A response is complete only if its end is
// marked by a length, by the last chunk, or by a status or method without a body. A
// close-delimited response looks the same when the server crashes, and is accepted only
// with Options.Lenient. If the attempt has a Cleanup, the rest of a body that is too large
// to be held is left unread; otherwise such a body is an error.
//
// trailing is true when the connection cannot be reused for another response. With
// Options.Lenient, a server may mark the end of a response by closing the connection,
// and may send bytes after a response that belong to no request.
func (t *Transport) readFinalResponse(resp *fasthttp.Response, r *bufio.Reader, a *filter.Attempt) (body responseBody, trailing bool, err error) {
	body.memory = bodies.Reservation{Account: t.memory, Free: freeResponseBytes}
	if err := readFinalHead(resp, r); err != nil {
		return body, true, err
	}
	if err := t.readBody(resp, r, a, &body); err != nil {
		return body, true, err
	}
	switch {
	case body.rest != nil, r.Buffered() == 0:
		return body, closeDelimited(resp), nil
	case t.options.Lenient:
		return body, true, nil
	}
	return body, true, errTrailingBytes
}

// readFinalHead reads the head of the final response, and skips informational ones.
func readFinalHead(resp *fasthttp.Response, r *bufio.Reader) error {
	for range maxInformational + 1 {
		if err := responsehead.Check(r); err != nil {
			return err
		}
		if err := resp.Header.Read(r); err != nil {
			return err
		}
		if status := resp.StatusCode(); status == fasthttp.StatusSwitchingProtocols {
			return errUpgrade
		} else if status >= 200 {
			return nil
		}
	}
	return errInformational
}

func hasBody(resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return !resp.SkipBody && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// closeDelimited reports whether only the end of the connection marks the end of the
// response.
func closeDelimited(resp *fasthttp.Response) bool {
	return hasBody(resp) && resp.Header.ContentLength() < -1
}

// readBody reads the body of a response, or as much of it as is held in memory.
func (t *Transport) readBody(resp *fasthttp.Response, r *bufio.Reader, a *filter.Attempt, body *responseBody) error {
	if !hasBody(resp) {
		return nil
	}
	length := resp.Header.ContentLength()
	if length < -1 && !t.options.Lenient {
		return errNoLength
	}
	limit, forward := t.options.MaxBody, a.Cleanup != nil
	switch {
	case a.Probe:
		limit = min(limit, probeBytes)
	case forward:
		limit = min(limit, holdBytes)
	}
	if !forward && length > limit {
		return fasthttp.ErrBodyTooLarge
	}
	reader := bodies.NewReader(r, length, responsehead.Trailer{Header: &resp.Header})
	held, complete, err := bodies.Hold(reader, length, limit, &body.memory)
	body.held = held
	switch {
	case err != nil || complete:
		return err
	case !forward && len(held) >= limit:
		return fasthttp.ErrBodyTooLarge
	case !forward:
		return errResponsesTooLarge
	}
	if chunked, ok := reader.(*bodies.Chunked); ok {
		chunked.Trailer = responsehead.Trailer{Header: &fasthttp.ResponseHeader{}} // resp is reused before the trailer arrives
	}
	body.rest, body.length = reader, max(length, -1)
	return nil
}

// copyResponse copies the head of a response out of fasthttp's buffers. For HEAD,
// Content-Length contains the length that the response to GET would have, and is kept
// for the front end.
func copyResponse(resp *fasthttp.Response, body []byte) *filter.Response {
	out := &filter.Response{Status: resp.StatusCode(), Body: body}
	var f filter.Fields
	for k, v := range resp.Header.All() {
		f.Add(k, v)
	}
	out.Headers = f.Headers()
	return out
}
