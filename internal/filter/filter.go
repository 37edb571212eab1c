// Package filter defines the chain that a request runs through, and the ports
// through which filters reach controllers and backend servers. It knows nothing
// of HTTP libraries, so that another front end can use the same chain.
package filter

import (
	"context"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Header is one header field.
type Header struct{ Name, Value string }

// Request is a caller's request. All fields are copies that outlive the front end's handler.
type Request struct {
	ID      string // given by the caller, for logs; "" if none
	Caller  string // IP address, where callers come with their own; else ""
	Method  string
	Host    string
	Path    string // without the query string
	Query   string // without the question mark
	Headers []Header
	Body    []byte
}

// Get returns the first header with the given canonical name, or "".
func (r *Request) Get(name string) string { return get(r.Headers, name) }

// Response is an answer of a backend server.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Get returns the first header with the given canonical name, or "".
func (r *Response) Get(name string) string { return get(r.Headers, name) }

func get(headers []Header, name string) string {
	for i := range headers {
		if headers[i].Name == name {
			return headers[i].Value
		}
	}
	return ""
}

// Names of the headers between callers, entry hosts and backend servers.
const (
	HeaderDeadline    = "Anvilfront-Deadline-Ms"
	HeaderOrderKey    = "Anvilfront-Order-Key"
	HeaderRetryBudget = "Anvilfront-Retry-Budget"
	HeaderWantKeys    = "Anvilfront-Want-Keys"
	HeaderVerdict     = "Anvilfront-Verdict"
	HeaderReason      = "Anvilfront-Reason"
	HeaderInstance    = "Backend-Instance"
	HeaderLoad        = "Backend-Load"
	HeaderShed        = "Backend-Shed"
)

// Exchange is one request on its way through the chain. It is used by one
// goroutine at a time.
type Exchange struct {
	Snapshot          *state.Snapshot // loaded once per request
	Request           *Request
	Arrived           clock.Time // when the front end had the whole request
	Deadline          clock.Time // set by the deadline filter, never extended
	Route             *manifest.Route
	Service           *manifest.Service
	Nested            bool   // the request came with a retry budget header: no retry after dispatch here
	Forwarded         bool   // the request came from another entry host, which is not the owner of its key
	Key               string // order key as sent by the caller, or ""
	IsHedge           bool   // a copy of a request that still runs elsewhere
	Grant             *Grant
	PlacementEstimate PlacementEstimate // what the last placement was decided on; for logs
	Tried             []string          // names of backend servers that were tried
	// BeforeDispatch, when set, runs right before the first byte may leave. An
	// error stops the attempt unsent. The orderkey filter records the key here.
	BeforeDispatch func() error
	// Fingerprint identifies the request among suspects; set by the poison filter.
	Fingerprint uint64
	// Crashed is true once a backend server died during an attempt. CrashRetry
	// allows one more attempt after that. Both belong to the poison filter.
	Crashed, CrashRetry bool
	// AfterAttempt, when set, hears the outcome of each attempt. The orderkey
	// filter sets it; the orderattempt filter, behind the retry filter, calls it.
	AfterAttempt func(Outcome)
	// KeyBound is true when a NotRun outcome comes from the owner of the key,
	// which will never run an order under it.
	NotRunConfirmed bool
}

// Basis is what a placement was decided on. The zero value means that no server
// could be chosen.
type PlacementEstimate struct {
	Server           string        // the best one found
	Expected         time.Duration // until it would have finished the request
	Running, Waiting float64       // requests there, as believed
	Speed            float64       // duration of work there as a multiple of the usual one
	Age              time.Duration // of the reading
}

// Outcome is the result of a request or of one attempt.
type Outcome struct {
	Verdict  verdict.Verdict
	Reason   verdict.Reason
	Response *Response // set when Verdict is Ran and the answer is at hand
	FreshKey string    // order key to send again with, after a binding refusal
	Cause    error     // detail for logs; may be nil
	// RetryAfter is when a caller that was refused should come back; 0 means the
	// front end's default.
	RetryAfter time.Duration
	// Served is how long the answering attempt took at its backend server.
	BackendTime time.Duration
	Crashed     bool // the backend server closed or reset the connection while the request ran
}

// Refuse returns the outcome of a request that did not run.
func Refuse(r verdict.Reason, cause error) Outcome {
	return Outcome{Verdict: verdict.NotRun, Reason: r, Cause: cause}
}

// Unknown returns the outcome of a request that may have run.
func Unknown(r verdict.Reason, cause error) Outcome {
	return Outcome{Verdict: verdict.MayHaveRun, Reason: r, Cause: cause}
}

// RefuseUnread returns the outcome of a request that did not get as far as the
// chain, or as far as the owner of its order key. Such a request did not run,
// but an earlier one with the same key may have, and only the owner of the key
// can say "not run". headersRead is false when it is unknown whether the
// request has a key.
func RefuseEarly(headersRead bool, key string, r verdict.Reason, cause error) Outcome {
	if headersRead && key == "" {
		return Refuse(r, cause)
	}
	return Unknown(r, cause)
}

// Handler handles a request, or what is left of it after the filters before.
type Handler interface {
	Handle(ctx context.Context, x *Exchange) Outcome
}

// HandlerFunc is a function as a Handler.
type HandlerFunc func(ctx context.Context, x *Exchange) Outcome

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, x *Exchange) Outcome { return f(ctx, x) }

// Filter handles one step of a request and calls next for the rest.
type Filter interface {
	Name() string
	Handle(ctx context.Context, x *Exchange, next Handler) Outcome
}

// Chain builds a handler that runs the filters in order. The last filter gets
// a next handler that reports an internal error.
func Chain(filters ...Filter) Handler {
	var h Handler = HandlerFunc(func(context.Context, *Exchange) Outcome {
		return Refuse(verdict.ReasonInternal, nil)
	})
	for i := len(filters) - 1; i >= 0; i-- {
		h = link{filter: filters[i], next: h}
	}
	return h
}

type link struct {
	filter Filter
	next   Handler
}

func (l link) Handle(ctx context.Context, x *Exchange) Outcome {
	return l.filter.Handle(ctx, x, l.next)
}
