package listen

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/admission"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/metrics"
)

// TestBoundedAnswersBesideCrowd guards against a crowd of silent connections, or of
// connections that stop within a request, that occupies a listener: the platform's readiness
// checks would get no answer.
func TestBoundedAnswersBesideCrowd(t *testing.T) {
	for name, sent := range map[string]string{"silent": "", "stopped": "GET /readiness HTTP/1.1\r\nHo"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inner, err := TCP("127.0.0.1:0")
			is.NoErr(err)
			counters := metrics.New()
			now := &clock.Manual{}
			now.Set(1)
			connections := admission.NewConnections(8, 1, admission.Pace{BytesPerSecond: 1 << 15, After: time.Second})
			l := Bounded(inner, Bounds{connections, now, counters.Limit("refused", "", zap.NewNop()), counters.Limit("closed", "", zap.NewNop())})
			s := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}, Concurrency: 64}
			ended := make(chan error, 1)
			go func() { ended <- s.Serve(l) }()
			for range 20 {
				c, err := net.Dial("tcp", l.Addr().String())
				is.NoErr(err)
				defer func() { _ = c.Close() }()
				_, err = io.WriteString(c, sent)
				is.NoErr(err)
				now.Advance(2 * time.Second)
			}
			// The connection of the check is kept: an idle one is closed last.
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for range 2 {
				_, err = fmt.Fprint(c, "GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n")
				is.NoErr(err)
				resp, err := http.ReadResponse(r, nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, 200)
			}
			is.True(connections.Open() <= 8)
			closed, _ := counters.Value("closed")
			is.True(closed > 0)
			is.NoErr(l.Close())
			is.NoErr(<-ended)
		})
	}
}
