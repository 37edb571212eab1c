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

// TestStalledCaller guards against a caller that does not read its answer and
// so keeps the connection, the memory of the answer and a graceful stop.
func TestStalledCaller(t *testing.T) {
	is := is.New(t)
	large := string(make([]byte, 8<<20))
	f, address, _ := start(t, func(context.Context, *filter.Exchange) filter.Outcome { return ran(large) })
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
	t.Fatal("the connection of a caller that does not read is still open after 10 read times")
}

// TestSlowCaller guards against a large answer that is cut although its caller
// reads it, only more slowly than the write time of one part.
func TestSlowCaller(t *testing.T) {
	is := is.New(t)
	large := string(make([]byte, 8<<20))
	f, address, _ := start(t, func(context.Context, *filter.Exchange) filter.Outcome { return ran(large) })
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	is.NoErr(err)
	for range 8 { // twice the write time in all
		time.Sleep(f.listener.writeTime / 4)
		_, err = io.CopyN(io.Discard, c, 1<<20)
		is.NoErr(err)
	}
}
