package fake

import (
	"context"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/peer"
)

// Fault describes what goes wrong with one call between entry hosts.
type Fault struct {
	Drop      bool          // the request is lost
	Delay     time.Duration // the request arrives late, even if the caller has timed out
	DropReply bool          // the request arrives, but the reply is lost
}

// Network connects entry hosts within one process. It carries the same gob stream as
// a real network, over net.Pipe, so that it also works in a synctest bubble.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	faultRule atomic.Pointer[func(from, to, method string) Fault]
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network { return &Network{listeners: map[string]*pipeListener{}} }

// SetFaultRule sets the function that selects the fault of each call; nil: no faults.
func (n *Network) SetFaultRule(f func(from, to, method string) Fault) {
	if f == nil {
		n.faultRule.Store(nil)
		return
	}
	n.faultRule.Store(&f)
}

// Listen opens a listener on the address. It replaces a closed listener.
func (n *Network) Listen(address string) net.Listener {
	l := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Caller returns a peer.Caller for the entry host at from.
func (n *Network) Caller(from string) *Caller {
	return &Caller{network: n, from: from, Client: peer.NewClient(n.dial)}
}

func (n *Network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	clientEnd, serverEnd := net.Pipe()
	select {
	case l.conns <- serverEnd:
		return clientEnd, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Caller is a peer.Client whose calls have the faults of the network.
type Caller struct {
	*peer.Client
	network *Network
	from    string
	mu      sync.Mutex
	closed  bool           // no more delayed requests are started; guarded by mu
	delayed sync.WaitGroup // goroutines that send delayed requests
}

// Close closes the connections and waits for delayed requests.
func (c *Caller) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.Client.Close()
	c.delayed.Wait()
}

// Call implements peer.Caller.
func (c *Caller) Call(ctx context.Context, class peer.Class, address, method string, args, reply any) error {
	var f Fault
	if faultRule := c.network.faultRule.Load(); faultRule != nil {
		f = (*faultRule)(c.from, address, method)
	}
	switch {
	case f.Drop:
		<-ctx.Done()
		return peer.ErrUnconfirmed
	case f.Delay > 0:
		return c.delay(ctx, f, class, address, method, args, reply)
	case f.DropReply:
		_ = c.Client.Call(ctx, class, address, method, args, reflect.New(reflect.TypeOf(reply).Elem()).Interface())
		<-ctx.Done()
		return peer.ErrUnconfirmed
	}
	return c.Client.Call(ctx, class, address, method, args, reply)
}

// start runs send on a goroutine of its own, unless the caller is closed.
func (c *Caller) start(send func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.delayed.Go(send)
	}
	return !c.closed
}

// delay sends the request after the delay, even if the caller has timed out by then.
func (c *Caller) delay(ctx context.Context, f Fault, class peer.Class, address, method string, args, reply any) error {
	delayedReply := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan error, 1)
	started := c.start(func() {
		time.Sleep(f.Delay)
		callCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		done <- c.Client.Call(callCtx, class, address, method, args, delayedReply.Interface())
	})
	if !started {
		return peer.ErrUnconfirmed
	}
	select {
	case err := <-done:
		reflect.ValueOf(reply).Elem().Set(delayedReply.Elem())
		return err
	case <-ctx.Done():
		return peer.ErrUnconfirmed
	}
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.address) }

type pipeAddr string

// Network implements net.Addr.
func (pipeAddr) Network() string { return "pipe" }

// String implements net.Addr.
func (a pipeAddr) String() string { return string(a) }
