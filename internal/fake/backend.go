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
// Set changes how it behaves while it runs.
type Backend struct {
	Listen      string            // IP:port; default: a free loopback port
	Slots       int               // requests it accepts at a time
	ServiceTime time.Duration     // median time of a request
	Instance    string            // Backend-Instance; a number is added at each restart
	ColdSlots   int               // requests it bears right after a start; 0: it is never cold
	WarmAfter   int               // successes after which it is warm; default 50
	Orders      *Orders           // record of orders that ran; may be shared; may be nil
	OnRun       func(path string) // called for each request that runs; may be nil
	CrashPath   string            // a request with this path kills the process, which starts anew; may be empty

	behaviour atomic.Pointer[Behaviour]
	starts    atomic.Int64 // number of the current instance, from 1
	address   string

	inflight, peak, runs, sheds, coldOverloads, cancelled, successes, probes, crashes atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	wg       conc.WaitGroup
}

// Behaviour says how a Backend deviates from a good one. Shares are from 0 to 1
// and are drawn for each request in the order of the fields.
type Behaviour struct {
	Draining         bool    // sheds all requests and reports it on the health endpoint
	ShedShare        float64 // shed unrun, as documented
	FailShare        float64 // quick answer 500
	ResetShare       float64 // runs, then resets the connection without an answer
	AbortShare       float64 // runs, then ends the connection within the answer
	ExcessBytesShare float64 // runs, then answers with more bytes than the length says
	LateShare        float64 // runs, then answers after Late
	LateDelay        time.Duration
	SlowFactor       float64 // factor on service times; 0 means 1
	TailShare        float64 // takes ten times as long
	// ReportLoad, when set, is reported instead of the requests in flight.
	ReportLoad *int
	// LoadDelay delays answers of the load endpoint.
	LoadDelay time.Duration
	// LieHealthy makes the health endpoint answer 200 whatever the state.
	AlwaysHealthy bool
}

// Start listens, after a Stop or Crash on the same port as before, and serves
// as a new instance.
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

// Set changes the behaviour of requests that start from now on.
func (b *Backend) SetBehaviour(v Behaviour) { b.behaviour.Store(&v) }

// Address returns IP:port, which stays the same over restarts.
func (b *Backend) Address() string { return b.address }

// Runs returns how many requests ran.
func (b *Backend) Runs() int64 { return b.runs.Load() }

// Sheds returns how many requests were shed.
func (b *Backend) Sheds() int64 { return b.sheds.Load() }

// Peak returns the largest number of requests in flight at a time.
func (b *Backend) PeakInFlight() int64 { return b.peak.Load() }

// TakePeak returns Peak and starts its measurement anew.
func (b *Backend) ResetPeakInFlight() int64 { return b.peak.Swap(b.inflight.Load()) }

// Crashes returns how many requests with CrashPath ran.
func (b *Backend) Crashes() int64 { return b.crashes.Load() }

// ColdOverloads returns how many requests failed because it was cold.
func (b *Backend) ColdOverloads() int64 { return b.coldOverloads.Load() }

// Cancelled returns how many requests ended because the caller closed the connection.
func (b *Backend) Cancelled() int64 { return b.cancelled.Load() }

// Probes returns how many requests the load endpoint answered.
func (b *Backend) Probes() int64 { return b.probes.Load() }

// Stop closes the listener and all connections.
func (b *Backend) Stop() error {
	b.end(false)
	return nil
}

// Crash resets all connections and stops listening. Requests in flight get no answer.
func (b *Backend) Crash() { b.end(true) }

// Restart crashes the server and starts it as a new, cold instance.
func (b *Backend) Restart() error {
	b.end(true)
	return b.Start()
}

func (b *Backend) end(reset bool) {
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
		x := &call{b: b, how: b.behaviour.Load(), conn: c, r: r, req: &req, resp: &resp, from: time.Now()}
		if !x.handle() {
			return
		}
		if resp.Write(w) != nil || w.Flush() != nil {
			return
		}
	}
}

// Orders records how often each order ran, over all backend servers that share it.
type Orders struct{ counts sync.Map }

// Add records one run of an order.
func (o *Orders) Add(id string) {
	v, _ := o.counts.LoadOrStore(id, new(atomic.Int64))
	v.(*atomic.Int64).Add(1)
}

// Count returns how often an order ran.
func (o *Orders) Count(id string) int64 {
	if v, ok := o.counts.Load(id); ok {
		return v.(*atomic.Int64).Load()
	}
	return 0
}

// Totals returns how many orders ran, and how many of them more than once.
func (o *Orders) Totals() (ran, doubled int64) {
	o.counts.Range(func(_, v any) bool {
		ran++
		if v.(*atomic.Int64).Load() > 1 {
			doubled++
		}
		return true
	})
	return ran, doubled
}

// time draws the service time of one request.
func (b *Backend) time(how *Behaviour) time.Duration {
	d := float64(b.ServiceTime) * (0.75 + 0.5*rand.Float64())
	if how.SlowFactor > 0 {
		d *= how.SlowFactor
	}
	if how.TailShare > 0 && rand.Float64() < how.TailShare {
		d *= 10
	}
	return time.Duration(d)
}

// bears returns how many requests it bears at a time: ColdSlots after a start,
// rising to Slots with its successes.
func (b *Backend) bears() int64 {
	after := int64(b.WarmAfter)
	if after == 0 {
		after = 50
	}
	done := b.successes.Load()
	if b.ColdSlots == 0 || done >= after {
		return int64(b.Slots)
	}
	return int64(b.ColdSlots) + int64(b.Slots-b.ColdSlots)*done/after
}

func (b *Backend) instance() string {
	if n := b.starts.Load(); n > 1 {
		return b.Instance + "-" + strconv.FormatInt(n, 10)
	}
	return b.Instance
}
