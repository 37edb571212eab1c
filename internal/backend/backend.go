// Package backend sends requests to backend servers and reports typed facts
// about each attempt. It uses fasthttp's message types on its own connections,
// because fasthttp clients retry on their own and may reuse a connection that
// still carries a late answer.
package backend

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Options are the limits of a Transport. Zero values select the defaults.
type Options struct {
	MaxBody        int           // bytes of an answer's body; default 8 MiB
	DialTimeout    time.Duration // bound on opening a connection; default filter.StartLimit
	IdleTimeout    time.Duration // an idle connection is closed after this; default 2m
	Dialect        Dialect       // how servers are spoken to; default Own
	Lenient        bool          // answers may end with the connection, and stray bytes may follow one
	MaxConnections int           // connections to a server that SetServers did not name; default 250
}

// DefaultConnections bounds the connections to one backend server over the
// fleet. Backend servers accept about 250.
const DefaultMaxConnections = 250

func (o *Options) setDefaults() {
	if o.MaxBody == 0 {
		o.MaxBody = 8 << 20
	}
	if o.DialTimeout == 0 {
		// The choice of the server is not used after a longer dial, and a server that
		// vanished must count as failing also where deadlines are short.
		o.DialTimeout = filter.DispatchWindow
	}
	if o.IdleTimeout == 0 {
		// Two connections to each of 550 servers are then opened anew 9 times a second.
		o.IdleTimeout = 2 * time.Minute
	}
	if o.Dialect == nil {
		o.Dialect = DefaultDialect{}
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = DefaultMaxConnections
	}
}

// ErrConnections means that this process's share of connections is in use.
var ErrConnectionLimit = errors.New("backend: every connection of this entry host's share is in use")

// Transport implements filter.Transport. Do is safe for concurrent use and
// takes no lock.
type Transport struct {
	options Options
	hosts   atomic.Pointer[map[string]*host] // replaced as a whole
	wake    chan struct{}                    // tells Run that Warm or SetServers changed something
	dialer  net.Dialer

	dials, staleIdle, pruned atomic.Int64
}

// New returns a transport. Run keeps its idle connections.
func New(o Options) *Transport {
	o.setDefaults()
	t := &Transport{options: o, wake: make(chan struct{}, 1)}
	t.hosts.Store(&map[string]*host{})
	return t
}

// Counts are totals since the start of the process.
type Stats struct {
	Dials     int64 // connections opened
	StaleIdle int64 // idle connections found closed or with unexpected bytes before use
	Pruned    int64 // idle connections closed by age, share or removal
}

// Counts returns the totals.
func (t *Transport) Stats() Stats {
	return Stats{Dials: t.dials.Load(), StaleIdle: t.staleIdle.Load(), Pruned: t.pruned.Load()}
}

// Do implements filter.Transport. A connection is reused only after a complete
// answer with nothing left in its read buffer; in every other case it is closed.
func (t *Transport) Do(ctx context.Context, a *filter.Attempt) filter.Result {
	deadline := time.Now().Add(a.Timeout)
	h := t.host(a.Address)
	c, err := t.takeIdle(h)
	if err != nil {
		return filter.Result{Reset: true, Err: err}
	}
	if c == nil {
		if c, err = t.open(ctx, h, deadline); err != nil {
			f := verdict.Facts{Cancelled: ctx.Err() == context.Canceled, ConnectionLimitReached: errors.Is(err, ErrConnectionLimit)}
			f.TimedOut = !f.Cancelled && !time.Now().Before(deadline)
			return filter.Result{Facts: f, Err: err}
		}
	}
	res, reuse := t.exchange(ctx, c, a, deadline)
	if !reuse || !t.keep(h, c) {
		h.close(c)
	}
	return res
}

// ErrRestarted means that the server closed connections that were in use a
// moment ago, so that its process has probably ended.
var ErrRestarted = errors.New("backend: the server closed connections used a moment ago")

// closedEarly is the idle time below which a server has no reason to close a
// connection. The shortest usual keep-alive time of servers is 5 s.
const closedEarly = 4 * time.Second

// takeIdle returns an idle connection that the server has not closed, or nil.
// With ErrRestarted the request is not sent: a server that was restarted is
// cold, and whoever granted the slot must hear of it before it gets requests
// for the slots of a warm one. The other idle connections are closed, so that
// this happens once for each restart.
func (t *Transport) takeIdle(h *host) (*conn, error) {
	for {
		c := h.take()
		if c == nil {
			return nil, nil
		}
		idle := time.Since(c.idleSince)
		state := c.look()
		if idle < t.options.IdleTimeout && !c.expired(time.Now()) && state == peekedQuiet {
			return c, nil
		}
		t.staleIdle.Add(1)
		h.close(c)
		if state == peekedClosed && idle < closedEarly && !t.options.Lenient {
			t.staleIdle.Add(h.closeIdle())
			return nil, ErrRestarted
		}
	}
}

// open opens a connection within this process's share of connections.
func (t *Transport) open(ctx context.Context, h *host, deadline time.Time) (*conn, error) {
	if h.open.Add(1) > h.limit.Load() {
		h.open.Add(-1)
		return nil, ErrConnectionLimit
	}
	if limit := time.Now().Add(t.options.DialTimeout); limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	raw, err := t.dialer.DialContext(ctx, "tcp", h.address)
	if err != nil {
		h.open.Add(-1)
		return nil, err
	}
	t.dials.Add(1)
	return newConn(raw), nil
}

// keep stores c for reuse. It returns false when the connection must be closed.
func (t *Transport) keep(h *host, c *conn) bool {
	if c.r.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		return false
	}
	c.idleSince = time.Now()
	return h.put(c)
}
