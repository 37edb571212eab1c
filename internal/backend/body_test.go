package backend

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// framing writes the head, body and end of a response in one of the ways that mark its
// end.
type framing struct {
	head  string
	block func(p []byte) string
	end   string
	close bool // the end of the connection marks the end of the response
}

func framings(size int) map[string]framing {
	raw := func(p []byte) string { return string(p) }
	return map[string]framing{
		"length":      {fmt.Sprintf("Content-Length: %d\r\n", size), raw, "", false},
		"chunks":      {"Transfer-Encoding: chunked\r\n", func(p []byte) string { return fmt.Sprintf("%x\r\n%s\r\n", len(p), p) }, "0\r\n\r\n", false},
		"end of data": {"", raw, "", true},
	}
}

// TestLargeResponse guards against a response that is refused because it does not fit
// into memory, against one that is forwarded in part and looks complete, and against a
// connection that is reused or memory that stays counted after it.
func TestLargeResponse(t *testing.T) {
	const size, blockBytes = 3 << 20, 32 << 10
	block := bytes.Repeat([]byte("0123456789abcdef"), blockBytes/16)
	for name, f := range framings(size) {
		for _, sent := range []int{size, size / 2} {
			t.Run(fmt.Sprint(name, " ", sent), func(t *testing.T) {
				is := is.New(t)
				s := listen(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
					for s.readRequest(r) {
						_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + f.head + "\r\n"))
						for range sent / blockBytes {
							_, _ = c.Write([]byte(f.block(block)))
						}
						if sent < size {
							_ = c.(*net.TCPConn).SetLinger(0) // a close alone ends a response without a length
							break
						}
						_, _ = c.Write([]byte(f.end))
						if f.close {
							break
						}
					}
					_ = c.Close()
				})
				tr := New(Options{Lenient: true})
				for range 2 {
					a := attempt(s.Addr().String(), "GET")
					a.Cleanup = &filter.Cleanup{}
					res := tr.Do(context.Background(), a)
					if res.Response == nil {
						is.True(sent < size) // it broke off before the caller got a part of it
						is.Equal(res.Facts.ResponseState, verdict.ResponseTruncated)
						a.Cleanup.Run()
						continue
					}
					is.True(res.Response.Rest != nil)
					is.True(len(res.Response.Body) <= holdBytes)
					is.True(tr.memory.Used() <= holdBytes)
					rest, err := io.ReadAll(res.Response.Rest)
					is.Equal(err == nil, sent == size)
					is.Equal(res.Response.Rest.Err() == nil, sent == size)
					if sent == size {
						is.Equal(append(res.Response.Body, rest...), bytes.Repeat(block, size/blockBytes))
					}
					res.Response.Rest.Close()
					a.Cleanup.Run()
				}
				is.Equal(s.accepted.Load() == 1, sent == size && !f.close) // the connection is reused only after a whole body
				is.Equal(tr.memory.Used(), int64(0))
				open := tr.pool(s.Addr().String()).open.Load()
				is.Equal(open, int64(2)-s.accepted.Load()) // none is left open but the reused one
			})
		}
	}
}

// TestFullMemoryForwards guards against a response that is refused after its server has
// made it, because other responses take up the memory for large ones.
func TestFullMemoryForwards(t *testing.T) {
	is := is.New(t)
	const size, requests, bound = 200 << 10, 16, 1 << 20
	s := listen(t, respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)+strings.Repeat("x", size), false))
	tr := New(Options{MaxBufferedBytes: bound})
	var held, forwarded int
	cleanup := &filter.Cleanup{}
	for range requests {
		a := attempt(s.Addr().String(), "GET")
		a.Cleanup = cleanup
		res := tr.Do(context.Background(), a)
		is.Equal(res.Facts.ResponseState, verdict.ResponseComplete)
		is.True(tr.memory.Used() <= bound)
		if res.Response.Rest == nil {
			held++
			continue
		}
		forwarded++
		rest, err := io.ReadAll(res.Response.Rest)
		is.NoErr(err)
		is.Equal(len(res.Response.Body)+len(rest), size)
		res.Response.Rest.Close()
	}
	is.True(held > 0)
	is.True(forwarded > 0)
	cleanup.Run()
	is.Equal(tr.memory.Used(), int64(0))
	is.Equal(s.accepted.Load(), int64(1))
}

// TestStatedLengthTakesNoMemory guards against servers that state large bodies and send
// nothing, which take up the memory of the host.
func TestStatedLengthTakesNoMemory(t *testing.T) {
	is := is.New(t)
	answered := make(chan struct{})
	s := listen(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		s.readRequest(r)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 100)))
		close(answered)
		_, _ = r.ReadByte()
	})
	tr := New(Options{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		tr.Do(ctx, attempt(s.Addr().String(), "GET"))
	}()
	<-answered
	is.Equal(tr.memory.Used(), int64(0))
	cancel()
	<-done
}

// TestCleanup guards against a resource that is kept because it was registered when the
// request had already ended, as by a hedged copy.
func TestCleanup(t *testing.T) {
	is := is.New(t)
	var c filter.Cleanup
	var order []int
	c.Add(func() { order = append(order, 1) })
	c.Add(func() { order = append(order, 2) })
	c.Run()
	c.Run()
	c.Add(func() { order = append(order, 3) })
	is.Equal(order, []int{2, 1, 3})
}
