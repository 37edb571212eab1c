package localfleet

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestBrokenResponses guards against a caller that takes a broken response of an entry host
// for a sound one.
func TestBrokenResponses(t *testing.T) {
	for response, ok := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\nok":   true,
		"HTTP/1.1 000\r\nA: b\r\nContent-Length: 2\r\n\r\nok":      false,
		"HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 2\r\n\r\nok": false,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok":          false,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nok\r\n\r\n":     false,
	} {
		t.Run(response, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = c.Write([]byte(response))
				}
			}()
			client := Client{}
			defer client.Close()
			got := client.Do(l.Addr().String(), "GET", "/", "", "")
			is.Equal(got.Err == nil, ok)
			is.Equal(got.Body == "ok", ok)
		})
	}
}
