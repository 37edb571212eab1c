package backend

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/verdict"
)

// TestNoDefaultsForResponses guards against a field of a response that is missing or empty
// and that the HTTP library replaces by a default: the version, and the length, without
// which a response that was cut looks complete.
func TestNoDefaultsForResponses(t *testing.T) {
	for response, complete := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                                 true,
		" 200 OK\r\nContent-Length: 2\r\n\r\nok":                                         false,
		"200 OK\r\nContent-Length: 2\r\n\r\nok":                                          false,
		"HTTP/ 200 OK\r\nContent-Length: 2\r\n\r\nok":                                    false,
		"HTTP/2 200 OK\r\nContent-Length: 2\r\n\r\nok":                                   false,
		"ICY 200 OK\r\nContent-Length: 2\r\n\r\nok":                                      false,
		"HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nok":                                  false,
		"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nok":                                 false,
		"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok":                                false,
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nok":              false,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok":            false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: \r\nContent-Length: 2\r\n\r\nok":          false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity, x\r\nContent-Length: 2\r\n\r\n": false,
	} {
		t.Run(response, func(t *testing.T) {
			is := is.New(t)
			s := listen(t, respondWith(response, true))
			res := New(Options{Lenient: true}).Do(context.Background(), attempt(s.Addr().String(), "GET"))
			is.Equal(res.Facts.ResponseState == verdict.ResponseComplete, complete)
			is.Equal(res.Response != nil, complete)
		})
	}
}
