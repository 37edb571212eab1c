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

// blackholeConn accepts every write and reads io.EOF once it is closed, like a connection
// whose peer disconnects at the moment at which this side closes it.
type blackholeConn struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (c *blackholeConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *blackholeConn) SetWriteDeadline(time.Time) error { return nil }

func (c *blackholeConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, io.EOF
}

func (c *blackholeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// TestSentCallIsUnconfirmed guards against a call that is reported as not sent, and sent
// again, although it may have reached the peer: a hand-over of order records would then
// go to two entry hosts.
func TestSentCallIsUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dials := 0
		c := NewClient(func(context.Context, string) (net.Conn, error) {
			dials++
			return &blackholeConn{closed: make(chan struct{})}, nil
		})
		result := make(chan error, 2)
		for _, limit := range []time.Duration{2 * time.Second, time.Second} {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			go func() { result <- c.Call(ctx, Data, "peer", "Order.HandOver", new(int), new(int)) }()
			synctest.Wait()
		}
		for range 2 { // the overdue call closes the connection that the other call uses
			is.True(errors.Is(<-result, ErrUnconfirmed))
		}
		is.Equal(dials, 1)
		c.Close()
	})
}

// TestShortCallKeepsConnection guards against a call with a short deadline that closes the
// connection and so ends other calls on it with ErrUnconfirmed. A caller's deadline of
// 1 ms is shorter than the round trip.
func TestShortCallKeepsConnection(t *testing.T) {
	is := is.New(t)
	e := &echo{block: make(chan struct{})}
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
	close(e.block)
	is.NoErr(<-other)
}

// TestShortCallsDetectUnresponsivePeer guards against a connection that stays in use
// although its peer does not respond, because every call on it has a short deadline.
func TestShortCallsDetectUnresponsivePeer(t *testing.T) {
	is := is.New(t)
	e := &echo{block: make(chan struct{})}
	defer close(e.block)
	s := serve(t, ServerConfig{}, e)
	address := s.listener.Addr().String()
	c := NewClient(nil)
	defer c.Close()
	is.NoErr(c.Connect(context.Background(), Control, address))
	for range 100 {
		_, _ = call(c, address, 7, unresponsiveAfter/20)
		time.Sleep(unresponsiveAfter / 20)
		if len(*c.conns.Load()) == 0 {
			return
		}
	}
	t.Fatal("the connection to an unresponsive peer is still in use")
}
