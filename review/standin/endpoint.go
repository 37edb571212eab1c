package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is a stand-in for an endpoint of a service: it runs requests in its slots,
// queues twice as many, and sheds the rest.
type endpoint struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	born                       int64
	busy, waiting              atomic.Int32
	slot                       chan struct{}
	record                     *record
	server                     *http.Server
	onRun                      func(*http.Request) (crashed bool) // may be nil

	mu      sync.Mutex
	crashed chan struct{} // closed when the endpoint is back; nil while it runs
}

func newEndpoint(ip, id, service, zone string, slots int, work time.Duration, rec *record) (*endpoint, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, work: work,
		born: time.Now().UnixMilli(), slot: make(chan struct{}, slots), record: rec,
	}
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// crash makes the endpoint send nothing, neither responses nor heartbeats, until a new
// process has its name and address.
func (e *endpoint) crash(d *deployment, downFor time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed != nil {
		return
	}
	e.crashed = make(chan struct{})
	time.AfterFunc(downFor, func() {
		_ = e.server.Close()
		l, err := net.Listen("tcp", e.address)
		if err != nil {
			d.record.printf("endpoint  %s doesn't return: %v", e.id, err)
			return
		}
		e.mu.Lock()
		close(e.crashed)
		e.crashed, e.born = nil, time.Now().UnixMilli()
		e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
		server := e.server
		e.mu.Unlock()
		d.record.printf("endpoint  %s is back", e.id)
		d.store.register(e, "ready")
		_ = server.Serve(l)
	})
}

// awaitReturn waits while the endpoint is down, and reports whether it was.
func (e *endpoint) awaitReturn() bool {
	e.mu.Lock()
	crashed := e.crashed
	e.mu.Unlock()
	if crashed == nil {
		return false
	}
	<-crashed
	return true
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.awaitReturn() {
		panic(http.ErrAbortHandler) // its connection has ended
	}
	h := w.Header()
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d,100", e.busy.Load(), e.waiting.Load(), e.slots))
	id := r.Header.Get("X-Request-Id")
	if r.URL.Path == "/health" && id == "" {
		h.Set("X-Instance-Id", e.id)
		return
	}
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	if t := r.Header.Get("X-Target-Instance"); t != "" && t != e.id {
		h.Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	sum := fnv.New64a()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		return
	}
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if int(e.waiting.Add(1)) > 2*e.slots {
		e.waiting.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.slot <- struct{}{}
	e.waiting.Add(-1)
	e.busy.Add(1)
	e.record.ran(id, e.id)
	if e.onRun != nil && e.onRun(r) || e.sleep() {
		e.busy.Add(-1)
		<-e.slot
		e.awaitReturn()
		panic(http.ErrAbortHandler)
	}
	e.busy.Add(-1)
	<-e.slot
	body := fmt.Sprintf("%s %s %s %d %x\n", r.Method, r.URL.RequestURI(), id, n, sum.Sum64())
	h.Set("X-Response-Signature", fmt.Sprintf("s.%x", sum.Sum64()))
	_, _ = io.WriteString(w, body)
}

// sleep works on a request, and reports whether the endpoint crashed meanwhile.
func (e *endpoint) sleep() (crashed bool) {
	time.Sleep(e.work)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed != nil
}

// record writes what happened to record.txt and counts the runs of each request.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
	runs  map[string]int
	at    map[string]string // endpoint that ran the request
}

func newRecord(out io.Writer) *record {
	return &record{out: out, start: time.Now(), runs: map[string]int{}, at: map[string]string{}}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

func (r *record) ran(id, endpoint string) {
	r.mu.Lock()
	r.runs[id]++
	r.at[id] = endpoint
	r.mu.Unlock()
	r.printf("run       %s at %s", id, endpoint)
}

func (r *record) ranAt(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at[id]
}

func (r *record) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
