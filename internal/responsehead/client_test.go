package responsehead

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// answer starts a server that sends the responses one after the other on each connection, and
// counts the requests.
func answer(t *testing.T, responses ...string) (url string, requests *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for _, response := range responses {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					requests.Add(1)
					_, _ = io.WriteString(c, response)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), requests
}

func get(client *http.Client, url string) (string, error) {
	resp, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func newClient() *http.Client {
	transport := &http.Transport{}
	SetDialer(transport, &net.Dialer{})
	return &http.Client{Transport: transport}
}

// TestClientKeepsConnections guards against a body whose bytes are taken for a head, and
// against a head that is not checked because it is not the first of its connection.
func TestClientKeepsConnections(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("HTTP/1.1 000\r\nA b: c\r\n\r\n", 4000)
	url, requests := answer(t,
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"+fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))+body,
		fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA : b\r\n\r\nok")
	client := newClient()
	for range 2 {
		got, err := get(client, url)
		is.NoErr(err)
		is.Equal(got, body)
	}
	_, err := get(client, url)
	is.True(errors.Is(err, ErrField))
	is.Equal(requests.Load(), int64(3)) // the last one is not sent again
}

// TestClientHeads guards against heads that reach a client of net/http though they are broken.
func TestClientHeads(t *testing.T) {
	for response, want := range map[string]error{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                                                 nil,
		"HTTP/1.1 000\r\nContent-Length: 2\r\n\r\nok":                                                    ErrStatus,
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 2\r\n\r\nok":                                   ErrField,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 2\r\n\r\nok":       ErrField,
		"HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":       ErrField,
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", maxHeadBytes) + "\r\nContent-Length: 2\r\n\r\nok": ErrTooLarge,
		"HTTP/1.1 200 OK\r\nA: b\r\n":                                                                    io.ErrUnexpectedEOF,
	} {
		t.Run(response[:min(len(response), 80)], func(t *testing.T) {
			url, _ := answer(t, response)
			got, err := get(newClient(), url)
			if !errors.Is(err, want) || (err == nil) != (got == "ok") {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}

// TestClientOverTLS guards against a service that cannot be reached over TLS.
func TestClientOverTLS(t *testing.T) {
	is := is.New(t)
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) }))
	defer s.Close()
	transport := &http.Transport{TLSClientConfig: s.Client().Transport.(*http.Transport).TLSClientConfig}
	SetDialer(transport, &net.Dialer{})
	for range 2 {
		got, err := get(&http.Client{Transport: transport}, s.URL)
		is.NoErr(err)
		is.Equal(got, "HTTP/1.1")
	}
	_, err := get(newClient(), s.URL)
	_, unknown := errors.Into[*tls.CertificateVerificationError](err)
	is.True(unknown)
}
