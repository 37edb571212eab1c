package front

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/settings"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

type fakeIssuer struct{ next int }

func (i *fakeIssuer) Issue(n int) (keys []string, err error) {
	for range n {
		i.next++
		keys = append(keys, fmt.Sprintf("key-%d", i.next))
	}
	return keys, nil
}

// startFront runs a front end with small limits and the given handler as its chain. The
// returned counter counts the calls of the handler.
func startFront(t *testing.T, h filter.HandlerFunc) (*Front, string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := settings.Default()
	s.MaxHeaderBytes, s.MaxBodyBytes, s.MaxConnections = 2048, 100, 8
	s.ReadTimeout = s.ReadTimeout / 20
	calls := &atomic.Int64{}
	f := New(Options{
		Settings: s, Keys: &fakeIssuer{}, Store: state.NewStore(state.Member{Name: "eh1"}),
		Clock: clock.NewMonotonic(), Counters: metrics.New(),
		Chain: filter.HandlerFunc(func(ctx context.Context, x *filter.Exchange) filter.Outcome {
			calls.Add(1)
			return h(ctx, x)
		}),
	}, l)
	done := make(chan error, 1)
	go func() { done <- f.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = f.Shutdown(ctx)
		<-done
	})
	return f, l.Addr().String(), calls
}

func runOutcome(body string, headers ...filter.Header) filter.Outcome {
	return filter.Outcome{Verdict: verdict.Ran, Response: &filter.Response{Status: 200, Headers: headers, Body: []byte(body)}}
}

// send writes text to a new connection and reads one response.
func send(t *testing.T, address, text string) (*fasthttp.Response, *bufio.Reader, net.Conn) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = c.Write([]byte(text))
	r, resp := bufio.NewReader(c), &fasthttp.Response{}
	resp.SkipBody = strings.HasPrefix(text, "HEAD")
	if err := resp.Read(r); err != nil {
		t.Fatalf("no response to %q: %v", text[:min(len(text), 60)], err)
	}
	return resp, r, c
}

// TestMalformedRequest guards against requests that two servers interpret differently
// (request smuggling), against unbounded reads, against errors without verdict and
// reason, and against a chain that runs on a partial request.
func TestMalformedRequest(t *testing.T) {
	_, address, calls := startFront(t, func(context.Context, *filter.Exchange) filter.Outcome { return runOutcome("x") })
	post := "POST /o HTTP/1.1\r\nHost: h\r\n"
	key := "Anvilfront-Order-Key: k\r\n"
	cases := []struct {
		name, text string
		status     int
		verdict    string
		reason     string
	}{
		{"both lengths", post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "not-run", "bad_request"},
		{"both lengths, other order", post + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400, "not-run", "bad_request"},
		{"both lengths with key", post + key + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "may-have-run", "bad_request"},
		{"two lengths", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, "may-have-run", "bad_request"},
		{"signed length", post + "Content-Length: +1\r\n\r\na", 400, "may-have-run", "bad_request"},
		{"identity", post + "Transfer-Encoding: identity\r\n\r\n", 400, "not-run", "bad_request"},
		{"unknown encoding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n", 400, "may-have-run", "bad_request"},
		{"space before colon", post + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", 400, "may-have-run", "bad_request"},
		{"bad chunk", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "may-have-run", "bad_request"},
		{"chunk without end", post + "Transfer-Encoding: chunked\r\n\r\n2\r\nabXX0\r\n\r\n", 400, "may-have-run", "bad_request"},
		{"not HTTP", "\x16\x03\x01\r\n\r\n", 400, "may-have-run", "bad_request"},
		{"dot segments", "GET /status/../orders HTTP/1.1\r\nHost: h\r\n\r\n", 400, "not-run", "bad_request"},
		{"encoded dot segments", "GET /status/%2e%2E/orders HTTP/1.1\r\nHost: h\r\n\r\n", 400, "not-run", "bad_request"},
		{"empty segment", "GET //orders HTTP/1.1\r\nHost: h\r\n\r\n", 400, "not-run", "bad_request"},
		{"incomplete encoding", "GET /%%36forders HTTP/1.1\r\nHost: h\r\n\r\n", 400, "not-run", "bad_request"},
		{"backslash", "GET /status/..\\orders HTTP/1.1\r\nHost: h\r\n\r\n", 400, "not-run", "bad_request"},
		{"control byte", "GET /a?x=\x01 HTTP/1.1\r\nHost: h\r\n\r\n", 400, "may-have-run", "bad_request"},
		{"two keys", post + key + "Anvilfront-Order-Key: l\r\n\r\n", 400, "may-have-run", "bad_request"},
		{"empty key before a key", post + "Anvilfront-Order-Key:\r\n" + key + "\r\n", 400, "may-have-run", "bad_request"},
		{"empty key before a key, large body", post + "Anvilfront-Order-Key:\r\n" + key + "Content-Length: 101\r\n\r\n", 413, "may-have-run", "too_large"},
		{"unknown method", "BREW /o HTTP/1.1\r\nHost: h\r\n\r\n", 501, "not-run", "bad_request"},
		{"large body", post + "Content-Length: 101\r\n\r\n", 413, "not-run", "too_large"},
		{"large body with key", post + key + "Content-Length: 101\r\n\r\n", 413, "may-have-run", "too_large"},
		{"large chunked body", post + "Transfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n", 413, "not-run", "too_large"},
		{"large header", post + "X: " + strings.Repeat("x", 4096) + "\r\n\r\n", 431, "may-have-run", "too_large"},
		{"slow header", "POST /o HTTP/1.1\r\nHost", 408, "may-have-run", "bad_request"},
		{"slow body", post + "Content-Length: 9\r\n\r\nab", 408, "may-have-run", "bad_request"},
		{"keys, bad count", "POST /.anvilfront/order-keys?n=65 HTTP/1.1\r\nHost: h\r\n\r\n", 400, "not-run", "bad_request"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			resp, _, conn := send(t, address, c.text)
			is.Equal(resp.StatusCode(), c.status)
			is.Equal(string(resp.Header.Peek(filter.HeaderVerdict)), c.verdict)
			is.Equal(string(resp.Header.Peek(filter.HeaderReason)), c.reason)
			is.Equal(calls.Load(), int64(0))
			_ = conn.Close()
		})
	}
}

