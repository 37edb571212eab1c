package front

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/filter"
)

// TestNoDefaultsForRequests guards against a field of a request that is missing or empty and
// that the HTTP library replaces by a default: the method by GET, the path by "/", the
// version by an older one, the length by zero, so that a body is read as a second request.
func TestNoDefaultsForRequests(t *testing.T) {
	for _, request := range []struct {
		line, fields, body string
		ok                 bool
	}{
		{"GET /look/ HTTP/1.1", "", "", true},
		{" /look/ HTTP/1.1", "", "", false},
		{"/look/ HTTP/1.1", "", "", false},
		{"GET  HTTP/1.1", "", "", false},
		{"GET HTTP/1.1", "", "", false},
		{"GET /look/", "", "", false},
		{"GET /look/ ", "", "", false},
		{"GET /look/ HTTP/", "", "", false},
		{"GET /look/ HTTP/2", "", "", false},
		{"GET", "", "", false},
		{"POST /order/ HTTP/1.1", "Content-Length: 4\r\n", "body", true},
		{"POST /order/ HTTP/1.1", "Content-Length: \r\n", "body", false},
		{"POST /order/ HTTP/1.1", "Content-Length: x\r\n", "body", false},
		{"POST /order/ HTTP/1.1", "Content-Length: -4\r\n", "body", false},
		{"POST /order/ HTTP/1.1", "Content-Length: 4\r\nContent-Length: 2\r\n", "body", false},
		{"POST /order/ HTTP/1.1", "Transfer-Encoding: \r\n", "body", false},
	} {
		t.Run(request.line+" "+request.fields, func(t *testing.T) {
			is := is.New(t)
			_, address, calls := startFront(t, func(context.Context, *filter.Exchange) filter.Outcome { return runOutcome("ok") })
			c, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
			_, err = fmt.Fprintf(c, "%s\r\nHost: h.example\r\n%s\r\n%s", request.line, request.fields, request.body)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			ran := int64(0)
			if request.ok {
				ran = 1
			}
			is.Equal(resp.StatusCode == 200, request.ok)
			is.Equal(resp.StatusCode == 400, !request.ok)
			is.Equal(calls.Load(), ran)
		})
	}
}
