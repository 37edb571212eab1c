// Package backend sends requests to backend servers and reports typed facts
// about each attempt. It uses fasthttp's message types on its own connections,
// because fasthttp clients retry on their own and may reuse a connection that
// still carries a late answer.
package backend

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// maxIdle is the number of idle connections kept per backend server. Today's
// servers have at most 6 slots.
const maxIdle = 8

// Transport implements filter.Transport.
type Transport struct {
	hosts   atomic.Pointer[map[string]*host]
	maxBody int // bytes of an answer's body
	dial    func(ctx context.Context, address string) (net.Conn, error)
}

type host struct {
	idle [maxIdle]atomic.Pointer[conn]
}

type conn struct {
	net.Conn
	r     *bufio.Reader
	w     *bufio.Writer
	first atomic.Bool // a byte of the current request may have left
}

// Write implements net.Conn and records that a byte may have left.
func (c *conn) Write(p []byte) (int, error) {
	c.first.Store(true)
	return c.Conn.Write(p)
}

// New returns a transport for answers of at most maxBody bytes.
func New(maxBody int) *Transport {
	d := &net.Dialer{}
	t := &Transport{maxBody: maxBody, dial: func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}}
	t.hosts.Store(&map[string]*host{})
	return t
}

func (t *Transport) host(address string) *host {
	for {
		old := t.hosts.Load()
		if h := (*old)[address]; h != nil {
			return h
		}
		next := make(map[string]*host, len(*old)+1)
		for k, v := range *old {
			next[k] = v
		}
		h := &host{}
		next[address] = h
		if t.hosts.CompareAndSwap(old, &next) {
			return h
		}
	}
}

func (h *host) take() *conn {
	for i := range h.idle {
		if c := h.idle[i].Swap(nil); c != nil {
			return c
		}
	}
	return nil
}

func (h *host) put(c *conn) {
	for i := range h.idle {
		if h.idle[i].CompareAndSwap(nil, c) {
			return
		}
	}
	_ = c.Close()
}

// Do implements filter.Transport. The connection is reused only after a
// complete answer; in every other case it is closed.
func (t *Transport) Do(ctx context.Context, a *filter.Attempt) filter.Result {
	ctx, cancel := context.WithTimeout(ctx, a.Limit)
	defer cancel()
	h := t.host(a.Address)
	c := h.take()
	if c == nil {
		raw, err := t.dial(ctx, a.Address)
		if err != nil {
			return filter.Result{Facts: verdict.Facts{Cancelled: ctx.Err() != nil}, Err: err}
		}
		c = &conn{Conn: raw}
		c.r, c.w = bufio.NewReader(c), bufio.NewWriter(c)
	}
	res, reuse := t.exchange(ctx, c, a)
	if reuse {
		h.put(c)
	} else {
		_ = c.Close()
	}
	return res
}

func (t *Transport) exchange(ctx context.Context, c *conn, a *filter.Attempt) (filter.Result, bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	encode(req, a)
	c.first.Store(false)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	res := filter.Result{Facts: verdict.Facts{Connected: true}}
	if a.BeforeFirstByte != nil {
		if err := a.BeforeFirstByte(); err != nil {
			res.Err = err
			return res, true
		}
	}
	start := time.Now()
	err := req.Write(c.w)
	if err == nil {
		err = c.w.Flush()
	}
	res.Facts.FirstByte = c.first.Load()
	if err == nil {
		res.Facts.Written = true
		err = resp.ReadLimitBody(c.r, t.maxBody)
	}
	res.ServiceTime = time.Since(start)
	if err != nil {
		res.Err = err
		res.Facts.TimedOut = ctx.Err() == context.DeadlineExceeded
		res.Facts.Cancelled = ctx.Err() == context.Canceled
		res.Reset = ctx.Err() == nil
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			res.Facts.Answer = verdict.AnswerTooLarge
		}
		return res, false
	}
	res.Response = decode(resp)
	res.Facts.Answer = verdict.AnswerComplete
	if res.Response.Status == fasthttp.StatusServiceUnavailable && res.Response.Get(filter.HeaderShed) == "not-run" {
		res.Facts.Answer = verdict.AnswerShed
	}
	return res, stop() && !resp.ConnectionClose()
}

func encode(req *fasthttp.Request, a *filter.Attempt) {
	r := a.Request
	req.Header.SetMethod(r.Method)
	uri := r.Path
	if r.Query != "" {
		uri += "?" + r.Query
	}
	req.Header.SetRequestURI(uri)
	for _, h := range r.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.SetHost(r.Host)
	req.Header.Set(filter.HeaderDeadline, strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	req.Header.Set(filter.HeaderRetryBudget, "0")
	req.SetBodyRaw(r.Body)
}

func decode(resp *fasthttp.Response) *filter.Response {
	out := &filter.Response{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	for k, v := range resp.Header.All() {
		out.Headers = append(out.Headers, filter.Header{Name: string(k), Value: string(v)})
	}
	return out
}
