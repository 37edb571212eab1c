package fake

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/anvilfront/anvilfront/internal/filter"
)

// HeaderOrderID carries the identity of an order, by which doubled orders are found.
const HeaderOrderID = "Order-Id"

// HeaderTime carries the microseconds that an answer took in the backend server.
const HeaderTime = "Backend-Time-Us"

// call is one request to a Backend.
type call struct {
	b    *Backend
	how  *Behaviour
	conn net.Conn
	r    *bufio.Reader
	req  *fasthttp.Request
	resp *fasthttp.Response
	from time.Time // when the request was read
}

// handle fills the answer. It returns false when the connection ended instead.
func (x *call) handle() bool {
	x.resp.Header.Set(filter.HeaderInstance, x.b.instance())
	switch string(x.req.URI().Path()) {
	case "/.backend/load":
		x.b.probes.Add(1)
		x.report(x.b.inflight.Load())
		x.resp.SetBodyString(string(x.resp.Header.Peek(filter.HeaderLoad)))
		return x.wait(x.how.LoadDelay)
	case "/.backend/health":
		if x.how.Draining && !x.how.AlwaysHealthy {
			x.resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		return true
	}
	n := x.b.inflight.Add(1)
	defer x.b.inflight.Add(-1)
	x.report(n)
	if x.how.Draining || n > int64(x.b.Slots) || chance(x.how.ShedShare) {
		x.b.sheds.Add(1)
		x.resp.Header.Set(filter.HeaderShed, "not-run")
		x.resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return true
	}
	for peak := x.b.peak.Load(); n > peak && !x.b.peak.CompareAndSwap(peak, n); peak = x.b.peak.Load() {
		continue
	}
	return x.run(n)
}

func (x *call) report(n int64) {
	if x.how.ReportLoad != nil {
		n = int64(*x.how.ReportLoad)
	}
	x.resp.Header.Set(filter.HeaderLoad, strconv.FormatInt(n, 10)+"/"+strconv.Itoa(x.b.Slots))
}

// run runs the request; from here on an order counts as run.
func (x *call) run(n int64) bool {
	if chance(x.how.FailShare) {
		x.resp.SetStatusCode(fasthttp.StatusInternalServerError)
		return true
	}
	id := string(x.req.Header.Peek(HeaderOrderID))
	if id != "" && x.b.Orders != nil {
		x.b.Orders.Add(id)
	}
	x.b.runs.Add(1)
	if x.b.OnRun != nil {
		x.b.OnRun(string(x.req.URI().Path()))
	}
	if x.b.CrashPath != "" && string(x.req.URI().Path()) == x.b.CrashPath {
		x.b.crashes.Add(1)
		go func() { _ = x.b.Restart() }() // it waits for this call to end
		return x.wait(time.Second)
	}
	d := x.b.time(x.how)
	overload := n > x.b.bears()
	if overload {
		x.b.coldOverloads.Add(1)
		d *= 5
	}
	if !x.wait(d) {
		x.b.cancelled.Add(1)
		return false
	}
	if overload {
		x.resp.SetStatusCode(fasthttp.StatusInternalServerError)
		return true
	}
	x.b.successes.Add(1)
	x.resp.Header.Set(HeaderTime, strconv.FormatInt(time.Since(x.from).Microseconds(), 10))
	// The body names the request, so that an answer to another caller is found.
	x.resp.SetBodyString("ok " + string(x.req.Header.RequestURI()) + " " + id + "\n")
	return x.damage()
}

// damage spoils the answer, as the behaviour says.
func (x *call) damage() bool {
	body := string(x.resp.Body())
	switch {
	case chance(x.how.ResetShare):
		closeConn(x.conn, true)
		return false
	case chance(x.how.AbortShare):
		_, _ = fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+5, body)
		return false
	case chance(x.how.ExcessBytesShare):
		_, _ = fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)-1, body)
		return false
	case chance(x.how.LateShare):
		return x.wait(x.how.LateDelay)
	}
	return true
}

// wait waits for d and returns false when the other side closes the connection
// before, which cancels the request.
func (x *call) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	end := time.Now().Add(d)
	_ = x.conn.SetReadDeadline(end)
	_, err := x.r.Peek(1)
	_ = x.conn.SetReadDeadline(time.Time{})
	if err == nil {
		time.Sleep(time.Until(end)) // a pipelined request waits for its turn
		return true
	}
	n, ok := err.(net.Error)
	return ok && n.Timeout()
}

func chance(share float64) bool { return share > 0 && rand.Float64() < share }
