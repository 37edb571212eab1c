// Package listen opens the listeners of an entry host. Their Accept does not fail while they
// are open: the HTTP servers that use them end for good at the first error.
package listen

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// retryDelay is the wait after a failed accept, for example when file descriptors run out.
const retryDelay = 20 * time.Millisecond

// TCP opens a listener on an address.
func TCP(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return persistent(l), nil
}

// listener tries again after a failed accept until it is closed.
type listener struct {
	net.Listener
	closed chan struct{}
	once   sync.Once
}

func persistent(l net.Listener) *listener { return &listener{Listener: l, closed: make(chan struct{})} }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		timer := time.NewTimer(retryDelay)
		select {
		case <-timer.C:
		case <-l.closed:
			timer.Stop()
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
