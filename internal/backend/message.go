package backend

import (
	"bufio"
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// maxInterim bounds the informational answers before the final one.
const maxInterim = 8

var (
	errNoLength = errors.New("answer without length: its end cannot be told from a cut")
	errExtra    = errors.New("bytes after the end of the answer: its length is wrong")
	errUpgrade  = errors.New("answer switches protocols")
	errInterim  = errors.New("too many informational answers")
)

// exchange sends one request and reads its answer. The second result says
// whether the connection may be used again.
func (t *Transport) exchange(ctx context.Context, c *conn, a *filter.Attempt, deadline time.Time) (filter.Result, bool) {
	res := filter.Result{Facts: verdict.Facts{Connected: true}}
	c.first, c.broken, c.answered = false, false, false
	if err := c.SetDeadline(deadline); err != nil {
		res.Err = err
		return res, false
	}
	stop := context.AfterFunc(ctx, c.onCancel)
	defer stop()
	if ctx.Err() != nil {
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
	err := req.Write(c.w)
	if err == nil {
		err = c.w.Flush()
	}
	if err == nil {
		res.Facts.Written = true
		resp.SkipBody = a.Request.Method == fasthttp.MethodHead
		err = t.answer(resp, c.r, a, &res)
	}
	res.Facts.FirstByte = c.first
	res.ServiceTime = time.Since(start)
	if err != nil {
		fail(&res, c, err, deadline)
		return res, false
	}
	res.Response = decode(resp)
	if res.Facts.ResponseState == verdict.ResponseForeign {
		return res, false
	}
	reuse := stop() && !resp.ConnectionClose() && !res.TrailingBytes
	if limit, ok := keepAlive(resp); ok {
		c.expires = time.Now().Add(limit)
	}
	return res, reuse
}

// maxForeign bounds the answers to other requests that are passed over before
// the one to this request.
const maxForeign = 4

// answer reads the answer to this request. Whole answers to other requests that
// arrive before it are passed over; the connection is not used again then.
func (t *Transport) answer(resp *fasthttp.Response, r *bufio.Reader, a *filter.Attempt, res *filter.Result) error {
	for n := 0; ; n++ {
		extra, err := read(resp, r, &t.options)
		if err != nil {
			return err
		}
		res.TrailingBytes = res.TrailingBytes || extra
		var mine bool
		res.Facts.ResponseState, mine = t.options.Dialect.Inspect(resp, a, res)
		if mine || n == maxForeign {
			return nil
		}
		res.TrailingBytes = true
		resp.Reset()
		resp.Header.SetNoDefaultContentType(true)
	}
}

// keepAlive returns how long an idle connection may be used again, from the
// Keep-Alive header. Half a second is kept clear of the server's own clock.
func keepAlive(resp *fasthttp.Response) (time.Duration, bool) {
	for part := range strings.SplitSeq(string(resp.Header.Peek("Keep-Alive")), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(text); err == nil && n >= 0 {
				return time.Duration(n)*time.Second - keepAliveMargin, true
			}
		}
	}
	return 0, false
}

// keepAliveMargin covers the way of a request to the server.
const keepAliveMargin = 500 * time.Millisecond

// fail records the facts of an attempt without a complete answer.
func fail(res *filter.Result, c *conn, err error, deadline time.Time) {
	res.Err = err
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		res.Facts.ResponseState = verdict.ResponseTooLarge
	case c.cancelled.Load():
		res.Facts.Cancelled = true
	case !c.broken && !time.Now().Before(deadline):
		res.Facts.TimedOut = true
	case c.answered:
		res.Facts.ResponseState = verdict.ResponseTruncated
		res.Reset = c.broken
	default:
		res.Reset = c.broken
	}
	if _, ok := errors.Into[*fasthttp.ErrSmallBuffer](err); ok {
		res.Facts.ResponseState = verdict.ResponseTooLarge
	}
}

// read reads the final answer. An answer is complete only if its end is marked
// by a length, by the last chunk, or by a status or method without a body; one
// that ends with the connection looks the same when the server crashes.
//
// extra is true when the connection cannot carry another answer. A server that
// speaks the lenient dialect may mark the end of an answer by closing, and may
// send bytes after an answer that belong to no request.
func read(resp *fasthttp.Response, r *bufio.Reader, o *Options) (extra bool, err error) {
	for n := 0; ; n++ {
		if n > maxInterim {
			return true, errInterim
		}
		if err := resp.Header.Read(r); err != nil {
			return true, err
		}
		if status := resp.StatusCode(); status == fasthttp.StatusSwitchingProtocols {
			return true, errUpgrade
		} else if status >= 200 {
			break
		}
	}
	if err := readBody(resp, r, o); err != nil {
		return true, err
	}
	if r.Buffered() == 0 {
		return endsWithConnection(resp), nil
	}
	if o.Lenient {
		return true, nil
	}
	return true, errExtra
}

func hasBody(resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return !resp.SkipBody && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// endsWithConnection reports whether only the end of the connection marks the
// end of the answer.
func endsWithConnection(resp *fasthttp.Response) bool {
	return hasBody(resp) && resp.Header.ContentLength() < -1
}

func readBody(resp *fasthttp.Response, r *bufio.Reader, o *Options) error {
	if !hasBody(resp) {
		return nil
	}
	length := resp.Header.ContentLength()
	if length < -1 && !o.Lenient {
		return errNoLength
	}
	if err := resp.ReadBody(r, o.MaxBody); err != nil {
		return err
	}
	if length == -1 {
		return resp.Header.ReadTrailer(r)
	}
	return nil
}

// decode copies the answer. For HEAD, Content-Length states the length that
// GET would have and is kept for the front end.
func decode(resp *fasthttp.Response) *filter.Response {
	out := &filter.Response{Status: resp.StatusCode()}
	if body := resp.Body(); len(body) > 0 {
		out.Body = append([]byte(nil), body...)
	}
	var f filter.Fields
	for k, v := range resp.Header.All() {
		f.Add(k, v)
	}
	out.Headers = f.Headers()
	return out
}
