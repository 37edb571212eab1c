package orders

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/ledger"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// world is a few entry hosts in one process with a fake network and a fake
// backend server. It is used inside a synctest bubble.
type world struct {
	mu         sync.Mutex
	hosts      []*host // the last process at each address
	successors map[uint64]string
	sent       map[string]int    // attempts per key whose first byte left and that were not shed
	ran        map[string]string // key to body of the order that ran
	notRun     map[string]bool   // keys for which "not run" was answered
	violations []string
	gates      []chan struct{} // what is held back, oldest first
	calls      int
	closing    bool
	copyFault  func(n int) byte
	ledger     ledger.Config
	manifest   *manifest.Manifest
}

// host is one process.
type host struct {
	w        *world
	index    int
	name     string
	address  string
	inc      uint64
	clock    clock.Clock
	store    *state.Store
	ctl      *Controller
	guard    *filters.OrderGuard
	chain    filter.Handler
	dead     atomic.Bool
	stopping atomic.Bool
	transfer atomic.Int32 // fault of the next hand-over
	cancel   context.CancelFunc
}

const testManifest = `
revision = 1
[[data_centres]]
name = "dc0"
region = "r"
[[data_centres]]
name = "dc1"
region = "r"
[[data_centres]]
name = "dc2"
region = "r"
[[services]]
name = "desk"
run_limit = "5s"
[[services.backend_servers]]
name = "desk-1"
address = "10.9.0.1:80"
data_centre = "dc0"
slots = 4
[[routes]]
name = "lookup"
path_prefix = "/lookup"
service = "desk"
idempotent = true
[[routes]]
name = "booking"
path_prefix = "/booking"
service = "desk"
key_required = true
[[routes]]
name = "order"
path_prefix = "/order"
service = "desk"
deadline = "2s"
`

func newWorld(hosts int) *world {
	m, err := manifest.Parse([]byte(testManifest))
	if err != nil {
		panic(err)
	}
	w := &world{
		successors: map[uint64]string{}, sent: map[string]int{}, ran: map[string]string{}, notRun: map[string]bool{},
		manifest: m, copyFault: func(int) byte { return 'o' },
		ledger: ledger.Config{MaxKeys: 256, MaxRecords: 128, MaxBytes: 1 << 16, MaxResultBytes: 256, KeyTTL: time.Minute},
	}
	for i := range hosts {
		w.hosts = append(w.hosts, w.start(i))
	}
	for _, h := range w.hosts {
		w.refresh(h)
	}
	return w
}

var incarnations atomic.Uint64

func (w *world) start(i int) *host {
	h := &host{w: w, index: i, name: fmt.Sprintf("eh%d", i), address: fmt.Sprintf("10.0.0.%d:9000", i+1), inc: incarnations.Add(1)}
	h.clock = clock.NewMonotonic()
	h.transfer.Store('o')
	h.store = state.NewStore(state.Member{Name: h.name, Address: h.address, DataCentre: fmt.Sprintf("dc%d", i%3), Incarnation: h.inc, Alive: true})
	h.store.Update(func(s *state.Snapshot) { s.Manifest = w.manifest })
	ctl, err := New(Config{
		Clock: h.clock, Store: h.store, Peers: &network{h}, Gossip: w, Counters: metrics.New(), Log: zap.NewNop(),
		Incarnation: h.inc, Address: h.address, Ledger: w.ledger, MaxCopies: 256, MaxCopyBytes: 1 << 16, QueueLength: 64, PartBytes: 64,
	})
	if err != nil {
		panic(err)
	}
	h.ctl = ctl
	h.guard = &filters.OrderGuard{Clock: h.clock, Orders: ctl}
	h.chain = filter.Chain(h.guard, filters.Deadline{}, filters.Route{},
		&filters.OrderKey{Clock: h.clock, Orders: ctl, Peers: &network{h}},
		hostileRetry{}, filters.OrderAttempt{}, admit{h}, &filters.Dispatch{
			Clock: h.clock, Fresh: func() bool { return true }, Placement: admit{h}, Transport: &backend{h},
		})
	ctl.SetChain(h.chain)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go ctl.Run(ctx)
	return h
}

