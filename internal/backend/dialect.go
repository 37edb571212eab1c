package backend

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Dialect is how backend servers are spoken to: the names of the headers that
// carry deadline, identity and load, and what their answers mean. Its methods
// are called by several goroutines.
type Dialect interface {
	// Encode writes the request of an attempt.
	Encode(req *fasthttp.Request, a *filter.Attempt)
	// Inspect decides what a whole answer means and notes the load it tells.
	// mine is false for an answer to another request.
	Inspect(resp *fasthttp.Response, a *filter.Attempt, res *filter.Result) (answer verdict.ResponseState, mine bool)
}

// Own is the project's own dialect.
type DefaultDialect struct{}

// Encode implements Dialect. The front end already removed the headers that
// callers must not set.
func (DefaultDialect) Encode(req *fasthttp.Request, a *filter.Attempt) {
	EncodeRequest(req, a, passedOn)
	req.Header.Set(filter.HeaderDeadline, strconv.FormatInt(max(0, a.Remaining.Milliseconds()), 10))
	req.Header.Set(filter.HeaderRetryBudget, "0")
}

func passedOn(name string) bool {
	switch name {
	case filter.HeaderDeadline, filter.HeaderRetryBudget, filter.HeaderWantKeys, filter.HeaderOrderKey:
		return false
	}
	return true
}

// Inspect implements Dialect.
func (DefaultDialect) Inspect(resp *fasthttp.Response, a *filter.Attempt, res *filter.Result) (verdict.ResponseState, bool) {
	res.Load = plainLoad(resp, a.Probe)
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek(filter.HeaderShed)) == "not-run" {
		return verdict.ResponseShed, true
	}
	return verdict.ResponseComplete, true
}

// plainLoad reads the load header, INFLIGHT/SLOTS, and the name of the process.
// It returns nil when the answer has neither. The request that is answered is
// among those in flight; it no longer counts.
func plainLoad(resp *fasthttp.Response, probe bool) *filter.ServerLoad {
	l := &filter.ServerLoad{Speed: 1, Instance: string(resp.Header.Peek(filter.HeaderInstance))}
	inflight, slots, ok := strings.Cut(string(resp.Header.Peek(filter.HeaderLoad)), "/")
	if n, err := strconv.Atoi(inflight); ok && err == nil && n >= 0 {
		if l.Running = n; !probe {
			l.Running = max(0, n-1)
		}
		if n, err := strconv.Atoi(slots); err == nil && n > 0 {
			l.Slots = n
		}
		return l
	}
	if l.Instance == "" {
		return nil
	}
	l.InstanceOnly = true
	return l
}

// EncodeRequest writes method, target, host and body of an attempt, and those of
// its headers that pass accepts.
func EncodeRequest(req *fasthttp.Request, a *filter.Attempt, pass func(name string) bool) {
	r := a.Request
	req.Header.SetMethod(r.Method)
	if r.Query != "" {
		req.Header.SetRequestURI(r.Path + "?" + r.Query)
	} else {
		req.Header.SetRequestURI(r.Path)
	}
	req.Header.SetNoDefaultContentType(true)
	for i := range r.Headers {
		if pass(r.Headers[i].Name) {
			req.Header.Add(r.Headers[i].Name, r.Headers[i].Value)
		}
	}
	host := r.Host
	if host == "" {
		host = a.Address // HTTP/1.0 needs no Host header, HTTP/1.1 does
	}
	req.Header.SetHost(host)
	req.SetBodyRaw(r.Body)
}
