package localfleet

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/anvilfront/anvilfront/internal/fake"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Client is a caller with one connection to each entry host or backend server
// that it sent to. It never repeats a request by itself. It is used by one goroutine.
type Client struct {
	Timeout time.Duration // default 10s
	conns   map[string]*clientConn
	req     fasthttp.Request
	resp    fasthttp.Response
}

type clientConn struct {
	net.Conn
	r *bufio.Reader
	w *bufio.Writer
}

// Answer is what a caller got.
type Response struct {
	Err         error // no answer: nothing is known of the request
	Status      int
	Verdict     verdict.Verdict // MayHaveRun when Err is set
	Reason      string
	Keys        []string // fresh order keys
	Body        string
	BackendTime time.Duration // time in the backend server, if it answered
}

// Do sends one request on a connection to the address. key and id may be empty.
func (c *Client) Do(address, method, path, key, id string) Response {
	c.req.Reset()
	c.req.Header.SetMethod(method)
	c.req.SetRequestURI(path)
	c.req.Header.SetHost("demo")
	if key != "" {
		c.req.Header.Set(filter.HeaderOrderKey, key)
	}
	if id != "" {
		c.req.Header.Set(fake.HeaderOrderID, id)
		c.req.SetBodyString("order " + id)
	}
	if err := c.exchange(address); err != nil {
		c.drop(address)
		return Response{Err: err}
	}
	a := Response{
		Status: c.resp.StatusCode(), Verdict: verdict.Parse(string(c.resp.Header.Peek(filter.HeaderVerdict))),
		Reason: string(c.resp.Header.Peek(filter.HeaderReason)), Body: string(c.resp.Body()),
	}
	if us, err := strconv.Atoi(string(c.resp.Header.Peek(fake.HeaderTime))); err == nil {
		a.BackendTime = time.Duration(us) * time.Microsecond
	}
	for _, k := range c.resp.Header.PeekAll(filter.HeaderOrderKey) {
		a.Keys = append(a.Keys, string(k))
	}
	if c.resp.ConnectionClose() {
		c.drop(address)
	}
	return a
}

// Keys asks the entry host for n order keys.
func (c *Client) Keys(address string, n string) []string {
	a := c.Do(address, "POST", "/.anvilfront/order-keys?n="+n, "", "")
	if a.Err != nil || a.Status != fasthttp.StatusOK {
		return nil
	}
	return strings.Fields(a.Body)
}

func (c *Client) exchange(address string) error {
	if c.Timeout == 0 {
		c.Timeout = 10 * time.Second
	}
	conn := c.conns[address]
	if conn != nil && conn.closed() {
		c.drop(address)
		conn = nil
	}
	if conn == nil {
		raw, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return err
		}
		if c.conns == nil {
			c.conns = map[string]*clientConn{}
		}
		conn = &clientConn{Conn: raw, r: bufio.NewReader(raw), w: bufio.NewWriter(raw)}
		c.conns[address] = conn
	}
	if err := conn.SetDeadline(time.Now().Add(c.Timeout)); err != nil {
		return err
	}
	if err := c.req.Write(conn.w); err != nil {
		return err
	}
	if err := conn.w.Flush(); err != nil {
		return err
	}
	c.resp.Reset()
	return c.resp.Read(conn.r)
}

// closed reports whether the other side closed the idle connection, as a host
// does that stops. Callers' HTTP libraries notice it the same way.
func (c *clientConn) closed() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	var one [1]byte
	open := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err != nil || !open
}

func (c *Client) drop(address string) {
	if conn := c.conns[address]; conn != nil {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// Close closes the connections.
func (c *Client) Close() {
	for address := range c.conns {
		c.drop(address)
	}
}
