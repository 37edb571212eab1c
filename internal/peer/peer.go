// Package peer carries messages between entry hosts over net/rpc. net/rpc has
// no deadline, so each call is bounded here, and a connection with an overdue
// call is closed. Control and request messages use different connections.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
)

// Class selects the connection of a call.
type Class uint8

const (
	// Control is for heartbeats, leases and manifests.
	Control Class = iota
	// Data is for grants and orders, on the path of a request.
	Data
	numClasses
)

// ErrNotSent means that no byte of the call left this process.
var ErrNotSent = errors.New("peer: not connected")

// ErrUnconfirmed means that the call may have reached the peer.
var ErrUnconfirmed = errors.New("peer: no answer")

// RemoteError is an error that the peer's handler returned.
type RemoteError struct{ Message string }

// Error implements error.
func (e *RemoteError) Error() string { return "peer: " + e.Message }

// Caller calls methods of entry hosts by peer address (IP:port).
type Caller interface {
	Call(ctx context.Context, class Class, address, method string, args, reply any) error
}

// dialTimeout bounds opening a connection to a peer.
const dialTimeout = 500 * time.Millisecond

// Client is a Caller with one connection per peer and class.
type Client struct {
	dial  func(ctx context.Context, address string) (net.Conn, error)
	conns atomic.Pointer[connTable]
	mu    sync.Mutex // serialises changes of conns; calls only load the table
	bytes *Bytes
}

type connKey struct {
	address string
	class   Class
}

type connTable map[connKey]*rpc.Client

// Bytes counts the bytes sent and received by class.
type Bytes struct {
	Sent, Received [numClasses]atomic.Int64
}

// NewClient returns a client that dials with dial, or over plain TCP if nil.
func NewClient(dial func(ctx context.Context, address string) (net.Conn, error)) *Client {
	if dial == nil {
		d := &net.Dialer{Timeout: dialTimeout}
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	c := &Client{dial: dial, bytes: &Bytes{}}
	c.conns.Store(&connTable{})
	return c
}

// Bytes returns the traffic counters.
func (c *Client) Bytes() *Bytes { return c.bytes }

// Call implements Caller. The context must carry a deadline; an overdue call
// closes the connection, so other calls on it end with ErrUnconfirmed.
func (c *Client) Call(ctx context.Context, class Class, address, method string, args, reply any) error {
	key := connKey{address, class}
	cl, err := c.client(ctx, key)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	call := cl.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.result(key, cl, call.Error)
	case <-ctx.Done():
		if ctx.Err() == context.DeadlineExceeded {
			c.drop(key, cl)
		}
		return errors.Wrap(ErrUnconfirmed, ctx.Err().Error())
	}
}

func (c *Client) result(key connKey, cl *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	if remote, ok := errors.Into[rpc.ServerError](err); ok {
		return &RemoteError{Message: string(remote)}
	}
	c.drop(key, cl)
	if errors.Is(err, rpc.ErrShutdown) {
		return ErrNotSent
	}
	return errors.Wrap(ErrUnconfirmed, err.Error())
}

func (c *Client) client(ctx context.Context, key connKey) (*rpc.Client, error) {
	if cl := (*c.conns.Load())[key]; cl != nil {
		return cl, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(dialCtx, key.address)
	if err != nil {
		return nil, err
	}
	cl := rpc.NewClient(&countedConn{Conn: conn, class: key.class, bytes: c.bytes})
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := (*c.conns.Load())[key]; other != nil {
		_ = cl.Close()
		return other, nil
	}
	c.edit(func(t connTable) { t[key] = cl })
	return cl, nil
}

func (c *Client) drop(key connKey, cl *rpc.Client) {
	c.mu.Lock()
	if (*c.conns.Load())[key] == cl {
		c.edit(func(t connTable) { delete(t, key) })
	}
	c.mu.Unlock()
	_ = cl.Close()
}

func (c *Client) edit(change func(connTable)) {
	old := *c.conns.Load()
	next := make(connTable, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	change(next)
	c.conns.Store(&next)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cl := range *c.conns.Load() {
		_ = cl.Close()
	}
	c.conns.Store(&connTable{})
}

type countedConn struct {
	net.Conn
	class Class
	bytes *Bytes
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Received[c.class].Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Sent[c.class].Add(int64(n))
	return n, err
}

// Server accepts connections from peers.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
}

// NewServer returns a server on the listener. Register comes before Serve.
func NewServer(l net.Listener) *Server {
	return &Server{rpc: rpc.NewServer(), listener: l, conns: map[net.Conn]struct{}{}}
}

// Register adds the methods of receiver under name, as net/rpc does.
func (s *Server) Register(name string, receiver any) error {
	return s.rpc.RegisterName(name, receiver)
}

// Serve accepts connections until Close.
func (s *Server) Serve() {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.track(conn) {
			_ = conn.Close()
			return
		}
		wg.Go(func() {
			s.rpc.ServeConn(conn)
			s.untrack(conn)
		})
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
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
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	_ = s.listener.Close()
}
