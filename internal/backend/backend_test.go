package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// hostile answers each request on each connection with the bytes of answer.
type hostile struct {
	net.Listener
	accepted atomic.Int64
	requests atomic.Int64
	seen     atomic.Pointer[string] // last request
}

func listen(t testing.TB, serve func(s *hostile, c net.Conn, r *bufio.Reader)) *hostile {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &hostile{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go serve(s, c, bufio.NewReader(c))
		}
	}()
	return s
}

func (s *hostile) next(r *bufio.Reader) bool {
	var req fasthttp.Request
	if req.Read(r) != nil {
		return false
	}
	text := req.String()
	s.seen.Store(&text)
	s.requests.Add(1)
	return true
}

// answering sends answer to each request and then ends the connection if close is set.
func answering(answer string, close bool) func(*hostile, net.Conn, *bufio.Reader) {
	return func(s *hostile, c net.Conn, r *bufio.Reader) {
		for s.next(r) {
			_, _ = c.Write([]byte(answer))
			if close {
				break
			}
		}
		_ = c.Close()
	}
}

func resetting(s *hostile, c net.Conn, r *bufio.Reader) {
	s.next(r)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func silent(s *hostile, c net.Conn, r *bufio.Reader) {
	for s.next(r) {
		continue
	}
}

func attempt(address, method string) *filter.Attempt {
	return &filter.Attempt{
		Address: address, Remaining: time.Second, Timeout: 5 * time.Second,
		Request: &filter.Request{Method: method, Host: "h", Path: "/p", Query: "a=1", Body: []byte("body")},
	}
}

const ok200 = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestFacts guards against a cut, late, oversized or wrong-length answer that
// counts as complete, against a complete one that is lost, and against the
// reuse of a connection after anything but a complete answer.
func TestFacts(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name   string
		serve  func(*hostile, net.Conn, *bufio.Reader)
		method string
		answer verdict.ResponseState
		v      verdict.Verdict
		reason verdict.Reason
		reset  bool
		reused bool
	}{
		{"complete", answering(ok200, false), "GET", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"chunked", answering(head+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false), "POST", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"chunked with trailer", answering(head+"Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n", false), "POST", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"informational first", answering("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+ok200, false), "GET", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"head", answering(head+"Content-Length: 9\r\n\r\n", false), "HEAD", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"204", answering("HTTP/1.1 204 No Content\r\n\r\n", false), "GET", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"304", answering("HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", false), "GET", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"empty", answering(head+"Content-Length: 0\r\n\r\n", false), "GET", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"connection close", answering(head+"Connection: close\r\nContent-Length: 2\r\n\r\nok", true), "GET", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, false},
		{"shed", answering("HTTP/1.1 503 Shed\r\nBackend-Shed: not-run\r\nContent-Length: 0\r\n\r\n", false), "POST", verdict.ResponseShed, verdict.NotRun, verdict.ReasonShed, false, true},
		{"503 without shed mark", answering("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false), "POST", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"200 with shed mark", answering(head+"Backend-Shed: not-run\r\nContent-Length: 0\r\n\r\n", false), "POST", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"cut shed", answering("HTTP/1.1 503 Shed\r\nBackend-Shed: not-run\r\nContent-Length: 5\r\n\r\nno", true), "POST", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, true, false},
		{"no length", answering(head+"\r\nok", true), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, false, false},
		{"cut body", answering(head+"Content-Length: 9\r\n\r\nok", true), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, true, false},
		{"cut chunk", answering(head+"Transfer-Encoding: chunked\r\n\r\n5\r\nok", true), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, true, false},
		{"last chunk missing", answering(head+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, true, false},
		{"cut header", answering("HTTP/1.1 200 OK\r\nContent-Le", true), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, true, false},
		{"extra bytes", answering(ok200+"more", false), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, false, false},
		{"two answers", answering(ok200+ok200, false), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, false, false},
		{"two lengths", answering(head+"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", false), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, false, false},
		{"garbage", answering("220 mail.example ESMTP\r\n\r\n", false), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, false, false},
		{"switching protocols", answering("HTTP/1.1 101 Switching\r\n\r\n", false), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, false, false},
		{"too large", answering(head+"Content-Length: 2000\r\n\r\n"+strings.Repeat("x", 2000), false), "GET", verdict.ResponseTooLarge, verdict.MayHaveRun, verdict.ReasonAnswerTooLarge, false, false},
		{"header too large", answering(head+"X: "+strings.Repeat("x", 9000)+"\r\n\r\n", false), "GET", verdict.ResponseTooLarge, verdict.MayHaveRun, verdict.ReasonAnswerTooLarge, false, false},
		{"reset", resetting, "POST", verdict.ResponseNone, verdict.MayHaveRun, verdict.ReasonAnswerCut, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := listen(t, c.serve)
			tr := New(Options{MaxBody: 1000})
			for range 2 {
				res := tr.Do(context.Background(), attempt(s.Addr().String(), c.method))
				is.Equal(res.Facts.ResponseState, c.answer)
				is.True(res.Facts.FirstByte && res.Facts.Connected)
				v, reason := verdict.Decide(res.Facts)
				is.Equal(v, c.v)
				is.Equal(reason, c.reason)
				is.Equal(res.Reset, c.reset)
				is.Equal(res.Response != nil, v == verdict.Ran || reason == verdict.ReasonShed)
			}
			is.Equal(s.accepted.Load() == 1, c.reused) // one connection for both requests
			is.Equal(s.requests.Load(), int64(2))      // each attempt was sent once
		})
	}
}

// TestUnsent guards against a refusal that says "may have run" although no byte
// left, and against bytes that leave after a refused check.
func TestUnsent(t *testing.T) {
	is := is.New(t)
	s := listen(t, answering(ok200, false))
	tr := New(Options{})
	closed := listen(t, silent)
	_ = closed.Close()
	res := tr.Do(context.Background(), attempt(closed.Addr().String(), "POST"))
	v, reason := verdict.Decide(res.Facts)
	is.Equal(v, verdict.NotRun)
	is.Equal(reason, verdict.ReasonConnectFailed)

	a := attempt(s.Addr().String(), "POST")
	a.BeforeFirstByte = func() error { return context.Canceled }
	v, _ = verdict.Decide(tr.Do(context.Background(), a).Facts)
	is.Equal(v, verdict.NotRun)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	v, reason = verdict.Decide(tr.Do(ctx, attempt(s.Addr().String(), "POST")).Facts)
	is.Equal(v, verdict.NotRun)
	is.Equal(reason, verdict.ReasonCallerGone)
	is.Equal(s.requests.Load(), int64(0))

	tr.SetServers([]Server{{Address: s.Addr().String(), MaxConnections: 1}})
	h := tr.host(s.Addr().String())
	h.open.Add(1) // the whole share is in use
	v, reason = verdict.Decide(tr.Do(context.Background(), attempt(s.Addr().String(), "POST")).Facts)
	is.Equal(v, verdict.NotRun)
	is.Equal(reason, verdict.ReasonConnections) // not a failure of the backend server
}

// TestTimeoutAndCancellation guards against a late answer that reaches the next
// request: the connection is closed and the server sees it.
func TestTimeoutAndCancellation(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{}, 2)
	s := listen(t, func(s *hostile, c net.Conn, r *bufio.Reader) {
		silent(s, c, r)
		gone <- struct{}{}
	})
	tr := New(Options{})
	a := attempt(s.Addr().String(), "POST")
	a.Timeout = 20 * time.Millisecond
	res := tr.Do(context.Background(), a)
	v, reason := verdict.Decide(res.Facts)
	is.Equal(v, verdict.MayHaveRun)
	is.Equal(reason, verdict.ReasonAnswerTimeout)
	is.True(!res.Reset) // a slow server did not crash
	<-gone

	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for s.requests.Load() < 2 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	res = tr.Do(ctx, attempt(s.Addr().String(), "GET"))
	v, reason = verdict.Decide(res.Facts)
	is.Equal(v, verdict.MayHaveRun)
	is.Equal(reason, verdict.ReasonCallerGone)
	<-gone
	is.Equal(tr.host(s.Addr().String()).open.Load(), int64(0))
}

// TestStaleIdleConnection guards against a request that is written to an idle
// connection which the server closed, or which carries bytes of a late answer.
func TestStaleIdleConnection(t *testing.T) {
	for name, late := range map[string]string{"closed": "", "late bytes": ok200} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{}, 8)
			s := listen(t, func(s *hostile, c net.Conn, r *bufio.Reader) {
				for s.next(r) {
					_, _ = c.Write([]byte(ok200))
					time.Sleep(10 * time.Millisecond) // not part of the answer before
					_, _ = c.Write([]byte(late))
					if late == "" {
						_ = c.Close()
					}
					ended <- struct{}{}
				}
			})
			tr := New(Options{})
			for i := range 3 {
				res := tr.Do(context.Background(), attempt(s.Addr().String(), "POST"))
				is.Equal(res.Err == ErrRestarted, late == "" && i > 0) // closed a moment after its use
				if res.Err == ErrRestarted {
					is.True(res.Reset)
					v, _ := verdict.Decide(res.Facts)
					is.Equal(v, verdict.NotRun)
					res = tr.Do(context.Background(), attempt(s.Addr().String(), "POST"))
				}
				is.Equal(res.Facts.ResponseState, verdict.ResponseComplete)
				<-ended
				time.Sleep(10 * time.Millisecond) // for the loopback to deliver
			}
			is.Equal(tr.Stats().StaleIdle, int64(2))
			is.Equal(s.requests.Load(), int64(3))
		})
	}
}

