// Package backend is the transport to backend servers: it owns the connections to
// them, sends the attempts that the filter chain dispatches and reports typed facts
// about each one. It uses fasthttp's message types on its own connections, because
// fasthttp clients retry on their own and may reuse a connection on which a late
// response is still outstanding.
package backend

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/bodies"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Options are the limits of a Transport. Zero values select the defaults.
type Options struct {
	MaxBody        int           // bytes of a response body in memory; default 8 MiB
	DialTimeout    time.Duration // limit on opening a connection; default filter.DispatchWindow
	IdleTimeout    time.Duration // an idle connection is closed after this; default 2m
	Dialect        Dialect       // how requests and responses are encoded; default DefaultDialect
	Lenient        bool          // accept close-delimited responses, and unexpected bytes after a response
	MaxConnections int           // connections to a server that SetServers did not list; default DefaultMaxConnections
	// MaxBufferedBytes bounds the memory of all responses, without the first
	// freeResponseBytes of each; default 64 MiB. It is counted until the Cleanup of the
	// attempt runs, or without one while a response is read.
	MaxBufferedBytes int64
}

// freeResponseBytes is the size up to which responses do not count towards
// Options.MaxBufferedBytes, so that a few endless ones do not affect ordinary ones.
const freeResponseBytes = 16 << 10

// DefaultMaxConnections limits the connections of the whole fleet to one backend
// server. Backend servers accept about 250.
const DefaultMaxConnections = 250

func (o *Options) setDefaults() {
	if o.MaxBody == 0 {
		o.MaxBody = 8 << 20
	}
	if o.DialTimeout == 0 {
		// After a longer dial the placement decision is stale. The dial must also time
		// out before short deadlines do, so that an unreachable server counts as failing.
		o.DialTimeout = filter.DispatchWindow
	}
	if o.IdleTimeout == 0 {
		// With two connections to each of 550 servers, 9 connections a second are reopened.
		o.IdleTimeout = 2 * time.Minute
	}
	if o.Dialect == nil {
		o.Dialect = DefaultDialect{}
	}
	if o.MaxBufferedBytes == 0 {
		o.MaxBufferedBytes = 64 << 20
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = DefaultMaxConnections
	}
}

// ErrConnectionLimit means that this entry host's share of the connections to the
// backend server is in use.
var ErrConnectionLimit = errors.New("backend: connection limit of this entry host for the backend server reached")

// Transport implements filter.Transport. Do is safe for concurrent use and
// takes no lock.
type Transport struct {
	options Options
	pools   atomic.Pointer[map[string]*pool] // by address; replaced as a whole
	wake    chan struct{}                    // wakes Run after a call of Warm or SetServers
	dialer  net.Dialer

	memory                   *bodies.Account // of responses; see Options.MaxBufferedBytes
	dials, staleIdle, pruned atomic.Int64
}

// New returns a transport. Run opens its idle connections in advance and closes those
// that expired.
func New(o Options) *Transport {
	o.setDefaults()
	t := &Transport{options: o, wake: make(chan struct{}, 1), memory: bodies.NewAccount(o.MaxBufferedBytes)}
	t.pools.Store(&map[string]*pool{})
	return t
}

// Stats contains totals since the start of the process.
type Stats struct {
	Dials     int64 // connections opened
	StaleIdle int64 // idle connections found closed or with unexpected bytes before use
	Pruned    int64 // idle connections closed because of age, connection limit or removal of the server
}

// Stats returns the totals.
func (t *Transport) Stats() Stats {
	return Stats{Dials: t.dials.Load(), StaleIdle: t.staleIdle.Load(), Pruned: t.pruned.Load()}
}

// Do implements filter.Transport. A connection is reused only after a complete
// response with nothing left in its read buffer; in every other case it is closed.
func (t *Transport) Do(ctx context.Context, a *filter.Attempt) filter.Result {
	deadline := time.Now().Add(a.Timeout)
	p := t.pool(a.Address)
	c, err := t.takeIdle(p)
	if err != nil {
		return filter.Result{Reset: true, Err: err}
	}
	if c == nil {
		if c, err = t.open(ctx, p, deadline); err != nil {
			f := verdict.Facts{Cancelled: ctx.Err() == context.Canceled, ConnectionLimitReached: errors.Is(err, ErrConnectionLimit)}
			f.TimedOut = !f.Cancelled && !time.Now().Before(deadline)
			return filter.Result{Facts: f, Err: err}
		}
	}
	res, reuse := t.exchange(ctx, p, c, a, deadline)
	if res.Response != nil && res.Response.Rest != nil {
		return res
	}
	if !reuse || !t.putIdle(p, c) {
		p.close(c)
	}
	return res
}

// RefusesConnections opens and closes a connection to the address. It returns true if
// the connection was refused: the host is reachable and no process listens there.
func (t *Transport) RefusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, t.options.DialTimeout)
	defer cancel()
	c, err := t.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// ErrRestarted means that the server closed a connection that had been idle for less
// than restartIdleTime, so that its process has probably ended.
var ErrRestarted = errors.New("backend: the server closed a recently used connection; it has probably restarted")

// restartIdleTime is the idle time below which a server has no reason to close a
// connection, so that a close indicates a restart. The shortest usual keep-alive
// timeout of servers is 5 s.
const restartIdleTime = 4 * time.Second

// takeIdle returns an idle connection that the server has not closed, or nil.
// With ErrRestarted the request is not sent: a restarted server is cold, and the
// component that granted the slot must learn of the restart before it fills the slots
// as for a warm server. The other idle connections are closed, so that this happens
// once for each restart.
func (t *Transport) takeIdle(p *pool) (*conn, error) {
	for {
		c := p.take()
		if c == nil {
			return nil, nil
		}
		idle := time.Since(c.idleSince)
		state := c.checkIdle()
		if idle < t.options.IdleTimeout && !c.expired(time.Now()) && state == idleStateQuiet {
			return c, nil
		}
		t.staleIdle.Add(1)
		p.close(c)
		if state == idleStateClosed && idle < restartIdleTime && !t.options.Lenient {
			t.staleIdle.Add(p.closeIdle())
			return nil, ErrRestarted
		}
	}
}

// open opens a connection within the connection limit of the server.
func (t *Transport) open(ctx context.Context, p *pool, deadline time.Time) (*conn, error) {
	if p.open.Add(1) > p.limit.Load() {
		p.open.Add(-1)
		return nil, ErrConnectionLimit
	}
	if limit := time.Now().Add(t.options.DialTimeout); limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	raw, err := t.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	t.dials.Add(1)
	return newConn(raw), nil
}

// putIdle stores c for reuse. It returns false when c must be closed instead.
func (t *Transport) putIdle(p *pool, c *conn) bool {
	if c.r.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		return false
	}
	c.idleSince = time.Now()
	return p.put(c)
}