// TestNormalizePath guards against a path that can be decoded further after it was
// routed, so that a backend server interprets another path than the routing table.
func TestNormalizePath(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		path := "/" + rapid.StringMatching(`([a-z%0-9./]|%[0-9a-f]{2}){0,12}`).Draw(rt, "path")
		once, err := normalizePath(path)
		if err != nil {
			return
		}
		if twice, err := normalizePath(once); err != nil || twice != once {
			rt.Fatalf("%q became %q and then %q, error %v", path, once, twice, err)
		}
		want, err := url.PathUnescape(path)
		if got, err2 := url.PathUnescape(once); err != nil || err2 != nil || got != want {
			rt.Fatalf("%q means %q, its normal form %q means %q", path, want, once, got)
		}
	})
}

// TestTLS guards against a listener that serves plain text although TLS is configured, or
// that does not detect the disconnect of a TLS caller.
func TestTLS(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	f := New(Options{
		Settings: settings.Default(), Store: state.NewStore(state.Member{}), Clock: clock.NewMonotonic(), Counters: metrics.New(),
		TLS: &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}},
		Chain: filter.HandlerFunc(func(ctx context.Context, x *filter.Exchange) filter.Outcome {
			if x.Request.Path == "/wait" {
				<-ctx.Done()
				close(cancelled)
			}
			return runOutcome("secret")
		}),
	}, l)
	go func() { _ = f.Serve() }()
	defer func() { _ = f.Shutdown(context.Background()) }()
	c, err := tls.Dial("tcp", l.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	is.NoErr(err)
	_, _ = c.Write([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"))
	resp := &fasthttp.Response{}
	is.NoErr(resp.Read(bufio.NewReader(c)))
	is.Equal(string(resp.Body()), "secret")
	_, _ = c.Write([]byte("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"))
	time.Sleep(2 * watchDelay)
	_ = c.Close()
	<-cancelled
}

// TestHeaders guards against spoofed or leaked headers and against lost ones,
// in both directions.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	var got *filter.Request
	_, address, _ := startFront(t, func(_ context.Context, x *filter.Exchange) filter.Outcome {
		got = x.Request
		return runOutcome("answer", filter.Header{Name: "Set-Cookie", Value: "a=1"}, filter.Header{Name: "Set-Cookie", Value: "a=2"},
			filter.Header{Name: "X-R", Value: "1"}, filter.Header{Name: "X-R", Value: "2"}, filter.Header{Name: "Content-Length", Value: "6"},
			filter.Header{Name: "Anvilfront-Verdict", Value: "not-run"}, filter.Header{Name: "Backend-Load", Value: "1/2"},
			filter.Header{Name: "Connection", Value: "X-Hop"}, filter.Header{Name: "X-Hop", Value: "1"}, filter.Header{Name: "Transfer-Encoding", Value: "chunked"})
	})
	resp, _, _ := send(t, address, "GET /a%2fb/%7Ec%20d?x=%31&y HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Drop, Anvilfront-Order-Key\r\nX-Drop: 1\r\nX-Keep: 1\r\nX-Keep: 2\r\nCookie: a=1; b=2\r\n"+
		"Keep-Alive: 5\r\nTE: trailers\r\nAnvilfront-Verdict: ran\r\nanvilfront-instance: 1\r\nAnvilfront-Order-Key: k\r\n\r\n")
	is.Equal(fmt.Sprint(got.Headers), "[{Cookie a=1; b=2} {X-Keep 1} {X-Keep 2} {Anvilfront-Order-Key k}]")
	is.Equal(got.Path, "/a%2fb/~c%20d")
	is.Equal(got.Query, "x=%31&y")
	is.Equal(string(resp.Header.Peek(filter.HeaderVerdict)), "ran")
	is.Equal(strings.Count(resp.Header.String(), "Set-Cookie: a="), 2)
	is.Equal(len(resp.Header.PeekAll("X-R")), 2)
	for _, name := range []string{"X-Hop", "Backend-Load", "Connection", "Transfer-Encoding"} {
		is.Equal(len(resp.Header.PeekAll(name)), 0) // hop-by-hop and internal headers are not forwarded
	}
	_, _, _ = send(t, address, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
	is.Equal(string(got.Body), "abc")
	head, _, _ := send(t, address, "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n")
	is.Equal(head.Header.ContentLength(), 6)
}

// TestOrderKeys guards against order keys that are lost, or confused with the fresh key of
// a refusal.
func TestOrderKeys(t *testing.T) {
	is := is.New(t)
	_, address, _ := startFront(t, func(context.Context, *filter.Exchange) filter.Outcome {
		return filter.Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonOverload, FreshKey: "fresh"}
	})
	resp, _, _ := send(t, address, "POST /.anvilfront/order-keys?n=2 HTTP/1.1\r\nHost: h\r\n\r\n")
	is.Equal(string(resp.Body()), "key-1\nkey-2\n")
	resp, _, _ = send(t, address, "POST /o HTTP/1.1\r\nHost: h\r\nAnvilfront-Want-Keys: 1\r\n\r\n")
	is.Equal(resp.StatusCode(), 503)
	is.Equal(fmt.Sprintf("%s", resp.Header.PeekAll(filter.HeaderOrderKey)), "[key-3 fresh]")
}

// TestCallerGone guards against work that continues after its caller disconnected, and
// against a watch that affects the next request of a connection.
func TestCallerGone(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	_, address, calls := startFront(t, func(ctx context.Context, x *filter.Exchange) filter.Outcome {
		if x.Request.Path == "/slow" {
			select {
			case <-ctx.Done():
				t.Error("request cancelled although its caller is connected")
			case <-time.After(10 * watchDelay):
			}
			return runOutcome("slow")
		}
		<-ctx.Done()
		close(cancelled)
		return runOutcome("")
	})
	slow := "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
	_, r, c := send(t, address, slow+slow) // the second request arrives while the first runs
	resp := &fasthttp.Response{}
	is.NoErr(resp.Read(r))
	_, _ = c.Write([]byte("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"))
	for calls.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	_ = c.Close()
	<-cancelled
}

// TestConnectionLimit guards against an unlimited number of connections, and against a
// refused connection that is closed without verdict and reason.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	f, address, _ := startFront(t, func(context.Context, *filter.Exchange) filter.Outcome { return runOutcome("x") })
	get := "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	var first net.Conn
	for i := range 8 {
		resp, _, c := send(t, address, get)
		is.Equal(resp.StatusCode(), 200)
		if i == 0 {
			first = c
		}
	}
	resp, _, _ := send(t, address, get)
	is.Equal(resp.StatusCode(), 503)
	is.Equal(string(resp.Header.Peek(filter.HeaderReason)), "overload")
	_ = first.Close()
	for f.listener.open.Load() == 8 {
		time.Sleep(time.Millisecond)
	}
	resp, _, _ = send(t, address, get)
	is.Equal(resp.StatusCode(), 200)
}

// TestPanic guards against a panic in a filter that terminates the process.
func TestPanic(t *testing.T) {
	is := is.New(t)
	_, address, _ := startFront(t, func(context.Context, *filter.Exchange) filter.Outcome { panic("fault") })
	resp, _, _ := send(t, address, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	is.Equal(resp.StatusCode(), 500)
	is.Equal(string(resp.Header.Peek(filter.HeaderVerdict)), "may-have-run")
}
