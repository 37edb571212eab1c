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

// rawServer is a backend server that handles raw connections, so that tests can send
// invalid responses.
type rawServer struct {
	net.Listener
	accepted    atomic.Int64
	requests    atomic.Int64
	lastRequest atomic.Pointer[string] // text of the last request
}

func listen(t testing.TB, serve func(s *rawServer, c net.Conn, r *bufio.Reader)) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{Listener: l}
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

func (s *rawServer) readRequest(r *bufio.Reader) bool {
	var req fasthttp.Request
	if req.Read(r) != nil {
		return false
	}
	text := req.String()
	s.lastRequest.Store(&text)
	s.requests.Add(1)
	return true
}

// respondWith sends response to each request. If close is set, it closes the connection
// after the first one.
func respondWith(response string, close bool) func(*rawServer, net.Conn, *bufio.Reader) {
	return func(s *rawServer, c net.Conn, r *bufio.Reader) {
		for s.readRequest(r) {
			_, _ = c.Write([]byte(response))
			if close {
				break
			}
		}
		_ = c.Close()
	}
}

func resetConnection(s *rawServer, c net.Conn, r *bufio.Reader) {
	s.readRequest(r)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func neverRespond(s *rawServer, c net.Conn, r *bufio.Reader) {
	for s.readRequest(r) {
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

// TestResponseFacts guards against a truncated, late, oversized or wrong-length response
// that counts as complete, against a complete response that is lost, and against the reuse
// of a connection after anything but a complete response.
func TestResponseFacts(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name   string
		serve  func(*rawServer, net.Conn, *bufio.Reader)
		method string
		state  verdict.ResponseState
		v      verdict.Verdict
		reason verdict.Reason
		reset  bool
		reused bool
	}{
		{"complete", respondWith(ok200, false), "GET", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"chunked", respondWith(head+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false), "POST", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"chunked with trailer", respondWith(head+"Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n", false), "POST", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"informational first", respondWith("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+ok200, false), "GET", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"head", respondWith(head+"Content-Length: 9\r\n\r\n", false), "HEAD", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"204", respondWith("HTTP/1.1 204 No Content\r\n\r\n", false), "GET", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"304", respondWith("HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", false), "GET", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"empty", respondWith(head+"Content-Length: 0\r\n\r\n", false), "GET", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"connection close", respondWith(head+"Connection: close\r\nContent-Length: 2\r\n\r\nok", true), "GET", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, false},
		{"shed", respondWith("HTTP/1.1 503 Shed\r\nBackend-Shed: not-run\r\nContent-Length: 0\r\n\r\n", false), "POST", verdict.ResponseShed, verdict.NotRun, verdict.ReasonShed, false, false},
		{"503 without shed header", respondWith("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false), "POST", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"200 with shed header", respondWith(head+"Backend-Shed: not-run\r\nContent-Length: 0\r\n\r\n", false), "POST", verdict.ResponseComplete, verdict.Ran, verdict.ReasonNone, false, true},
		{"truncated shed", respondWith("HTTP/1.1 503 Shed\r\nBackend-Shed: not-run\r\nContent-Length: 5\r\n\r\nno", true), "POST", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, true, false},
		{"no length", respondWith(head+"\r\nok", true), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, false, false},
		{"truncated body", respondWith(head+"Content-Length: 9\r\n\r\nok", true), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, true, false},
		{"truncated chunk", respondWith(head+"Transfer-Encoding: chunked\r\n\r\n5\r\nok", true), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, true, false},
		{"last chunk missing", respondWith(head+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, true, false},
		{"truncated header", respondWith("HTTP/1.1 200 OK\r\nContent-Le", true), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, true, false},
		{"trailing bytes", respondWith(ok200+"more", false), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, false, false},
		{"two responses", respondWith(ok200+ok200, false), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, false, false},
		{"two lengths", respondWith(head+"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", false), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, false, false},
		{"not HTTP", respondWith("220 mail.example ESMTP\r\n\r\n", false), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, false, false},
		{"switching protocols", respondWith("HTTP/1.1 101 Switching\r\n\r\n", false), "GET", verdict.ResponseTruncated, verdict.MayHaveRun, verdict.ReasonAnswerCut, false, false},
		{"too large", respondWith(head+"Content-Length: 2000\r\n\r\n"+strings.Repeat("x", 2000), false), "GET", verdict.ResponseTooLarge, verdict.MayHaveRun, verdict.ReasonAnswerTooLarge, false, false},
		{"header too large", respondWith(head+"X: "+strings.Repeat("x", 9000)+"\r\n\r\n", false), "GET", verdict.ResponseTooLarge, verdict.MayHaveRun, verdict.ReasonAnswerTooLarge, false, false},
		{"reset", resetConnection, "POST", verdict.ResponseNone, verdict.MayHaveRun, verdict.ReasonAnswerCut, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := listen(t, c.serve)
			tr := New(Options{MaxBody: 1000})
			for range 2 {
				res := tr.Do(context.Background(), attempt(s.Addr().String(), c.method))
				is.Equal(res.Facts.ResponseState, c.state)
				is.True(res.Facts.FirstByte && res.Facts.Connected)
				v, reason := verdict.Decide(res.Facts)
				is.Equal(v, c.v)
				is.Equal(reason, c.reason)
				is.Equal(res.Reset, c.reset)
				is.Equal(res.Response != nil, v == verdict.Ran || reason == verdict.ReasonShed)
			}
			is.Equal(s.accepted.Load() == 1, c.reused) // one connection for both requests
			is.Equal(s.requests.Load(), int64(2))      // each attempt is sent once
		})
	}
}

// TestNotRunBeforeFirstByte guards against the verdict "may have run" although no byte
// was sent, and against bytes that are sent although BeforeFirstByte failed.
func TestNotRunBeforeFirstByte(t *testing.T) {
	is := is.New(t)
	s := listen(t, respondWith(ok200, false))
	tr := New(Options{})
	closed := listen(t, neverRespond)
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
	p := tr.pool(s.Addr().String())
	p.open.Add(1) // the connection limit is reached
	v, reason = verdict.Decide(tr.Do(context.Background(), attempt(s.Addr().String(), "POST")).Facts)
	is.Equal(v, verdict.NotRun)
	is.Equal(reason, verdict.ReasonConnections) // not a failure of the backend server
}

// TestTimeoutAndCancellation guards against a late response that is read as the
// response to the next request: after a timeout or cancellation the connection is
// closed, and the server sees the close.
func TestTimeoutAndCancellation(t *testing.T) {
	is := is.New(t)
	serverClosed := make(chan struct{}, 2)
	s := listen(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		neverRespond(s, c, r)
		serverClosed <- struct{}{}
	})
	tr := New(Options{})
	a := attempt(s.Addr().String(), "POST")
	a.Timeout = 20 * time.Millisecond
	res := tr.Do(context.Background(), a)
	v, reason := verdict.Decide(res.Facts)
	is.Equal(v, verdict.MayHaveRun)
	is.Equal(reason, verdict.ReasonAnswerTimeout)
	is.True(!res.Reset) // a timeout is not a crash
	<-serverClosed

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
	<-serverClosed
	is.Equal(tr.pool(s.Addr().String()).open.Load(), int64(0))
}

// TestStaleIdleConnection guards against a request that is written to an idle
// connection that the server closed, or that contains bytes of a late response.
func TestStaleIdleConnection(t *testing.T) {
	for name, late := range map[string]string{"closed": "", "late bytes": ok200} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{}, 8)
			s := listen(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
				for s.readRequest(r) {
					_, _ = c.Write([]byte(ok200))
					time.Sleep(10 * time.Millisecond) // so that the late bytes are not read with the response
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
				is.Equal(res.Err == ErrRestarted, late == "" && i > 0) // closed shortly after its use
				if res.Err == ErrRestarted {
					is.True(res.Reset)
					v, _ := verdict.Decide(res.Facts)
					is.Equal(v, verdict.NotRun)
					res = tr.Do(context.Background(), attempt(s.Addr().String(), "POST"))
				}
				is.Equal(res.Facts.ResponseState, verdict.ResponseComplete)
				<-ended
				time.Sleep(10 * time.Millisecond) // for delivery over the loopback interface
			}
			is.Equal(tr.Stats().StaleIdle, int64(2))
			is.Equal(s.requests.Load(), int64(3))
		})
	}
}

// TestHeadersToBackendServer guards against order keys or spoofed retry budgets that
// reach a backend server, and against lost headers in both directions.
func TestHeadersToBackendServer(t *testing.T) {
	is := is.New(t)
	s := listen(t, respondWith("HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nSet-Cookie: a=2\r\nX: 1\r\nX: 2\r\nContent-Length: 0\r\n\r\n", false))
	a := attempt(s.Addr().String(), "POST")
	a.Request.Headers = []filter.Header{
		{Name: filter.HeaderOrderKey, Value: "k"}, {Name: filter.HeaderDeadline, Value: "9"},
		{Name: filter.HeaderRetryBudget, Value: "7"}, {Name: "X-A", Value: "1"}, {Name: "X-A", Value: "2"},
	}
	res := New(Options{}).Do(context.Background(), a)
	lastRequest := *s.lastRequest.Load()
	for text, want := range map[string]int{
		"POST /p?a=1 HTTP/1.1": 1, "X-A: 1": 1, "X-A: 2": 1, "Anvilfront-Deadline-Ms: 1000": 1,
		"Anvilfront-Retry-Budget: 0": 1, "Anvilfront": 2, "Content-Length: 4": 1,
	} {
		is.Equal(strings.Count(lastRequest, text), want) // occurrences in the request as received
	}
	is.Equal(fmt.Sprint(res.Response.Headers[1:]), "[{Set-Cookie a=1} {Set-Cookie a=2} {X 1} {X 2}]") // no Content-Type is added
}

// TestWarmAndPrune guards against connections opened beyond the connection limit, and
// against idle connections to removed servers that stay open.
func TestWarmAndPrune(t *testing.T) {
	is := is.New(t)
	s := listen(t, respondWith(ok200, false))
	tr := New(Options{IdleTimeout: time.Hour})
	address := s.Addr().String()
	tr.SetServers([]Server{{Address: address, MaxConnections: 3, DialsPerSecond: 1e6}})
	p := tr.pool(address)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { tr.Run(ctx); close(done) }()
	tr.Warm(address, 10)
	for p.idleCount.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(p.open.Load(), int64(3)) // the connection limit, not the 10 requested
	is.Equal(tr.Do(ctx, attempt(address, "GET")).Facts.ResponseState, verdict.ResponseComplete)
	is.Equal(tr.Stats().Dials, int64(3))
	tr.SetServers(nil)
	is.Equal(p.open.Load(), int64(0))
	cancel()
	<-done
}

// BenchmarkDo measures one request over a reused connection.
func BenchmarkDo(b *testing.B) {
	s := listen(b, func(_ *rawServer, c net.Conn, r *bufio.Reader) {
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
			b.Fatal("no complete response")
		}
	}
}

// TestMissingHostHeader guards against a request of an HTTP/1.0 caller without a Host
// header that cannot be written and is counted as a failure of the backend server.
func TestMissingHostHeader(t *testing.T) {
	is := is.New(t)
	s := listen(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false))
	tr := New(Options{})
	a := attempt(s.Addr().String(), "GET")
	a.Request.Host = ""
	res := tr.Do(context.Background(), a)
	is.NoErr(res.Err)
	v, _ := verdict.Decide(res.Facts)
	is.Equal(v, verdict.Ran)
	is.True(strings.Contains(*s.lastRequest.Load(), "Host: "+a.Address))
}

// TestDialTimeout guards against a server that disappears without closing its port and
// never counts as failing, because every deadline ends before the dial does. A dial
// that takes longer than filter.DispatchWindow is useless, since the grant may no
// longer be used after it.
func TestDialTimeout(t *testing.T) {
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
	a.Timeout = 10 * time.Millisecond // the deadline is shorter than the dial timeout: no evidence about the server
	_, reason = verdict.Decide(tr.Do(context.Background(), a).Facts)
	is.Equal(reason, verdict.ReasonDeadline)
}

// TestRefusesConnections guards against a server that is taken for dead while it
// listens, and the reverse.
func TestRefusesConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	tr := New(Options{})
	is.True(!tr.RefusesConnections(context.Background(), l.Addr().String()))
	is.NoErr(l.Close())
	is.True(tr.RefusesConnections(context.Background(), l.Addr().String()))
}
