package backend

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// maxAcceptedBytes is far above what sockets buffer, and far below what a server sends
// over loopback until the request times out.
const maxAcceptedBytes = 64 << 20

// foreignDialect takes each response for the one to another request.
type foreignDialect struct{ DefaultDialect }

func (foreignDialect) Inspect(*fasthttp.Response, *filter.Attempt, *filter.Result) (verdict.ResponseState, bool) {
	return verdict.ResponseForeign, false
}

// TestEndlessResponse guards against a server that sends bytes without end, in a head or
// a body, and holds a request until its timeout or takes up memory without bound.
func TestEndlessResponse(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\n"
	chunked := ok + "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ begin, repeat string }{
		"no status line":       {"", "x"},
		"empty lines":          {"", "\r\n"},
		"header":               {ok + "X: ", "x"},
		"headers":              {ok, "X: y\r\n"},
		"informational":        {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"body without length":  {ok + "\r\n", "x"},
		"body with length":     {ok + "Content-Length: 99999999999\r\n\r\n", "x"},
		"chunks":               {chunked, "2\r\nok\r\n"},
		"empty-looking chunks": {chunked, "1;x=y\r\nz\r\n"},
		"chunk size":           {chunked, "0"},
		"chunk extension":      {chunked + "2;", "x"},
		"trailers":             {chunked + "0\r\n", "X: y\r\n"},
		"trailer":              {chunked + "0\r\nX: ", "x"},
		"other responses":      {"", "HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: 2\r\n\r\nok"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var accepted atomic.Int64
			done := make(chan struct{})
			s := listen(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
				defer close(done)
				s.readRequest(r)
				if n, err := conn.Write([]byte(c.begin)); err != nil || n < len(c.begin) {
					return
				}
				block := []byte(strings.Repeat(c.repeat, 64<<10/len(c.repeat)))
				for accepted.Load() < 4*maxAcceptedBytes {
					n, err := conn.Write(block)
					accepted.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			tr := New(Options{MaxBody: 1 << 20, Lenient: true, Dialect: foreignDialect{}})
			a := attempt(s.Addr().String(), "GET")
			a.Timeout = time.Minute
			res := tr.Do(context.Background(), a)
			<-done
			v, reason := verdict.Decide(res.Facts)
			t.Log(reason, accepted.Load(), res.Err)
			is.Equal(v, verdict.MayHaveRun)
			if res.Err != nil {
				is.True(len(res.Err.Error()) < 200) // the log line of the request contains it
			}
			is.True(!res.Facts.TimedOut)
			if n := accepted.Load(); n > maxAcceptedBytes {
				t.Errorf("%d bytes were read", n)
			}
		})
	}
}

// TestLargeResponsesShareMemory guards against servers that send bodies without end to
// many requests at once, which together take up the memory of the host.
func TestLargeResponsesShareMemory(t *testing.T) {
	is := is.New(t)
	const requests, size = 8, 1 << 20
	sent := make(chan struct{}, requests)
	s := listen(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
		s.readRequest(r)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("x", size)))
		sent <- struct{}{}
		_, _ = r.ReadByte() // keeps the connection open until the client closes it
	})
	small := listen(t, respondWith(ok200, false))
	tr := New(Options{MaxBody: 8 << 20, MaxBufferedBytes: 4 << 20})
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan verdict.Reason, requests)
	for range requests {
		go func() {
			a := attempt(s.Addr().String(), "GET")
			a.Timeout = time.Minute
			res := tr.Do(ctx, a)
			_, reason := verdict.Decide(res.Facts)
			results <- reason
		}()
	}
	refused := 0
	for refused < requests/2-1 { // half of them fit, but for their first bytes, which are free
		is.Equal(<-results, verdict.ReasonAnswerTooLarge)
		refused++
	}
	res := tr.Do(context.Background(), attempt(small.Addr().String(), "GET"))
	is.Equal(res.Facts.ResponseState, verdict.ResponseComplete) // small responses are not affected
	cancel()
	for ; refused < requests; refused++ {
		<-results
	}
	is.Equal(tr.memory.Used(), int64(0)) // all memory is given back
}

// TestEndlessProbes guards against servers whose answers to probes never end and take up
// the memory that the responses of other servers need.
func TestEndlessProbes(t *testing.T) {
	is := is.New(t)
	const probes, size = 8, 1 << 20
	sent := make(chan struct{}, probes)
	faulty := listen(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
		s.readRequest(r)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", size)))
		sent <- struct{}{}
		_, _ = r.ReadByte() // keeps the connection open until the client closes it
	})
	large := listen(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("y", 1_000_000), false))
	tr := New(Options{MaxBody: 8 << 20, MaxBufferedBytes: 4 << 20, Lenient: true})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan filter.Result, probes)
	for range probes {
		go func() {
			a := attempt(faulty.Addr().String(), "GET")
			a.Probe, a.Timeout = true, time.Minute
			ended <- tr.Do(ctx, a)
		}()
	}
	for range probes {
		<-sent // the probes have received what they hold
	}
	res := tr.Do(context.Background(), attempt(large.Addr().String(), "GET"))
	is.Equal(res.Facts.ResponseState, verdict.ResponseComplete)
	is.Equal(len(res.Response.Body), 1_000_000)
	cancel()
	for range probes {
		res := <-ended
		is.Equal(res.Facts.ResponseState, verdict.ResponseTooLarge)
	}
	is.Equal(tr.memory.Used(), int64(0))
}
