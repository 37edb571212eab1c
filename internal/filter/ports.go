package filter

import (
	"context"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// DispatchWindow is how long after the choice of a backend server the request may
// be sent. After that the load that the choice was based on is stale.
const DispatchWindow = 100 * time.Millisecond

// Grant is the choice of a backend server for one attempt. It counts as an
// in-flight request at that server until it is released.
type Grant struct {
	Server          *manifest.BackendServer
	StartBy         clock.Time               // the first byte must be sent before this
	Target          *state.Server            // the server with its load
	Expected        time.Duration            // expected duration of the request
	ObserveDuration func(took time.Duration) // called with the duration of a request that ran; may be nil
}

// Report is the result of the attempt that a grant was used for.
type Report struct {
	Verdict     verdict.Verdict
	Reason      verdict.Reason
	ServiceTime time.Duration // first byte written to response complete; 0 if not sent
	Failed      bool          // server error, truncated or missing response
	Crashed     bool          // the connection was reset while the request ran
	Load        *ServerLoad   // load that the response reported; nil if none
	RetryAfter  time.Duration // the server wants nothing from this host for so long; 0: not said
}

// Releaser releases grants.
type Releaser interface {
	Release(g *Grant, r Report)
}

// Attempt is one request to one backend server.
type Attempt struct {
	Address string // IP:port
	// Instance is the process that is to run the request, or "" for any at the
	// address. If the dialect can transmit it, another process refuses the request
	// without running it.
	Instance string
	Probe    bool // a health or load probe, not a request of a caller
	Request  *Request
	// Accounts is set when the configuration has client accounts: what the caller sent as
	// credential or account is not forwarded. Account is the name of the request's
	// account, or "".
	Accounts bool
	Account  string
	// Remaining is the time budget passed on to the backend server.
	Remaining time.Duration
	// Timeout bounds the wait for the whole response.
	Timeout time.Duration
	// BeforeFirstByte is called right before the first byte may be sent; after an
	// error nothing is sent. It may be nil.
	BeforeFirstByte func() error
	// Cleanup, when set, returns the memory of the response. A body that is too large
	// for the memory is then passed on in Response.Rest; without it the attempt fails.
	Cleanup *Cleanup
}

// Result is the result of an attempt.
type Result struct {
	Facts         verdict.Facts
	Response      *Response     // set when Facts.ResponseState is ResponseComplete or ResponseShed
	ServiceTime   time.Duration // first byte written to last byte read
	Reset         bool          // the peer closed or reset the connection while the request ran
	Load          *ServerLoad   // load that the response reported; nil if none
	RetryAfter    time.Duration // the server refused the request and wants nothing from this host for so long; 0: not said
	Reused        bool          // earlier requests were sent on the connection
	Identified    bool          // the response names the request that it belongs to
	TrailingBytes bool          // bytes that belong to no request arrived as well; the connection is not reused
	Err           error         // detail for logs; may be nil
}

// ServerLoad is the load that a response reports of its backend server.
type ServerLoad struct {
	Running, Waiting, Slots int
	Speed                   float64       // current duration of work, as a multiple of the usual duration
	Cold                    time.Duration // remaining time of a cold start; 0 when warm
	Instance                string        // process that sent the response, or ""
	InstanceOnly            bool          // only Instance was reported
	Leaving                 bool          // the server finishes its requests and takes no new ones
	RateLimit               float64       // requests per second that the server takes from all hosts together; 0: no limit
}

// Transport sends requests to backend servers.
type Transport interface {
	Do(ctx context.Context, a *Attempt) Result
}

// PoisonRequestReporter receives reports of requests that were in flight on a
// backend server that crashed.
type PoisonRequestReporter interface {
	// Crashed reports that server crashed while it ran the request. With wantRetry
	// it returns whether this request may be sent once more; it may wait for
	// other entry hosts, for at most about 60 ms.
	Crashed(ctx context.Context, fingerprint uint64, server string, wantRetry bool) (retry bool)
	// Succeeded reports that a request that is listed as a poison request ran to
	// completion. It never blocks.
	Succeeded(fingerprint uint64)
}
