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

// HeaderOrderID is the header with the ID of an order, by which orders that ran twice
// are detected.
const HeaderOrderID = "Order-Id"

// HeaderTime is the response header with the time that the request took in the backend
// server, in microseconds.
const HeaderTime = "Backend-Time-Us"

// call is one request to a Backend.
type call struct {
	b        *Backend
	faults   *Behaviour
	conn     net.Conn
	r        *bufio.Reader
	req      *fasthttp.Request
	resp     *fasthttp.Response
	received time.Time // when the request was read
}

// handle fills in the response. It returns false if the connection ended instead.
func (x *call) handle() bool {
	x.resp.Header.Set(filter.HeaderInstance, x.b.instanceName())
	switch string(x.req.URI().Path()) {
	case "/.backend/load":
		x.b.probes.Add(1)
		x.setLoadHeader(x.b.inflight.Load())
		x.resp.SetBodyString(string(x.resp.Header.Peek(filter.HeaderLoad)))
		return x.wait(x.faults.LoadDelay)
	case "/.backend/health":
		if x.faults.Draining && !x.faults.AlwaysHealthy {
			x.resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		return true
	}
	n := x.b.inflight.Add(1)
	defer x.b.inflight.Add(-1)
	x.setLoadHeader(n)
	if x.faults.Draining || n > int64(x.b.Slots) || chance(x.faults.ShedShare) {
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

func (x *call) setLoadHeader(n int64) {
	if x.faults.ReportLoad != nil {
		n = int64(*x.faults.ReportLoad)
	}
	x.resp.Header.Set(filter.HeaderLoad, strconv.FormatInt(n, 10)+"/"+strconv.Itoa(x.b.Slots))
}

// run runs the request. Unless FailShare applies, an order counts as run from here on.
func (x *call) run(n int64) bool {
	if chance(x.faults.FailShare) {
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
		go func() { _ = x.b.Restart() }() // Restart waits for this call to end
		return x.wait(time.Second)
	}
	d := x.b.drawServiceTime(x.faults)
	overload := n > x.b.currentCapacity()
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
	x.resp.Header.Set(HeaderTime, strconv.FormatInt(time.Since(x.received).Microseconds(), 10))
	// The body names the request, so that a response to the wrong caller is detected.
	x.resp.SetBodyString("ok " + string(x.req.Header.RequestURI()) + " " + id + "\n")
	return x.injectResponseFault()
}

// injectResponseFault applies the faults of the response that the behaviour selects. It
// returns false if the connection ended.
func (x *call) injectResponseFault() bool {
	body := string(x.resp.Body())
	switch {
	case chance(x.faults.ResetShare):
		closeConn(x.conn, true)
		return false
	case chance(x.faults.AbortShare):
		_, _ = fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+5, body)
		return false
	case chance(x.faults.ExcessBytesShare):
		_, _ = fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)-1, body)
		return false
	case x.faults.RawResponse != "":
		_, _ = x.conn.Write([]byte(x.faults.RawResponse))
		return false
	case chance(x.faults.LateShare):
		return x.wait(x.faults.LateDelay)
	}
	return true
}

// wait waits for d. It returns false if the client closes the connection before that,
// which cancels the request.
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
