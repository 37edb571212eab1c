package filter

import (
	"context"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// GrantStart is how long after asking for a grant the request may be started.
const GrantStart = 100 * time.Millisecond

// Ask describes a request for one slot on a backend server of a pool.
type Ask struct {
	Priority   int           // 0 to 9, from the route
	Route      string        // route name
	Idempotent bool          // from the route
	Remaining  time.Duration // time left until the request's deadline
	RunLimit   time.Duration // how long the slot stays taken when it is not released
	Avoid      []string      // backend servers tried before
	Wait       time.Duration // longest expected time in a queue; holders of slow services may use more
	Spill      bool          // the own data centre has a pool that is merely full: grant from spare slots only
}

// Grant is one slot on one backend server.
type Grant struct {
	ID      uint64 // unique per holder; 0 for a slot under the reduced limit
	Pool    *manifest.Pool
	Server  *manifest.BackendServer
	Holder  string     // name of the entry host that granted the slot
	StartBy clock.Time // the first byte must leave before this, on the asker's clock
	// Target and Expected are set on hosts that place requests by load readings:
	// the server with its load, and how long it is expected to take.
	Target   *state.Server
	Expected time.Duration
	Learn    func(took time.Duration) // takes the duration of a request that ran; may be nil
}

// Report is what the asker tells the holder when a grant ends.
type Report struct {
	Verdict     verdict.Verdict
	Reason      verdict.Reason
	ServiceTime time.Duration // first byte written to answer complete; 0 if not sent
	Failed      bool          // server error, cut or missing answer
	Crashed     bool          // the connection was reset while the request ran
	Instance    string        // Backend-Instance of the answer, or ""
	Inflight    int           // Backend-Load of the answer; -1 if absent
	Load        *ServerLoad   // load that the answer told; nil if none
}

// Admitter grants slots. Errors are *verdict.Error with NotRun, because a
// grant that was lost was never used.
type Admitter interface {
	Releaser
	Acquire(ctx context.Context, pool *manifest.Pool, ask Ask) (*Grant, error)
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
	Limit time.Duration
	// BeforeFirstByte runs right before the first byte may leave; an error
	// stops the attempt unsent. It may be nil.
	BeforeFirstByte func() error
}

// Result is what came of an attempt.
type Result struct {
	Facts       verdict.Facts
	Response    *Response     // set when Facts.Answer is AnswerComplete or AnswerShed
	ServiceTime time.Duration // first byte written to last byte read
	Reset       bool          // the peer closed or reset the connection while the request ran
	Load        *ServerLoad   // what the answer said of the server's load; nil if nothing
	Extra       bool          // bytes of no request arrived as well; the connection is not used again
	Err         error         // detail for logs; may be nil
}

// ServerLoad is what an answer says of the load of its backend server.
type ServerLoad struct {
	Running, Waiting, Slots int
	Speed                   float64       // duration of work now, as a multiple of the usual one
	Cold                    time.Duration // left of a cold start; 0 when warm
	Instance                string        // process that answered, or ""
}

// Transport sends requests to backend servers.
type Transport interface {
	Do(ctx context.Context, a *Attempt) Result
}

// SuspectReporter hears of requests that were in flight on a server that died.
type SuspectReporter interface {
	// Crashed reports that server died while it ran the request. With wantRetry
	// it returns whether this request may be sent once more; it may wait for
	// other entry hosts, for at most some 60 ms.
	Crashed(ctx context.Context, fingerprint uint64, server string, wantRetry bool) (retry bool)
	// Succeeded reports that a suspected request ran to its end. It never blocks.
	Succeeded(fingerprint uint64)
}
