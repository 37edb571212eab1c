package backend

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/verdict"
)

// TestStatusLine guards against a status that the HTTP library replaces by 200, or that is
// none of HTTP: a status line of 000 reached the caller as a complete 200. Requests, probes
// and final responses behind informational ones are read alike.
func TestStatusLine(t *testing.T) {
	const rest = "\r\nContent-Length: 2\r\n\r\nok"
	for line, complete := range map[string]bool{
		"HTTP/1.1 200 OK":              true,
		"HTTP/1.1 200":                 true,
		"HTTP/1.1 200 ":                true,
		"HTTP/1.0 200 OK":              true,
		"\r\nHTTP/1.1 200 OK":          true,
		"HTTP/1.1 599 Odd":             true,
		"HTTP/1.1 000 Nothing":         false,
		"HTTP/1.1 000":                 false,
		"HTTP/1.1 0":                   false,
		"HTTP/1.1 00":                  false,
		"HTTP/1.1 099 Low":             false,
		"HTTP/1.1 600 High":            false,
		"HTTP/1.1 999 High":            false,
		"HTTP/1.1 1000 Long":           false,
		"HTTP/1.1 0200 Long":           false,
		"HTTP/1.1 -1":                  false,
		"HTTP/1.1 +20 OK":              false,
		"HTTP/1.1 2x0 OK":              false,
		"HTTP/1.1 200OK":               false,
		"HTTP/1.1  200 OK":             false,
		"HTTP/1.1":                     false,
		"HTTP/1.1 ":                    false,
		"\r\n\r\nHTTP/1.1 000 Nothing": false,
	} {
		for _, informational := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
			for name, probe := range map[string]bool{"request": false, "probe": true} {
				t.Run(name+" "+informational+line, func(t *testing.T) {
					is := is.New(t)
					s := listen(t, respondWith(informational+line+rest, false))
					tr := New(Options{Lenient: true})
					a := attempt(s.Addr().String(), "GET")
					a.Probe = probe
					res := tr.Do(context.Background(), a)
					is.Equal(res.Facts.ResponseState == verdict.ResponseComplete, complete)
					is.Equal(res.Response != nil, complete)
					if !complete {
						v, _ := verdict.Decide(res.Facts)
						is.Equal(v, verdict.MayHaveRun)
						is.Equal(res.Facts.TimedOut, false)
					}
				})
			}
		}
	}
}

// TestInformationalStatus guards against an informational response whose status is none of
// HTTP and that is skipped.
func TestInformationalStatus(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 Nothing", "HTTP/1.1 099 Low", "HTTP/1.1 000"} {
		is := is.New(t)
		s := listen(t, respondWith(line+"\r\n\r\n"+ok200, false))
		res := New(Options{Lenient: true}).Do(context.Background(), attempt(s.Addr().String(), "GET"))
		is.True(res.Response == nil)
	}
}
