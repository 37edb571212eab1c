package backend

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Dialect is the convention between entry hosts and backend servers: the names of the
// headers that contain deadline, identity and load, and the meaning of responses. Its
// methods are safe for concurrent use.
type Dialect interface {
	// Encode writes the request of an attempt.
	Encode(req *fasthttp.Request, a *filter.Attempt)
	// Inspect returns the state that a complete response stands for, and sets res.Load
	// to the load that it reports. matches is false for a response to another request.
	Inspect(resp *fasthttp.Response, a *filter.Attempt, res *filter.Result) (state verdict.ResponseState, matches bool)
}

// DefaultDialect is the dialect of servers that use the Anvilfront- and Backend-
// headers.
type DefaultDialect struct{}

// Encode implements Dialect. The front end has already removed the headers that
// callers must not set.
func (DefaultDialect) Encode(req *fasthttp.Request, a *filter.Attempt) {
	EncodeRequest(req, a, isForwarded)
	req.Header.Set(filter.HeaderDeadline, strconv.FormatInt(max(0, a.Remaining.Milliseconds()), 10))
	req.Header.Set(filter.HeaderRetryBudget, "0")
}

func isForwarded(name string) bool {
	switch name {
	case filter.HeaderDeadline, filter.HeaderRetryBudget, filter.HeaderWantKeys, filter.HeaderOrderKey:
		return false
	}
	return true
}

// Inspect implements Dialect.
func (DefaultDialect) Inspect(resp *fasthttp.Response, a *filter.Attempt, res *filter.Result) (verdict.ResponseState, bool) {
	res.Load = loadFromHeaders(resp, a.Probe)
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek(filter.HeaderShed)) == "not-run" {
		return verdict.ResponseShed, true
	}
	return verdict.ResponseComplete, true
}

// loadFromHeaders parses the load header, INFLIGHT/SLOTS, and the instance header. It
// returns nil when the response has neither. The reported in-flight count includes the
// request of this response, which has ended and is subtracted unless it was a probe.
func loadFromHeaders(resp *fasthttp.Response, probe bool) *filter.ServerLoad {
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

// EncodeRequest writes method, target, host and body of an attempt, and the headers
// for which pass returns true.
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
		host = a.Address // the caller's HTTP/1.0 request may lack a Host header; HTTP/1.1 requires one
	}
	req.Header.SetHost(host)
	req.SetBodyRaw(r.Body)
}
