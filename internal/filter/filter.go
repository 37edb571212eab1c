// Package filter defines the chain of filters that handles a request, the
// exchange that they share, and the interfaces through which they use controllers
// and backend servers. It does not depend on an HTTP library, so that another
// front end can use the same chain.
package filter

import (
	"context"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/precedence"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Header is one header field.
type Header struct{ Name, Value string }

// Request is a caller's request. All fields are copies that stay valid after the
// front end's handler has returned.
type Request struct {
	ID      string // given by the caller, for logs; "" if none
	Caller  string // IP address, if each caller connects from its own; else ""
	Method  string
	Host    string
	Path    string // without the query string
	Query   string // without the question mark
	Headers []Header
	Body    []byte
	// Credential is the key of a client account that the caller sent, or "". It is neither
	// forwarded nor logged.
	Credential string
}

// Get returns the first header with the given canonical name, or "".
func (r *Request) Get(name string) string { return get(r.Headers, name) }

// Response is the response of a backend server.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
	// Rest follows Body when the whole body is not held in memory; else nil. Only an
	// Exchange with a Cleanup gets such a response.
	Rest   Body
	Length int // of the whole body, or -1 if Rest has no stated length; valid with Rest
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

// Headers that are exchanged between callers, entry hosts and backend servers.
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

// Exchange is the state of one request in the chain. Only one goroutine uses it
// at a time.
type Exchange struct {
	// Snapshot is loaded once per request. The route filter replaces it by one without
	// manifest and backend servers, which a request that runs for long must not keep in
	// memory after they have changed.
	Snapshot *state.Snapshot
	Revision uint64 // of the manifest that Route and Service were copied from
	Request  *Request
	Arrived  clock.Time // when the front end had the whole request
	Deadline clock.Time // set by the deadline filter; never extended
	HostEnds clock.Time // when this process ends, if its stop has begun; else 0
	Route    *manifest.Route
	Service  *manifest.Service
	// Accounts is set when the configuration has client accounts. Account is then the one
	// whose key the request has, without its keys, or nil. The route filter sets both.
	Accounts bool
	Account  *manifest.Account
	// Standing is that of the newest placement, and Heat the load of the account as a
	// multiple of its usual load, or 0; set under a configuration with accounts.
	Standing          precedence.Standing
	Heat              float64
	Nested            bool   // the request carries a retry budget header: it is not retried here after dispatch
	Forwarded         bool   // the request came from another entry host, which is not the owner of its key
	Key               string // order key as sent by the caller, or ""
	IsHedge           bool   // a hedged copy of a request that is still in flight elsewhere
	MayMissObjective  bool   // a hedge that is sent because the other copy may never get a response
	Grant             *Grant
	PlacementEstimate PlacementEstimate // what the last placement was based on; for logs
	Tried             []string          // names of the backend servers that were tried
	// BeforeDispatch, when set, is called right before the first byte may be sent.
	// After an error nothing is sent. The orderkey filter records the key here.
	BeforeDispatch func() error
	// Fingerprint identifies the request among poison requests; set by the poison filter.
	Fingerprint uint64
	// Crashed is true once a backend server crashed during an attempt. CrashRetry
	// allows one more attempt after that. The poison filter sets both.
	Crashed, CrashRetry bool
	// Cleanup, when set, is run by the front end after it has written the response.
	// Copies of an exchange share it.
	Cleanup *Cleanup
	// AfterAttempt, when set, is called with the outcome of each attempt. The
	// orderkey filter sets it; the orderattempt filter, inside the retry filter,
	// calls it.
	AfterAttempt func(Outcome)
	// NotRunConfirmed is true when a NotRun outcome comes from the owner of the key,
	// which will never run an order under it.
	NotRunConfirmed bool
}

// AccountName returns the name of the request's client account, or "".
func (x *Exchange) AccountName() string {
	if x.Account == nil {
		return ""
	}
	return x.Account.Name
}

// PlacementEstimate is what a placement was based on. The zero value means that
// no server could be chosen.
type PlacementEstimate struct {
	Server           string        // best server found
	Expected         time.Duration // time until the server would finish the request
	Running, Waiting float64       // estimated requests at the server
	Speed            float64       // duration of work at the server, as a multiple of the usual duration
	Age              time.Duration // of the load reading
}

// Outcome is the result of a request or of one attempt.
type Outcome struct {
	Verdict  verdict.Verdict
	Reason   verdict.Reason
	Response *Response // set when Verdict is Ran and the response is available
	FreshKey string    // order key to send the request again with, after a confirmed NotRun
	Cause    error     // detail for logs; may be nil
	// RetryAfter is how long a refused caller should wait before it retries; 0
	// means the front end's default.
	RetryAfter time.Duration
	// BackendTime is how long the attempt that gave the response took at its
	// backend server.
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

// RefuseEarly returns the outcome of a request that did not reach the chain, or
// did not reach the owner of its order key. Such a request did not run, but an
// earlier one with the same key may have, and only the owner of the key can
// return "not run". headersRead is false when it is unknown whether the request
// has a key.
func RefuseEarly(headersRead bool, key string, r verdict.Reason, cause error) Outcome {
	if headersRead && key == "" {
		return Refuse(r, cause)
	}
	return Unknown(r, cause)
}

// Handler handles a request, or the remaining steps of one after the filters
// that precede it.
type Handler interface {
	Handle(ctx context.Context, x *Exchange) Outcome
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, x *Exchange) Outcome

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, x *Exchange) Outcome { return f(ctx, x) }

// Filter handles one step of a request and calls next for the rest.
type Filter interface {
	Name() string
	Handle(ctx context.Context, x *Exchange, next Handler) Outcome
}

// Chain returns a handler that runs the filters in order. The next handler of
// the last filter refuses the request with an internal error.
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
