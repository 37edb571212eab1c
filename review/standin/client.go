package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// conn is a client's connection to an entry host.
type conn struct {
	net.Conn
	r    *bufio.Reader
	used int // requests answered on it
}

func dial(address string) (*conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, r: bufio.NewReader(c)}, nil
}

var lastID atomic.Uint64

// newID returns the id of a client attempt.
func newID(kind string) string { return fmt.Sprintf("%s%06x", kind, lastID.Add(1)) }

// request is one client attempt.
type request struct {
	id, method, host, path string
	deadline               time.Duration
	body                   []byte
	bytesPerSecond         int // 0: as fast as the connection takes it
}

// paceInterval is the time between two parts of a body that is sent at a rate.
const paceInterval = 20 * time.Millisecond

// send writes the request.
func (c *conn) send(q *request) error {
	_ = c.SetDeadline(time.Now().Add(q.deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	if len(q.body) > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, err := c.Write([]byte(head + "\r\n")); err != nil {
		return err
	}
	part := len(q.body)
	if q.bytesPerSecond > 0 {
		part = q.bytesPerSecond * int(paceInterval) / int(time.Second)
	}
	for rest := q.body; len(rest) > 0; {
		n := min(part, len(rest))
		if _, err := c.Write(rest[:n]); err != nil {
			return err
		}
		if rest = rest[n:]; len(rest) > 0 {
			time.Sleep(paceInterval)
		}
	}
	return nil
}

// answer is what a client got for an attempt; status 0 stands for a connection that ended
// without a complete answer.
type answer struct {
	status int
	body   string
	close  bool
	err    error
}

func (c *conn) receive(method string) answer {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	var body strings.Builder
	if _, err := bufio.NewReader(resp.Body).WriteTo(&body); err != nil {
		return answer{err: err}
	}
	c.used++
	return answer{status: resp.StatusCode, body: body.String(), close: resp.Close}
}
