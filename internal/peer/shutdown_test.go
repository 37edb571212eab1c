package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// swallowingConn accepts every write and reads io.EOF once it is closed, as a
// connection does whose peer goes away at the moment it is closed here.
type swallowingConn struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (c *swallowingConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *swallowingConn) SetWriteDeadline(time.Time) error { return nil }

func (c *swallowingConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, io.EOF
}

func (c *swallowingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// TestSentCallIsNeverNotSent guards against a call that is reported as not sent,
// and sent again, although it may have reached the peer: a hand-over of order
// records would then go to two entry hosts.
func TestSentCallIsNeverNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dials := 0
		c := NewClient(func(context.Context, string) (net.Conn, error) {
			dials++
			return &swallowingConn{closed: make(chan struct{})}, nil
		})
		result := make(chan error, 2)
		for _, limit := range []time.Duration{2 * time.Second, time.Second} {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			go func() { result <- c.Call(ctx, Data, "peer", "Order.HandOver", new(int), new(int)) }()
			synctest.Wait()
		}
		for range 2 { // the overdue call closes the connection under the other one
			is.True(errors.Is(<-result, ErrUnconfirmed))
		}
		is.Equal(dials, 1)
		c.Close()
	})
}

// TestShortCallKeepsConnection guards against a call with a short deadline that
// closes the connection and ends the calls of others on it with "unconfirmed".
// A caller's deadline of 1 ms is shorter than the way there and back.
func TestShortCallKeepsConnection(t *testing.T) {
	is := is.New(t)
	e := &echo{hold: make(chan struct{})}
	s := serve(t, ServerConfig{}, e)
	address := s.listener.Addr().String()
	c := NewClient(nil)
	defer c.Close()
	is.NoErr(c.Connect(context.Background(), Control, address))
	other := make(chan error, 1)
	go func() {
		_, err := call(c, address, 7, 10*time.Second)
		other <- err
	}()
	for e.running.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := call(c, address, 8, time.Millisecond)
	is.True(errors.Is(err, ErrUnconfirmed))
	close(e.hold)
	is.NoErr(<-other)
}

// TestShortCallsFindDeadPeer guards against a dead connection that stays in use
// because every call on it is short.
func TestShortCallsFindDeadPeer(t *testing.T) {
	is := is.New(t)
	e := &echo{hold: make(chan struct{})}
	defer close(e.hold)
	s := serve(t, ServerConfig{}, e)
	address := s.listener.Addr().String()
	c := NewClient(nil)
	defer c.Close()
	is.NoErr(c.Connect(context.Background(), Control, address))
	for range 100 {
		_, _ = call(c, address, 7, silence/20)
		time.Sleep(silence / 20)
		if len(*c.conns.Load()) == 0 {
			return
		}
	}
	t.Fatal("the connection is still in use")
}