// TestHeadersToBackendServer guards against order keys or spoofed budgets that
// reach a backend server, and against lost headers.
func TestHeadersToBackendServer(t *testing.T) {
	is := is.New(t)
	s := listen(t, answering("HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nSet-Cookie: a=2\r\nX: 1\r\nX: 2\r\nContent-Length: 0\r\n\r\n", false))
	a := attempt(s.Addr().String(), "POST")
	a.Request.Headers = []filter.Header{
		{Name: filter.HeaderOrderKey, Value: "k"}, {Name: filter.HeaderDeadline, Value: "9"},
		{Name: filter.HeaderRetryBudget, Value: "7"}, {Name: "X-A", Value: "1"}, {Name: "X-A", Value: "2"},
	}
	res := New(Options{}).Do(context.Background(), a)
	seen := *s.seen.Load()
	for text, want := range map[string]int{
		"POST /p?a=1 HTTP/1.1": 1, "X-A: 1": 1, "X-A: 2": 1, "Anvilfront-Deadline-Ms: 1000": 1,
		"Anvilfront-Retry-Budget: 0": 1, "Anvilfront": 2, "Content-Length: 4": 1,
	} {
		is.Equal(strings.Count(seen, text), want) // header count in the request as received
	}
	is.Equal(fmt.Sprint(res.Response.Headers[1:]), "[{Set-Cookie a=1} {Set-Cookie a=2} {X 1} {X 2}]") // no Content-Type is made up
}

