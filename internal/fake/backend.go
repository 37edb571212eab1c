// Package fake provides stand-ins for what an entry host depends on, for tests,
// benchmarks and examples: backend servers over HTTP and a configuration service,
// with faults that the test selects, and a network between entry hosts that loses and
// delays messages. It also measures the CPU time, memory and traffic of a process.
package fake

import (
	"bufio"
	"cmp"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Backend is a fake backend server. The exported fields are set before Start;
// SetBehaviour changes its behaviour while it runs.
type Backend struct {
	Listen      string            // IP:port; default: a free loopback port
	Slots       int               // number of concurrent requests that it accepts
	ServiceTime time.Duration     // median service time of a request
	Instance    string            // value of Backend-Instance; restarts append a number
	ColdSlots   int               // number of concurrent requests without overload right after a start; 0: never cold
	WarmAfter   int               // number of successful requests after which it is warm; default 50
	Orders      *Orders           // record of orders that ran; may be shared; may be nil
	OnRun       func(path string) // called for each request that runs; may be nil
	CrashPath   string            // a request with this path crashes the server, which then restarts; may be empty

	behaviour atomic.Pointer[Behaviour]
	starts    atomic.Int64 // number of the current instance, from 1
	address   string

	inflight, peak, runs, sheds, coldOverloads, cancelled, successes, probes, crashes atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	wg       conc.WaitGroup
}

// Behaviour describes how a Backend deviates from a correct one. Shares are
// probabilities from 0 to 1, drawn for each request in the order of the fields.
type Behaviour struct {
	Draining         bool    // sheds all requests and reports it on the health endpoint
	ShedShare        float64 // sheds the request without running it, as documented
	FailShare        float64 // responds with status 500 immediately
	ResetShare       float64 // runs, then resets the connection without a response
	AbortShare       float64 // runs, then closes the connection in the middle of the response
	ExcessBytesShare float64 // runs, then sends more bytes than Content-Length announces
	RawResponse      string  // runs, then sends these bytes as its response and closes the connection; empty: none
	LateShare        float64 // runs, then responds after LateDelay
	LateDelay        time.Duration
	SlowFactor       float64 // factor for service times; 0 means 1
	TailShare        float64 // takes ten times as long
	// ReportLoad, if set, is reported as the load instead of the requests in flight.
	ReportLoad *int
	// LoadDelay delays responses of the load endpoint.
	LoadDelay time.Duration
	// AlwaysHealthy makes the health endpoint respond with status 200 even while
	// Draining is set.
	AlwaysHealthy bool
}

// Start opens the listener and serves as a new instance. After a Stop or Crash, it
// listens on the same port as before.
func (b *Backend) Start() error {
	if b.address == "" {
		b.address = cmp.Or(b.Listen, "127.0.0.1:0")
	}
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return errors.Wrap(err, "listen as fake backend server")
	}
	if b.behaviour.Load() == nil {
		b.behaviour.Store(&Behaviour{})
	}
	b.address = l.Addr().String()
	b.starts.Add(1)
	b.successes.Store(0)
	b.mu.Lock()
	b.listener, b.conns = l, map[net.Conn]struct{}{}
	b.mu.Unlock()
	b.wg.Go(func() { b.accept(l) })
	return nil
}

func (b *Backend) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		open := b.listener == l
		if open {
			b.conns[c] = struct{}{}
		}
		b.mu.Unlock()
		if !open {
			_ = c.Close()
			return
		}
		b.wg.Go(func() { b.serve(c) })
	}
}

// SetBehaviour sets the behaviour for requests that start from now on.
func (b *Backend) SetBehaviour(v Behaviour) { b.behaviour.Store(&v) }

// Address returns IP:port, which restarts do not change.
func (b *Backend) Address() string { return b.address }

// Runs returns the number of requests that ran.
func (b *Backend) Runs() int64 { return b.runs.Load() }

// Sheds returns the number of requests that were shed.
func (b *Backend) Sheds() int64 { return b.sheds.Load() }

// PeakInFlight returns the largest number of requests in flight at the same time.
func (b *Backend) PeakInFlight() int64 { return b.peak.Load() }

