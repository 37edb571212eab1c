// Package callers is the HTTP/1.1 server for callers; package feedhost runs it. It
// enforces limits on requests, runs pipelined requests of a connection concurrently,
// writes responses in order, and detects callers that disconnect. A codec interprets
// headers.
package callers

import (
	"context"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/admission"
	"github.com/anvilfront/anvilfront/internal/bodies"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/state"
)

const (
	// maxPipelined bounds the concurrent requests of one connection. Further
	// requests are not read until one of them ends.
	maxPipelined = 16
	// acceptBackoff is the wait after a failed accept, for example when file
	// descriptors run out.
	acceptBackoff = 20 * time.Millisecond
	// Default limits, used where the configuration sets none.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 8 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// minReadBufferBytes is the minimum size of the read buffer of a connection.
	minReadBufferBytes = 4 << 10
)

// Codec translates between HTTP messages and the types of package filter. Its
// methods are called concurrently and must copy the parts of a message that they
// retain.
type Codec interface {
	// Decode returns the request without its body, never nil, and an outcome if the
	// request is refused, else nil.
	Decode(req *fasthttp.Request) (*filter.Request, *filter.Outcome)
	// Encode fills in the response. r is nil when the request could not be read.
	Encode(resp *fasthttp.Response, r *filter.Request, out *filter.Outcome)
}

// Config holds the dependencies and limits of a Server.
type Config struct {
	Listener         net.Listener
	Codec            Codec
	Chain            filter.Handler
	Store            *state.Store
	Clock            clock.Clock
	Counters         *metrics.Counters
	Log              *zap.Logger
	Connections      *admission.Connections // open connections; a further one takes the place of another, or is closed unread
	Requests         *admission.Share       // memory of heads, fields and waiting responses
	PipelineBytes    int64                  // of Requests, for one connection with several requests in flight
	MaxBufferedBytes int64                  // memory of all bodies, counted from their first byte; a request beyond it is refused
	MaxBodyBytes     int                    // upper bound of the configured body limit, since bodies are held in memory
	// Observe is called for each finished request. It must not block.
	Observe func(x *filter.Exchange, out *filter.Outcome)
}

// Server serves HTTP/1.1 connections of callers. It uses the message types of
// fasthttp but not its server, which handles one request of a connection at a time
// and does not watch the connection meanwhile.
type Server struct {
	Config
	inFlight          atomic.Int64
	memory            *bodies.Account // of the bodies of requests
	keepAliveDisabled atomic.Bool     // each response closes its connection
	draining          atomic.Bool     // idle connections are closed as well
	idleOnce          sync.Once
	idle              chan struct{} // closed when no request is in flight after Drain
	panics            *expvar.Int   // requests whose handling, reading or writing panicked
	refusedBodies     *expvar.Int   // requests refused because the bodies in memory leave no room
	brokenOff         *expvar.Int   // responses that broke off after their first part was forwarded
	limitLog          limitLog

	mu    sync.Mutex // guards conns; taken once per connection, not per request
	conns map[*conn]struct{}
	wg    sync.WaitGroup
}

// New returns a server. Serve accepts its connections.
func New(c Config) *Server {
	return &Server{
		Config: c, memory: bodies.NewAccount(c.MaxBufferedBytes), conns: map[*conn]struct{}{}, idle: make(chan struct{}),
		panics: c.Counters.Int("callers.panics"), brokenOff: c.Counters.Int("callers.responses_broken_off"),
		refusedBodies: c.Counters.Int("callers.bodies_refused"), limitLog: newLimitLog(c.Counters, c.Log),
	}
}

// BodyBytes returns the memory of the bodies of requests.
func (s *Server) BodyBytes() int64 { return s.memory.Used() }

// InFlight returns the number of requests that were read and whose response is
// not yet written.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Serve accepts connections until ctx has ended and the listener is closed.
func (s *Server) Serve(ctx context.Context) {
	for {
		netConn, err := s.Listener.Accept()
		if err != nil {
			timer := time.NewTimer(acceptBackoff)
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.C:
				continue
			}
		}
		c := newConn(s, netConn)
		if !s.admitConnection(c) {
			_ = netConn.Close()
			continue
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Add(1)
		go c.run()
	}
}

// DisableKeepAlive makes each response from now on close its connection.
func (s *Server) DisableKeepAlive() { s.keepAliveDisabled.Store(true) }

// Drain closes idle connections, and each other connection after the responses to
// the requests that were read from it. New connections are still served, for one
// request each.
func (s *Server) Drain() {
	s.keepAliveDisabled.Store(true)
	s.draining.Store(true)
	if s.inFlight.Load() == 0 {
		s.idleOnce.Do(func() { close(s.idle) })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.interruptRead()
	}
}

// WaitIdle waits after Drain until no request is in flight, or ctx ends. It reports
// whether no request is in flight.
func (s *Server) WaitIdle(ctx context.Context) bool {
	select {
	case <-s.idle:
		return true
	case <-ctx.Done():
		return false
	}
}

// requestDone decrements inFlight before it reads draining, and Drain sets draining
// before it reads inFlight, so that one of them sees the last request end.
func (s *Server) requestDone() {
	if s.inFlight.Add(-1) == 0 && s.draining.Load() {
		s.idleOnce.Do(func() { close(s.idle) })
	}
}

// closeTimeout bounds the wait for requests that go on when their caller has gone.
const closeTimeout = 100 * time.Millisecond

// Close closes the listener and every connection, and waits until they have ended, or
// closeTimeout has passed: a request that is not idempotent goes on without its caller.
func (s *Server) Close() {
	_ = s.Listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.netConn.Close()
	}
	s.mu.Unlock()
	ended := make(chan struct{})
	go func() { defer close(ended); s.wg.Wait() }()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		s.Log.Warn("Requests are still running when the process ends.", zap.Int64("requests", s.InFlight()))
	}
}

func (s *Server) remove(c *conn) {
	s.Connections.Done(c.admitted)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.wg.Done()
}

// limits returns the limits that apply to requests now.
func (s *Server) limits() manifest.Limits {
	l := manifest.Limits{
		HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes,
		HeaderTime: manifest.Duration(defaultHeaderTimeout), IdleTime: manifest.Duration(defaultIdleTimeout),
	}
	if m := s.Store.Load().Manifest; m != nil {
		overrideIfSet(&l.HeaderBytes, m.File.Limits.HeaderBytes)
		overrideIfSet(&l.BodyBytes, m.File.Limits.BodyBytes)
		overrideIfSet(&l.HeaderTime, m.File.Limits.HeaderTime)
		overrideIfSet(&l.IdleTime, m.File.Limits.IdleTime)
	}
	l.BodyBytes = min(l.BodyBytes, s.MaxBodyBytes)
	return l
}

func overrideIfSet[T int | manifest.Duration](to *T, v T) {
	if v > 0 {
		*to = v
	}
}
