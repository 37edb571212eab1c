package proctest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/anvilfront/anvilfront/internal/fake"
	"github.com/anvilfront/anvilfront/internal/filter"
)

// brokenHeads are responses whose heads hold a line that is no header field, or a status that
// is none of HTTP.
var brokenHeads = map[string]string{
	"blank in a name":     "HTTP/1.1 200 OK\r\nX-Ex tra: v\r\nContent-Length: 2\r\n\r\nok",
	"blank behind a name": "HTTP/1.1 200 OK\r\nX-Extra : v\r\nContent-Length: 2\r\n\r\nok",
	"blank before a name": "HTTP/1.1 200 OK\r\nA: b\r\n X-Extra: v\r\nContent-Length: 2\r\n\r\nok",
	"LF before a name":    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\nX-Extra: v\r\n\r\n",
	"NUL in a name":       "HTTP/1.1 200 OK\r\nX-Ex\x00tra: v\r\nContent-Length: 2\r\n\r\nok",
	"length":              "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
	"chunks":              "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"informational":       "HTTP/1.1 103 Early Hints\r\nX-Ex tra: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"status":              "HTTP/1.1 000 Nothing\r\nContent-Length: 2\r\n\r\nok",
	"bare status":         "HTTP/1.1 000\r\nContent-Length: 2\r\n\r\nok",
	"refusal":             "HTTP/1.1 503 Service Unavailable\r\n" + filter.HeaderShed + " : not-run\r\nContent-Length: 0\r\n\r\n",
}

// TestBrokenHeads guards against responses of backend servers whose heads are broken and
// that reach callers: the line was passed on, or the body was another one.
func TestBrokenHeads(t *testing.T) {
	f := startFleet(t, buildProgram(t), nil)
	for name, response := range brokenHeads {
		for _, s := range f.servers {
			s.SetBehaviour(fake.Behaviour{RawResponse: response})
		}
		for kind, request := range map[string]string{"lookup": "GET /lookup", "order": "POST /orders/once"} {
			got, ran := f.callUntilRun(request)
			if !strings.HasPrefix(got, "HTTP/1.1 502 ") || !strings.Contains(got, filter.HeaderVerdict+": may-have-run\r\n") || strings.Contains(got, "X-Ex") {
				t.Errorf("%s, %s: the caller got %q", name, kind, got)
			}
			if kind == "order" && ran != 1 {
				t.Errorf("%s: the order ran %d times", name, ran)
			}
		}
	}
}

// callUntilRun sends a request on new connections to the hosts in turn, until a backend
// server has run it: a host may be without a server that it may send to. It returns all that
// the caller of that one got, and how often it ran.
func (f *fleet) callUntilRun(request string) (got string, ran int64) {
	f.t.Helper()
	host := 0
	f.eventually(20*time.Second, "a backend server runs "+request, func() bool {
		before := f.runs([]int{0, 1, 2, 3})
		c, err := net.Dial("tcp", f.hosts[host%hostCount].listen)
		f.must(err)
		defer func() { _ = c.Close() }()
		f.must(c.SetDeadline(time.Now().Add(10 * time.Second)))
		_, _ = fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: desk\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", request)
		raw, err := io.ReadAll(c)
		f.must(err)
		host++
		got, ran = string(raw), f.runs([]int{0, 1, 2, 3})-before
		return ran > 0
	})
	return got, ran
}
