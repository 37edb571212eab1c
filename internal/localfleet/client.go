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
	"github.com/anvilfront/anvilfront/internal/responsehead"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Client is a caller that keeps one connection to each entry host or backend server
// that it has sent requests to. It does not retry. It is not safe for concurrent
// use.
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

// Response is the result of one request as the caller sees it.
type Response struct {
	Err         error // no response: whether the request ran is unknown
	Status      int
	Verdict     verdict.Verdict // MayHaveRun when Err is set
	Reason      string
	Keys        []string // new order keys
	Body        string
	BackendTime time.Duration // time in the backend server, if it responded
}

// Do sends one request to the address, on the open connection if there is one.
// key and id may be empty.
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
		c.closeConn(address)
		return Response{Err: err}
	}
	response := Response{
		Status: c.resp.StatusCode(), Verdict: verdict.Parse(string(c.resp.Header.Peek(filter.HeaderVerdict))),
		Reason: string(c.resp.Header.Peek(filter.HeaderReason)), Body: string(c.resp.Body()),
	}
	if us, err := strconv.Atoi(string(c.resp.Header.Peek(fake.HeaderTime))); err == nil {
		response.BackendTime = time.Duration(us) * time.Microsecond
	}
	for _, k := range c.resp.Header.PeekAll(filter.HeaderOrderKey) {
		response.Keys = append(response.Keys, string(k))
	}
	if c.resp.ConnectionClose() {
		c.closeConn(address)
	}
	return response
}

// Keys requests n order keys from the entry host. It returns nil on failure.
func (c *Client) Keys(address string, n string) []string {
	resp := c.Do(address, "POST", "/.anvilfront/order-keys?n="+n, "", "")
	if resp.Err != nil || resp.Status != fasthttp.StatusOK {
		return nil
	}
	return strings.Fields(resp.Body)
}

func (c *Client) exchange(address string) error {
	if c.Timeout == 0 {
		c.Timeout = 10 * time.Second
	}
	conn := c.conns[address]
	if conn != nil && conn.closedByPeer() {
		c.closeConn(address)
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
	if err := responsehead.Check(conn.r); err != nil {
		return err
	}
	c.resp.Reset()
	return c.resp.Read(conn.r)
}

// closedByPeer reports whether the other end has closed the idle connection, as a
// stopping host does. The HTTP libraries of callers detect it the same way.
func (c *clientConn) closedByPeer() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	var buf [1]byte
	open := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err != nil || !open
}

func (c *Client) closeConn(address string) {
	if conn := c.conns[address]; conn != nil {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	for address := range c.conns {
		c.closeConn(address)
	}
}