// ResetPeakInFlight returns PeakInFlight and resets it to the requests in flight now.
func (b *Backend) ResetPeakInFlight() int64 { return b.peak.Swap(b.inflight.Load()) }

// Crashes returns the number of requests with CrashPath that ran.
func (b *Backend) Crashes() int64 { return b.crashes.Load() }

// ColdOverloads returns the number of requests that failed because the server was cold.
func (b *Backend) ColdOverloads() int64 { return b.coldOverloads.Load() }

// Cancelled returns the number of requests that ended because the caller closed the
// connection.
func (b *Backend) Cancelled() int64 { return b.cancelled.Load() }

// Probes returns the number of requests to the load endpoint.
func (b *Backend) Probes() int64 { return b.probes.Load() }

// Stop closes the listener and all connections.
func (b *Backend) Stop() error {
	b.shutdown(false)
	return nil
}

// Crash resets all connections and stops listening. Requests in flight get no response.
func (b *Backend) Crash() { b.shutdown(true) }

// Restart crashes the server and starts it as a new, cold instance.
func (b *Backend) Restart() error {
	b.shutdown(true)
	return b.Start()
}

func (b *Backend) shutdown(reset bool) {
	b.mu.Lock()
	if b.listener != nil {
		_ = b.listener.Close()
		b.listener = nil
	}
	for c := range b.conns {
		closeConn(c, reset)
	}
	b.mu.Unlock()
	b.wg.Wait()
}

func closeConn(c net.Conn, reset bool) {
	if t, ok := c.(*net.TCPConn); ok && reset {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (b *Backend) serve(c net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		_ = c.Close()
	}()
	r, w := bufio.NewReader(c), bufio.NewWriter(c)
	var req fasthttp.Request
	var resp fasthttp.Response
	for {
		req.Reset()
		resp.Reset()
		if req.Read(r) != nil {
			return
		}
		x := &call{b: b, faults: b.behaviour.Load(), conn: c, r: r, req: &req, resp: &resp, received: time.Now()}
		if !x.handle() {
			return
		}
		if resp.Write(w) != nil || w.Flush() != nil {
			return
		}
	}
}

// Orders counts the runs of each order, over all backend servers that share it.
type Orders struct{ counts sync.Map }

// Add records one run of an order.
func (o *Orders) Add(id string) {
	v, _ := o.counts.LoadOrStore(id, new(atomic.Int64))
	v.(*atomic.Int64).Add(1)
}

// Count returns the number of runs of an order.
func (o *Orders) Count(id string) int64 {
	if v, ok := o.counts.Load(id); ok {
		return v.(*atomic.Int64).Load()
	}
	return 0
}

// Totals returns the number of orders that ran, and of those that ran more than once.
func (o *Orders) Totals() (ran, duplicated int64) {
	o.counts.Range(func(_, v any) bool {
		ran++
		if v.(*atomic.Int64).Load() > 1 {
			duplicated++
		}
		return true
	})
	return ran, duplicated
}

// drawServiceTime draws the service time of one request.
func (b *Backend) drawServiceTime(faults *Behaviour) time.Duration {
	d := float64(b.ServiceTime) * (0.75 + 0.5*rand.Float64())
	if faults.SlowFactor > 0 {
		d *= faults.SlowFactor
	}
	if faults.TailShare > 0 && rand.Float64() < faults.TailShare {
		d *= 10
	}
	return time.Duration(d)
}

// currentCapacity returns the number of concurrent requests that the server can run
// without overload: ColdSlots after a start, rising to Slots with its successes.
func (b *Backend) currentCapacity() int64 {
	warmAfter := int64(b.WarmAfter)
	if warmAfter == 0 {
		warmAfter = 50
	}
	succeeded := b.successes.Load()
	if b.ColdSlots == 0 || succeeded >= warmAfter {
		return int64(b.Slots)
	}
	return int64(b.ColdSlots) + int64(b.Slots-b.ColdSlots)*succeeded/warmAfter
}

func (b *Backend) instanceName() string {
	if n := b.starts.Load(); n > 1 {
		return b.Instance + "-" + strconv.FormatInt(n, 10)
	}
	return b.Instance
}
