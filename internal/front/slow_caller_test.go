package front

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/filter"
)

// TestStalledCaller guards against a caller that does not read its response and so holds
// the connection and the memory of the response, and delays a graceful shutdown.
func TestStalledCaller(t *testing.T) {
	is := is.New(t)
	large := string(make([]byte, 8<<20))
	f, address, _ := startFront(t, func(context.Context, *filter.Exchange) filter.Outcome { return runOutcome(large) })
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	is.NoErr(err)
	for range 100 {
		time.Sleep(50 * time.Millisecond)
		if f.listener.open.Load() == 0 {
			return
		}
	}
	t.Fatal("the connection of a caller that does not read is still open after 10 read timeouts")
}

// TestSlowCaller guards against a large response that is truncated although its caller
// reads it: more slowly than one write timeout for the whole response, but within the
// write timeout of each chunk.
func TestSlowCaller(t *testing.T) {
	is := is.New(t)
	large := string(make([]byte, 8<<20))
	f, address, _ := startFront(t, func(context.Context, *filter.Exchange) filter.Outcome { return runOutcome(large) })
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	is.NoErr(err)
	for range 8 { // twice the write timeout in total
		time.Sleep(f.listener.writeTimeout / 4)
		_, err = io.CopyN(io.Discard, c, 1<<20)
		is.NoErr(err)
	}
}
