package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Time limits of a client connection. They prevent a call to a peer that stopped reading,
// or does not respond to the handshake, from blocking.
const (
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = 2 * time.Second
	// unresponsiveAfter is how long nothing may be received on a connection before an
	// overdue call closes it: ten round trips between data centres of a region. A
	// call's deadline may be shorter than one round trip, and other calls share the
	// connection.
	unresponsiveAfter = 30 * time.Millisecond
)

// Dial opens a connection to a peer address (IP:port).
type Dial func(ctx context.Context, address string) (net.Conn, error)

// NewDial returns a Dial over TLS with the configuration of LoadTLS, or over
// plain TCP if config is nil.
func NewDial(config *tls.Config) Dial {
	d := &net.Dialer{Timeout: dialTimeout}
	if config == nil {
		return func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	t := &tls.Dialer{NetDialer: d, Config: config}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return t.DialContext(ctx, "tcp", address)
	}
}

// Client is a Caller with one connection per peer and class.
type Client struct {
	dial    func(ctx context.Context, address string) (net.Conn, error)
	conns   atomic.Pointer[connTable]
	mu      sync.Mutex // serializes changes of conns; calls only load the map
	closed  bool       // guarded by mu
	bytes   *ClassTraffic
	traffic *Traffic
}

type connKey struct {
	address string
	class   Class
}

// clientConn is an RPC client and its connection, which counts the received bytes.
type clientConn struct {
	*rpc.Client
	conn *countedConn
}

type connTable map[connKey]*clientConn

// ClassTraffic counts the bytes sent and received by class.
type ClassTraffic struct {
	Sent, Received [numClasses]atomic.Int64
}

// NewClient returns a client that dials with dial, or over plain TCP if nil.
func NewClient(dial func(ctx context.Context, address string) (net.Conn, error)) *Client {
	if dial == nil {
		dial = NewDial(nil)
	}
	c := &Client{dial: dial, bytes: &ClassTraffic{}, traffic: &Traffic{}}
	c.conns.Store(&connTable{})
	return c
}

// ClassTraffic returns the traffic counters by class.
func (c *Client) ClassTraffic() *ClassTraffic { return c.bytes }

// Traffic returns the traffic counters by method.
func (c *Client) Traffic() *Traffic { return c.traffic }

// Call implements Caller. The context must have a deadline. An overdue call closes the
// connection when nothing was received on it during the call and for at least
// unresponsiveAfter; other calls on it then end with ErrUnconfirmed. A connection on which
// other responses still arrive is kept. A call on a connection that the peer closed while
// it was idle is sent once more on a new connection, since none of its bytes were sent.
func (c *Client) Call(ctx context.Context, class Class, address, method string, args, reply any) error {
	key := connKey{address, class}
	for attempt := 0; ; attempt++ {
		cl, err := c.client(ctx, key)
		if err != nil {
			return errors.Wrap(ErrNotSent, err.Error())
		}
		err = c.callOn(ctx, cl, key, method, args, reply)
		if attempt > 0 || !errors.Is(err, rpc.ErrShutdown) {
			return toPeerError(err)
		}
	}
}

// Connect connects to a peer before the first call, which then does not wait for the
// handshake.
func (c *Client) Connect(ctx context.Context, class Class, address string) error {
	_, err := c.client(ctx, connKey{address, class})
	return err
}

func (c *Client) callOn(ctx context.Context, cl *clientConn, key connKey, method string, args, reply any) error {
	before, start := cl.conn.received.Load(), time.Now()
	call := cl.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if _, remote := errors.Into[rpc.ServerError](call.Error); call.Error != nil && !remote {
			c.drop(key, cl)
		}
		return call.Error
	case <-ctx.Done():
		if ctx.Err() == context.DeadlineExceeded && cl.conn.unresponsive(before, start) {
			c.drop(key, cl)
		}
		return ctx.Err()
	}
}

// toPeerError maps an error of net/rpc to the errors of this package. rpc.ErrShutdown
// means that the connection was closed before the call was written.
func toPeerError(err error) error {
	if err == nil {
		return nil
	}
	if remote, ok := errors.Into[rpc.ServerError](err); ok {
		return &RemoteError{Message: string(remote)}
	}
	if errors.Is(err, rpc.ErrShutdown) {
		return ErrNotSent
	}
	return errors.Wrap(ErrUnconfirmed, err.Error())
}

func (c *Client) client(ctx context.Context, key connKey) (*clientConn, error) {
	if cl := (*c.conns.Load())[key]; cl != nil {
		return cl, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(dialCtx, key.address)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: conn, class: key.class, bytes: c.bytes}
	codec := &clientCodec{stream: newStream(counted, defaultMaxMessage, c.traffic)}
	c.mu.Lock()
	defer c.mu.Unlock()
	other := (*c.conns.Load())[key]
	if c.closed || other != nil {
		_ = conn.Close()
		if other != nil {
			return other, nil
		}
		return nil, errors.New("client is closed")
	}
	cl := &clientConn{Client: rpc.NewClientWithCodec(codec), conn: counted}
	c.updateConns(func(t connTable) { t[key] = cl })
	return cl, nil
}

func (c *Client) drop(key connKey, cl *clientConn) {
	c.mu.Lock()
	if (*c.conns.Load())[key] == cl {
		c.updateConns(func(t connTable) { delete(t, key) })
	}
	c.mu.Unlock()
	_ = cl.Close()
}

func (c *Client) updateConns(change func(connTable)) {
	old := *c.conns.Load()
	next := make(connTable, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	change(next)
	c.conns.Store(&next)
}

// Close closes all connections. Later calls return ErrNotSent.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, cl := range *c.conns.Load() {
		_ = cl.Close()
	}
	c.conns.Store(&connTable{})
}

type countedConn struct {
	net.Conn
	class    Class
	bytes    *ClassTraffic
	received atomic.Int64
	overdue  atomic.Pointer[overdue]
}

// overdue is the first overdue call since the last byte was received.
type overdue struct {
	received int64
	start    time.Time
}

// unresponsive reports whether an overdue call shows that the peer does not respond. The
// call was sent at start, when before bytes had been received. Successive overdue calls
// count together, so that calls with short deadlines also detect it.
func (c *countedConn) unresponsive(before int64, start time.Time) bool {
	if c.received.Load() != before {
		return false
	}
	first := c.overdue.Load()
	if first == nil || first.received != before {
		first = &overdue{before, start}
		c.overdue.Store(first)
	}
	return time.Since(first.start) >= unresponsiveAfter
}

// Read implements net.Conn and counts the received bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	c.bytes.Received[c.class].Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the sent bytes. It has a timeout, since rpc.Client
// sends while it holds a lock and without a deadline.
func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.bytes.Sent[c.class].Add(int64(n))
	return n, err
}
