package filter

import (
	"context"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// StartLimit is how long after the choice of a backend server the request may be
// sent. Later its load is another one.
const DispatchWindow = 100 * time.Millisecond

// Grant is the choice of a backend server for one attempt. It counts as a
// request in flight there until it is released.
type Grant struct {
	Server          *manifest.BackendServer
	StartBy         clock.Time               // the first byte must leave before this
	Target          *state.Server            // the server with its load
	Expected        time.Duration            // how long it is expected to take
	ObserveDuration func(took time.Duration) // takes the duration of a request that ran; may be nil
}

// Report is what came of a grant.
type Report struct {
	Verdict     verdict.Verdict
	Reason      verdict.Reason
	ServiceTime time.Duration // first byte written to answer complete; 0 if not sent
	Failed      bool          // server error, cut or missing answer
	Crashed     bool          // the connection was reset while the request ran
	Load        *ServerLoad   // load that the answer told; nil if none
}

// Releaser takes back grants.
type Releaser interface {
	Release(g *Grant, r Report)
}

// Attempt is one request to one backend server.
type Attempt struct {
	Address string // IP:port
	// Instance is the process that is meant, or "" for any at the address. Where
	// the dialect can say so, another process refuses the request unrun.
	Instance string
	Probe    bool // a question for health and load, not a request of a caller
	Request  *Request
	// Remaining is the time budget passed on to the backend server.
	Remaining time.Duration
	// Limit is how long to wait for the whole answer.
	Timeout time.Duration
	// BeforeFirstByte runs right before the first byte may leave; an error
	// stops the attempt unsent. It may be nil.
	BeforeFirstByte func() error
}

// Result is what came of an attempt.
type Result struct {
	Facts         verdict.Facts
	Response      *Response     // set when Facts.Answer is AnswerComplete or AnswerShed
	ServiceTime   time.Duration // first byte written to last byte read
	Reset         bool          // the peer closed or reset the connection while the request ran
	Load          *ServerLoad   // what the answer said of the server's load; nil if nothing
	TrailingBytes bool          // bytes of no request arrived as well; the connection is not used again
	Err           error         // detail for logs; may be nil
}

// ServerLoad is what an answer says of the load of its backend server.
type ServerLoad struct {
	Running, Waiting, Slots int
	Speed                   float64       // duration of work now, as a multiple of the usual one
	Cold                    time.Duration // left of a cold start; 0 when warm
	Instance                string        // process that answered, or ""
	InstanceOnly            bool          // only Instance is known
}

// Transport sends requests to backend servers.
type Transport interface {
	Do(ctx context.Context, a *Attempt) Result
}

// SuspectReporter hears of requests that were in flight on a server that died.
type PoisonRequestReporter interface {
	// Crashed reports that server died while it ran the request. With wantRetry
	// it returns whether this request may be sent once more; it may wait for
	// other entry hosts, for at most some 60 ms.
	Crashed(ctx context.Context, fingerprint uint64, server string, wantRetry bool) (retry bool)
	// Succeeded reports that a suspected request ran to its end. It never blocks.
	Succeeded(fingerprint uint64)
}
