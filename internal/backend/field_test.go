package backend

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// TestFieldNames guards against a response that counts as complete although a line of its
// head or trailer is no header field: the HTTP library passes on names with blanks, or takes
// the line for another field or for the end of the head. Requests and probes, final responses
// and informational ones are read alike.
func TestFieldNames(t *testing.T) {
	places := map[string]string{
		"head":          "HTTP/1.1 200 OK\r\nA: b\r\n%s\r\nContent-Length: 2\r\n\r\nok",
		"informational": "HTTP/1.1 103 Early Hints\r\nA: b\r\n%s\r\n\r\n" + ok200,
		"trailer":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n%s\r\n\r\n",
	}
	for line, sound := range map[string]bool{
		"Name: v": true, "Name:": true, "Name:\t v": true, "n!#$%&'*+-.^_`|~0: v": true,
		"Na me: v": false, "Name : v": false, "Name\t: v": false, " Name: v": false, "\tName: v": false, "Na\x00me: v": false,
		"Name\x7f: v": false, "\rName: v": false, "\nName: v": false, "Na\nme: v": false, "Name: v\nOther: w": false, ": v": false, "Name": false,
	} {
		for place, response := range places {
			for _, probe := range []bool{false, true} {
				for _, lenient := range []bool{false, true} {
					t.Run(fmt.Sprintf("%q %s probe=%t lenient=%t", line, place, probe, lenient), func(t *testing.T) {
						is := is.New(t)
						s := listen(t, respondWith(fmt.Sprintf(response, line), false))
						a := attempt(s.Addr().String(), "GET")
						a.Probe = probe
						res := New(Options{Lenient: lenient}).Do(context.Background(), a)
						is.Equal(res.Facts.ResponseState == verdict.ResponseComplete, sound)
						is.Equal(res.Response != nil, sound)
						v, _ := verdict.Decide(res.Facts)
						is.Equal(v == verdict.Ran, sound)
						is.Equal(v == verdict.MayHaveRun, !sound)
						is.Equal(res.Facts.TimedOut, false)
					})
				}
			}
		}
	}
}

// TestForwardedTrailer guards against a response that is forwarded while it arrives and looks
// complete although its trailer is broken.
func TestForwardedTrailer(t *testing.T) {
	body := strings.Repeat("x", holdBytes+1)
	for trailer, sound := range map[string]bool{"": true, "A: b\r\n": true, "A b: c\r\n": false, "A : b\r\n": false, "\nA: b\r\n": false} {
		t.Run(trailer, func(t *testing.T) {
			is := is.New(t)
			s := listen(t, respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, trailer), false))
			a := attempt(s.Addr().String(), "GET")
			a.Cleanup = &filter.Cleanup{}
			defer a.Cleanup.Run()
			res := New(Options{Lenient: true}).Do(context.Background(), a)
			is.True(res.Response != nil && res.Response.Rest != nil)
			defer res.Response.Rest.Close()
			_, err := io.ReadAll(res.Response.Rest)
			is.Equal(err == nil, sound)
			is.Equal(res.Response.Rest.Err() == nil, sound)
		})
	}
}
