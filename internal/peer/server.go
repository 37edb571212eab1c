package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// acceptRetryDelay is the time between a failed Accept and the next one.
const acceptRetryDelay = 50 * time.Millisecond

// ServerConfig limits the resources that peers can use on a server. Zero values select
// the defaults.
type ServerConfig struct {
	TLS                   *tls.Config   // nil: plain text
	MaxConnections        int           // default 512: two classes of 256 peers
	MaxMessageBytes       int           // bytes of one gob message; default 4 MiB
	MaxCallsPerConnection int           // in-flight calls per connection; default 128
	HandshakeTimeout      time.Duration // default 2s
	IdleTimeout           time.Duration // default 2m, above the ping interval of a pair in a fleet of 500
	WriteTimeout          time.Duration // default 5s; a peer that reads more slowly is disconnected
}

func (c *ServerConfig) setDefaults() {
	setDefault(&c.MaxConnections, 512)
	setDefault(&c.MaxMessageBytes, defaultMaxMessage)
	setDefault(&c.MaxCallsPerConnection, 128)
	setDefault(&c.HandshakeTimeout, 2*time.Second)
	setDefault(&c.IdleTimeout, 2*time.Minute)
	setDefault(&c.WriteTimeout, 5*time.Second)
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// Server accepts connections from peers.
type Server struct {
	config   ServerConfig
	rpc      *rpc.Server
	listener net.Listener
	traffic  *Traffic
	refused  atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
	stop     chan struct{} // closed by Close
}

// NewServer returns a plain-text server on the listener with default limits. Call Register
// before Serve.
func NewServer(l net.Listener) *Server { return NewServerWithConfig(l, ServerConfig{}) }

// NewServerWithConfig returns a server on the listener. Call Register before Serve.
func NewServerWithConfig(l net.Listener, config ServerConfig) *Server {
	config.setDefaults()
	return &Server{
		config: config, rpc: rpc.NewServer(), listener: l,
		traffic: &Traffic{}, conns: map[net.Conn]struct{}{}, stop: make(chan struct{}),
	}
}

// Traffic returns the traffic counters by method.
func (s *Server) Traffic() *Traffic { return s.traffic }

// RefusedConnections returns how many connections were closed because of the connection
// limit or a failed handshake.
func (s *Server) RefusedConnections() int64 { return s.refused.Load() }

// Register adds the methods of receiver under name, as net/rpc does.
func (s *Server) Register(name string, receiver any) error {
	return s.rpc.RegisterName(name, receiver)
}

// Serve accepts connections until Close and returns after all handlers have returned.
func (s *Server) Serve() {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			// Accept fails temporarily when the process runs out of file descriptors.
			select {
			case <-s.stop:
				return
			case <-time.After(acceptRetryDelay):
				continue
			}
		}
		if !s.track(conn) {
			s.refused.Add(1)
			_ = conn.Close()
			continue
		}
		wg.Go(func() {
			defer s.untrack(conn)
			s.serveConn(conn)
		})
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	rw := conn
	if s.config.TLS != nil {
		t := tls.Server(conn, s.config.TLS)
		ctx, cancel := context.WithTimeout(context.Background(), s.config.HandshakeTimeout)
		err := t.HandshakeContext(ctx)
		cancel()
		if err != nil {
			s.refused.Add(1)
			return
		}
		rw = t
	}
	bounded := &boundedConn{Conn: rw, idle: s.config.IdleTimeout, write: s.config.WriteTimeout}
	s.rpc.ServeCodec(newServerCodec(bounded, s.config.MaxMessageBytes, s.config.MaxCallsPerConnection, s.traffic))
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.config.MaxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close stops accepting and closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.stop)
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	_ = s.listener.Close()
}

// boundedConn limits the time that each read waits, and so the time between requests, and
// the time of each write.
type boundedConn struct {
	net.Conn
	idle, write time.Duration
}

// Read implements net.Conn with the idle timeout.
func (c *boundedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn with the write timeout.
func (c *boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.write)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
