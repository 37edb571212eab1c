package backend

import (
	"bufio"
	"context"
	"strconv"
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
	encode(req, a)
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
		err = read(resp, c.r, t.options.MaxBody)
	}
	res.Facts.FirstByte = c.first
	res.ServiceTime = time.Since(start)
	if err != nil {
		fail(&res, c, err, deadline)
		return res, false
	}
	res.Response = decode(resp)
	res.Facts.Answer = verdict.AnswerComplete
	if res.Response.Status == fasthttp.StatusServiceUnavailable && res.Response.Get(filter.HeaderShed) == "not-run" {
		res.Facts.Answer = verdict.AnswerShed
	}
	return res, stop() && !resp.ConnectionClose()
}

// fail records the facts of an attempt without a complete answer.
func fail(res *filter.Result, c *conn, err error, deadline time.Time) {
	res.Err = err
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		res.Facts.Answer = verdict.AnswerTooLarge
	case c.cancelled.Load():
		res.Facts.Cancelled = true
	case !c.broken && !time.Now().Before(deadline):
		res.Facts.TimedOut = true
	case c.answered:
		res.Facts.Answer = verdict.AnswerCut
		res.Reset = c.broken
	default:
		res.Reset = c.broken
	}
	if _, ok := errors.Into[*fasthttp.ErrSmallBuffer](err); ok {
		res.Facts.Answer = verdict.AnswerTooLarge
	}
}

// read reads the final answer. An answer is complete only if its end is marked
// by a length, by the last chunk, or by a status or method without a body; one
// that ends with the connection looks the same when the server crashes.
func read(resp *fasthttp.Response, r *bufio.Reader, maxBody int) error {
	for n := 0; ; n++ {
		if n > maxInterim {
			return errInterim
		}
		if err := resp.Header.Read(r); err != nil {
			return err
		}
		if status := resp.StatusCode(); status == fasthttp.StatusSwitchingProtocols {
			return errUpgrade
		} else if status >= 200 {
			break
		}
	}
	if err := readBody(resp, r, maxBody); err != nil {
		return err
	}
	if r.Buffered() > 0 {
		return errExtra
	}
	return nil
}

func readBody(resp *fasthttp.Response, r *bufio.Reader, maxBody int) error {
	status, length := resp.StatusCode(), resp.Header.ContentLength()
	if resp.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	if length < -1 {
		return errNoLength
	}
	if err := resp.ReadBody(r, maxBody); err != nil {
		return err
	}
	if length == -1 {
		return resp.Header.ReadTrailer(r)
	}
	return nil
}

// encode builds the message for the backend server. The front end already
// removed the headers that callers must not set.
func encode(req *fasthttp.Request, a *filter.Attempt) {
	r := a.Request
	req.Header.SetMethod(r.Method)
	if r.Query != "" {
		req.Header.SetRequestURI(r.Path + "?" + r.Query)
	} else {
		req.Header.SetRequestURI(r.Path)
	}
	req.Header.SetNoDefaultContentType(true)
	for i := range r.Headers {
		switch name := r.Headers[i].Name; name {
		case filter.HeaderDeadline, filter.HeaderRetryBudget, filter.HeaderWantKeys, filter.HeaderOrderKey:
		default:
			req.Header.Add(name, r.Headers[i].Value)
		}
	}
	host := r.Host
	if host == "" {
		host = a.Address // HTTP/1.0 needs no Host header, HTTP/1.1 does
	}
	req.Header.SetHost(host)
	req.Header.Set(filter.HeaderDeadline, strconv.FormatInt(max(0, a.Remaining.Milliseconds()), 10))
	req.Header.Set(filter.HeaderRetryBudget, "0")
	req.SetBodyRaw(r.Body)
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