// TestWarmAndPrune guards against connections opened beyond the share, and
// against idle connections of removed servers that stay open.
func TestWarmAndPrune(t *testing.T) {
	is := is.New(t)
	s := listen(t, answering(ok200, false))
	tr := New(Options{IdleTimeout: time.Hour})
	address := s.Addr().String()
	tr.SetServers([]Server{{Address: address, MaxConnections: 3, DialsPerSecond: 1e6}})
	h := tr.host(address)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { tr.Run(ctx); close(done) }()
	tr.Warm(address, 10)
	for h.count.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(h.open.Load(), int64(3)) // the share, not the 10 asked for
	is.Equal(tr.Do(ctx, attempt(address, "GET")).Facts.ResponseState, verdict.ResponseComplete)
	is.Equal(tr.Stats().Dials, int64(3))
	tr.SetServers(nil)
	is.Equal(h.open.Load(), int64(0))
	cancel()
	<-done
}

// BenchmarkDo measures one request over a reused connection.
func BenchmarkDo(b *testing.B) {
	s := listen(b, func(_ *hostile, c net.Conn, r *bufio.Reader) {
		var req fasthttp.Request
		for req.Read(r) == nil {
			_, _ = c.Write([]byte(ok200))
		}
	})
	tr := New(Options{})
	a := attempt(s.Addr().String(), "GET")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		if tr.Do(ctx, a).Facts.ResponseState != verdict.ResponseComplete {
			b.Fatal("no complete answer")
		}
	}
}

// TestNoHost guards against a request of an HTTP/1.0 caller without a Host
// header that cannot be written and is counted as a failure of the backend server.
func TestNoHost(t *testing.T) {
	is := is.New(t)
	s := listen(t, answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false))
	tr := New(Options{})
	a := attempt(s.Addr().String(), "GET")
	a.Request.Host = ""
	res := tr.Do(context.Background(), a)
	is.NoErr(res.Err)
	v, _ := verdict.Decide(res.Facts)
	is.Equal(v, verdict.Ran)
	is.True(strings.Contains(*s.seen.Load(), "Host: "+a.Address))
}

// TestSilentConnect guards against a server that vanished without closing its
// port and never counts as failing, because every deadline ends before the dial
// does. A dial that takes longer than a grant may be started is of no use.
func TestSilentConnect(t *testing.T) {
	is := is.New(t)
	tr := New(Options{})
	tr.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		<-ctx.Done()
		return ctx.Err()
	}
	a := attempt("127.0.0.1:1", "POST")
	a.Timeout = 300 * time.Millisecond
	v, reason := verdict.Decide(tr.Do(context.Background(), a).Facts)
	is.Equal(v, verdict.NotRun)
	is.Equal(reason, verdict.ReasonConnectFailed)
	a.Timeout = 10 * time.Millisecond // says nothing about the server
	_, reason = verdict.Decide(tr.Do(context.Background(), a).Facts)
	is.Equal(reason, verdict.ReasonDeadline)
}
