// Package callers serves callers over HTTP/1.1 connections: it reads requests
// within their limits, runs those that arrive behind each other on a connection
// at the same time, writes the answers in order, and notices callers that leave.
// What headers mean is up to a codec. It uses fasthttp's message types on its
// own connections, because fasthttp's server answers one request of a
// connection at a time and does not watch the connection meanwhile.
package callers

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/state"
)

const (
	// maxPipelined bounds the requests of one connection that run at the same
	// time; further ones are not read.
	maxPipelined = 16
	// writeTime bounds writing one answer to a caller that does not read.
	writeTime = 10 * time.Second
	// acceptPause is the wait after a failed accept, as when descriptors run out.
	acceptPause = 20 * time.Millisecond
	// Limits in force until the configuration names others.
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 8 << 20
	defaultHeaderTime  = 10 * time.Second
	defaultIdleTime    = 60 * time.Second
	// minReader is the smallest read buffer of a connection in bytes.
	minReader = 4 << 10
)

// Codec translates between messages and exchanges. Its methods are called by
// several goroutines and must copy what they keep of a message.
type Codec interface {
	// Decode returns the request, never nil, and the outcome that refuses it if
	// there is one.
	Decode(raw *fasthttp.Request) (*filter.Request, *filter.Outcome)
	// Encode writes the answer. r is nil when the request could not be read.
	Encode(resp *fasthttp.Response, r *filter.Request, out *filter.Outcome)
}

// Config holds what a Server needs.
type Config struct {
	Listener         net.Listener
	Codec            Codec
	Chain            filter.Handler
	Store            *state.Store
	Clock            clock.Clock
	Counters         *metrics.Counters
	Log              *zap.Logger
	MaxConnections   int   // connections beyond it are closed unread
	MaxBufferedBytes int64 // bodies of all requests together; more are refused unread
	MaxBodyBytes     int   // largest body whatever the configuration allows, since bodies are held in memory
	// Observe hears of each finished request. It must not block.
	Observe func(x *filter.Exchange, out *filter.Outcome)
}

// Server serves callers.
type Server struct {
	Config
	open     atomic.Int64
	active   atomic.Int64
	held     atomic.Int64 // bytes of bodies in memory
	ending   atomic.Bool  // each answer ends its connection
	draining atomic.Bool  // idle connections are closed as well
	once     sync.Once
	idle     chan struct{} // closed when the last request was answered after Drain

	mu    sync.Mutex // guards conns; taken once per connection, not per request
	conns map[*conn]struct{}
	wg    sync.WaitGroup
}

// New returns a server. Serve comes next.
func New(c Config) *Server {
	return &Server{Config: c, conns: map[*conn]struct{}{}, idle: make(chan struct{})}
}

// Active returns the requests that were read and are not answered yet.
func (s *Server) InFlight() int64 { return s.active.Load() }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context) {
	refused := s.Counters.Int("callers.connections_refused")
	for {
		raw, err := s.Listener.Accept()
		if err != nil {
			timer := time.NewTimer(acceptPause)
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.C:
				continue
			}
		}
		if s.open.Add(1) > int64(s.MaxConnections) {
			s.open.Add(-1)
			refused.Add(1)
			_ = raw.Close()
			continue
		}
		c := newConn(s, raw)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Add(1)
		go c.run()
	}
}

// LastAnswers makes each answer from now on end its connection.
func (s *Server) DisableKeepAlive() { s.ending.Store(true) }

// Drain closes idle connections, and each other one after the answers to the
// requests that were read from it. New connections are still served, one
// request each.
func (s *Server) Drain() {
	s.ending.Store(true)
	s.draining.Store(true)
	if s.active.Load() == 0 {
		s.once.Do(func() { close(s.idle) })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.interrupt()
	}
}

// Idle waits after Drain until no request is being answered, or ctx ends.
func (s *Server) WaitIdle(ctx context.Context) bool {
	select {
	case <-s.idle:
		return true
	case <-ctx.Done():
		return false
	}
}

// answered counts down. It does so before it reads the mark, and Drain sets the
// mark before it reads the count, so that one of them sees the last answer.
func (s *Server) answered() {
	if s.active.Add(-1) == 0 && s.draining.Load() {
		s.once.Do(func() { close(s.idle) })
	}
}

// Close ends every connection.
func (s *Server) Close() {
	_ = s.Listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.raw.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) remove(c *conn) {
	s.open.Add(-1)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.wg.Done()
}

// limits returns what callers may send now.
func (s *Server) limits() manifest.Limits {
	l := manifest.Limits{
		HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes,
		HeaderTime: manifest.Duration(defaultHeaderTime), IdleTime: manifest.Duration(defaultIdleTime),
	}
	if m := s.Store.Load().Manifest; m != nil {
		set(&l.HeaderBytes, m.File.Limits.HeaderBytes)
		set(&l.BodyBytes, m.File.Limits.BodyBytes)
		set(&l.HeaderTime, m.File.Limits.HeaderTime)
		set(&l.IdleTime, m.File.Limits.IdleTime)
	}
	l.BodyBytes = min(l.BodyBytes, s.MaxBodyBytes)
	return l
}

func set[T int | manifest.Duration](to *T, v T) {
	if v > 0 {
		*to = v
	}
}
