package configservice_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/configservice"
	"github.com/anvilfront/anvilfront/internal/metrics"
)

// rawHTTP is a server that sends the same bytes in response to each request, and then
// closes the connection.
func rawHTTP(t *testing.T, response string) *configservice.Client {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte(response))
			}
			_ = c.Close()
		}
	}()
	return configservice.New([]string{"http://" + l.Addr().String()}, nil, metrics.New())
}

// TestStatus guards against a response whose status is none of HTTP and that counts as a
// manifest, or as one without news.
func TestStatus(t *testing.T) {
	const body = "\r\nContent-Length: 12\r\n\r\nrevision = 4"
	for line, ok := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 000 Nothing": false, "HTTP/1.1 000": false, "HTTP/1.1 099 Low": false, "HTTP/1.1 600 High": false,
		"HTTP/1.1 999": false, "HTTP/1.1 1000": false, "HTTP/1.1 -20": false, "HTTP/1.1 +20": false, "HTTP/1.1 0200 OK": false, "HTTP/1.1": false,
	} {
		for _, informational := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			t.Run(informational+line, func(t *testing.T) {
				raw, err := rawHTTP(t, informational+line+body).Manifest(context.Background(), 1, 0)
				if (err == nil) != ok || ok != (raw != nil) {
					t.Errorf("%q, %v", raw, err)
				}
			})
		}
	}
}

// TestMissingLength guards against a manifest that was cut and is accepted: without a
// length, the end of the connection is taken for the end of the manifest.
func TestMissingLength(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		ok       bool
	}{
		"length":        {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nrevision = 4", true},
		"chunked":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nrevision = 4\r\n0\r\n\r\n", true},
		"none":          {"HTTP/1.1 200 OK\r\n\r\nrevision = 4", false},
		"none, closed":  {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nrevision = 4", false},
		"none, 1.0":     {"HTTP/1.0 200 OK\r\n\r\nrevision = 4", false},
		"empty":         {"HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nrevision = 4", false},
		"invalid":       {"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nrevision = 4", false},
		"cut":           {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nrevision = 4", false},
		"cut, chunked":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nrevision = 4", false},
		"other lengths": {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Length: 11\r\n\r\nrevision = 4", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw, err := rawHTTP(t, c.response).Manifest(context.Background(), 1, 0)
			is.Equal(err == nil, c.ok)
			is.Equal(raw != nil, c.ok)
		})
	}
}

// TestFieldNames guards against a response in whose head the name of a field holds a blank or
// a control byte, and that counts as a manifest, or as one without news. net/http took a bare
// LF for the end of the head, so that a manifest was cut and had bytes of the head before it.
func TestFieldNames(t *testing.T) {
	for line, ok := range map[string]bool{
		"X-Extra: v": true, "X-Extra:": true,
		"X-Extra : v": false, "X-Ex tra: v": false, "X-Extra\t: v": false, "X-Ex\x00tra: v": false, " X-Extra: v": false, "\tX-Extra: v": false,
		"\nX-Extra: v": false, "\n": false, "\rX-Extra: v": false, ": v": false, "X-Extra": false, "Content-Length : 11": false,
	} {
		for place, response := range map[string]string{
			"content":       "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nA: b\r\n%s\r\n\r\nrevision = 4",
			"no news":       "HTTP/1.1 204 No Content\r\nA: b\r\n%s\r\n\r\n",
			"informational": "HTTP/1.1 103 Early Hints\r\nA: b\r\n%s\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nrevision = 4",
			"behind one":    "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\nA: b\r\n%s\r\n\r\nrevision = 4",
		} {
			t.Run(fmt.Sprintf("%q %s", line, place), func(t *testing.T) {
				is := is.New(t)
				raw, err := rawHTTP(t, fmt.Sprintf(response, line)).Manifest(context.Background(), 1, 0)
				is.Equal(err == nil, ok)
				is.Equal(raw != nil, ok && place != "no news")
			})
		}
	}
}