// refresh gives a host the current list of members. Between calls its list is outdated.
func (w *world) refresh(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := &state.Members{Self: h.store.Load().Members.Self, ByName: map[string]*state.Member{}, Successors: map[uint64]*state.Member{}}
	for _, o := range w.hosts {
		v := o.store.Load().Members.Self
		v.Alive, v.Leaving = !o.dead.Load(), o.stopping.Load()
		m.ByName[v.Name] = &v
	}
	for inc, name := range w.successors {
		m.Successors[inc] = m.ByName[name]
	}
	h.store.Update(func(s *state.Snapshot) { s.Members = m })
}

// Publish implements peer.Gossip.
func (w *world) Publish(u wire.Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.successors[u.Successor.Incarnation] = u.Successor.Name
}

// Handle implements peer.Gossip.
func (*world) Handle(func(string, wire.Update)) {}

// hold blocks until release.
func (w *world) hold() {
	gate := make(chan struct{})
	w.mu.Lock()
	if w.closing {
		close(gate)
	} else {
		w.gates = append(w.gates, gate)
	}
	w.mu.Unlock()
	<-gate
}

// release lets what is held back at position i go on.
func (w *world) release(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.gates) > 0 {
		i %= len(w.gates)
		close(w.gates[i])
		w.gates = append(w.gates[:i], w.gates[i+1:]...)
	}
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// found returns the violations so far.
func (w *world) found() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.violations
}

// request is one copy of an order as a caller sends it.
type request struct {
	path, key, body, admission, backend, net string
	deadline                                 time.Duration
}

// send runs a request through a host's chain and checks the answer. ok is false
// when the caller got no answer because the process died.
func (w *world) send(ctx context.Context, h *host, r request) (out filter.Outcome, ok bool) {
	headers := []filter.Header{{Name: "Test-Admission", Value: r.admission}, {Name: "Test-Backend", Value: r.backend}, {Name: "Test-Net", Value: r.net}}
	if r.key != "" {
		headers = append(headers, filter.Header{Name: filter.HeaderOrderKey, Value: r.key})
	}
	if r.deadline > 0 {
		headers = append(headers, filter.Header{Name: filter.HeaderDeadline, Value: fmt.Sprint(r.deadline.Milliseconds())})
	}
	x := &filter.Exchange{Snapshot: h.store.Load(), Arrived: h.clock.Now(), Key: r.key, Request: &filter.Request{
		Method: "POST", Host: "desk", Path: r.path, Body: []byte(r.body), Headers: headers}}
	out = h.chain.Handle(ctx, x)
	if h.dead.Load() {
		return out, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case r.key == "":
	case out.Verdict == verdict.NotRun:
		w.notRun[r.key] = true
		if w.sent[r.key] > 0 {
			w.violate("key %s: not-run after its dispatch (%s)", r.key, out.Reason)
		}
	case out.Verdict == verdict.Ran:
		if w.ran[r.key] != r.body {
			w.violate("key %s: ran answered for %q, %q ran", r.key, r.body, w.ran[r.key])
		}
		if out.Response != nil && !bytes.HasPrefix(out.Response.Body, []byte("answer to "+r.body)) {
			w.violate("key %s: %q got the answer %q", r.key, r.body, out.Response.Body)
		}
	}
	return out, true
}

// close lets everything that is held back go on and ends all processes.
func (w *world) close() {
	w.mu.Lock()
	w.closing = true
	for _, gate := range w.gates {
		close(gate)
	}
	w.gates = nil
	w.mu.Unlock()
	time.Sleep(time.Minute) // synctest time: ends every deadline, run limit and drain
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.hosts {
		h.cancel()
	}
}
