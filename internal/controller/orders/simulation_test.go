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

// simulation runs a few entry hosts in one process with a fake network and a fake
// backend server, inside a synctest bubble. It records violations of the rule that
// a key is dispatched at most once and that its verdicts are true.
type simulation struct {
	mu           sync.Mutex
	hosts        []*host // the latest process at each address
	successors   map[uint64]string
	sent         map[string]int    // attempts per key that sent their first byte and were not shed
	ranBody      map[string]string // body of the order that ran, by key
	notRun       map[string]bool   // keys with the verdict "not run"
	violations   []string
	gates        []chan struct{} // one per blocked goroutine, oldest first
	calls        int
	closing      bool
	copyFault    func(n int) byte
	ledgerConfig ledger.Config
	manifest     *manifest.Manifest
}

// host is one process of an entry host.
type host struct {
	sim           *simulation
	index         int
	name          string
	address       string
	incarnation   uint64
	clock         clock.Clock
	store         *state.Store
	ctl           *Controller
	guard         *filters.OrderGuard
	chain         filter.Handler
	down          atomic.Bool
	stopping      atomic.Bool
	handOverFault atomic.Int32 // fault of the next hand-over, a letter of fakeNetwork
	cancel        context.CancelFunc
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

func newSimulation(hosts int) *simulation {
	m, err := manifest.Parse([]byte(testManifest))
	if err != nil {
		panic(err)
	}
	sim := &simulation{
		successors: map[uint64]string{}, sent: map[string]int{}, ranBody: map[string]string{}, notRun: map[string]bool{},
		manifest: m, copyFault: func(int) byte { return 'o' },
		ledgerConfig: ledger.Config{MaxKeys: 256, MaxRecords: 128, MaxBytes: 1 << 16, MaxResultBytes: 256, KeyTTL: time.Minute},
	}
	for i := range hosts {
		sim.hosts = append(sim.hosts, sim.startHost(i))
	}
	for _, h := range sim.hosts {
		sim.updateMembers(h)
	}
	return sim
}

var incarnations atomic.Uint64

func (sim *simulation) startHost(i int) *host {
	h := &host{sim: sim, index: i, name: fmt.Sprintf("eh%d", i), address: fmt.Sprintf("10.0.0.%d:9000", i+1), incarnation: incarnations.Add(1)}
	h.clock = clock.NewMonotonic()
	h.handOverFault.Store('o')
	h.store = state.NewStore(state.Member{Name: h.name, Address: h.address, DataCentre: fmt.Sprintf("dc%d", i%3), Incarnation: h.incarnation, Alive: true})
	h.store.Update(func(s *state.Snapshot) { s.Manifest = sim.manifest })
	ctl, err := New(Config{
		Clock: h.clock, Store: h.store, Peers: &fakeNetwork{h}, Gossip: sim, Counters: metrics.New(), Log: zap.NewNop(),
		Incarnation: h.incarnation, Address: h.address, Ledger: sim.ledgerConfig, MaxCopies: 256, MaxCopyBytes: 1 << 16, QueueLength: 64, PartBytes: 64,
	})
	if err != nil {
		panic(err)
	}
	h.ctl = ctl
	h.guard = &filters.OrderGuard{Clock: h.clock, Orders: ctl}
	h.chain = filter.Chain(h.guard, filters.Deadline{}, filters.Route{},
		&filters.OrderKey{Clock: h.clock, Orders: ctl, Peers: &fakeNetwork{h}},
		alwaysRetry{}, filters.OrderAttempt{}, fakeAdmission{h}, &filters.Dispatch{
			Clock: h.clock, Fresh: func() bool { return true }, Placement: fakeAdmission{h}, Transport: &fakeTransport{h},
		})
	ctl.SetChain(h.chain)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go ctl.Run(ctx)
	return h
}

// updateMembers gives a host the current list of members. Until the next call the
// list may become outdated.
func (sim *simulation) updateMembers(h *host) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	m := &state.Members{Self: h.store.Load().Members.Self, ByName: map[string]*state.Member{}, Successors: map[uint64]*state.Member{}}
	for _, o := range sim.hosts {
		member := o.store.Load().Members.Self
		member.Alive, member.Leaving = !o.down.Load(), o.stopping.Load()
		m.ByName[member.Name] = &member
	}
	for inc, name := range sim.successors {
		m.Successors[inc] = m.ByName[name]
	}
	h.store.Update(func(s *state.Snapshot) { s.Members = m })
}

// Publish implements peer.Gossip.
func (sim *simulation) Publish(u wire.Update) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.successors[u.Successor.Incarnation] = u.Successor.Name
}

// Handle implements peer.Gossip.
func (*simulation) Handle(func(string, wire.Update)) {}

// block blocks until unblock or close.
func (sim *simulation) block() {
	gate := make(chan struct{})
	sim.mu.Lock()
	if sim.closing {
		close(gate)
	} else {
		sim.gates = append(sim.gates, gate)
	}
	sim.mu.Unlock()
	<-gate
}

// unblock unblocks the goroutine at position i, modulo the number of blocked ones.
func (sim *simulation) unblock(i int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if len(sim.gates) > 0 {
		i %= len(sim.gates)
		close(sim.gates[i])
		sim.gates = append(sim.gates[:i], sim.gates[i+1:]...)
	}
}

func (sim *simulation) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// violationsSoFar returns the violations recorded so far.
func (sim *simulation) violationsSoFar() []string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.violations
}

// request is one copy of an order as a caller sends it. admission, backend and
// network are the faults to inject, see plannedFault.
type request struct {
	path, key, body, admission, backend, network string
	deadline                                     time.Duration
}

// send runs a request through a host's chain and checks the outcome. ok is false
// when the caller gets no response because the process has ended.
func (sim *simulation) send(ctx context.Context, h *host, r request) (out filter.Outcome, ok bool) {
	headers := []filter.Header{{Name: "Test-Admission", Value: r.admission}, {Name: "Test-Backend", Value: r.backend}, {Name: "Test-Net", Value: r.network}}
	if r.key != "" {
		headers = append(headers, filter.Header{Name: filter.HeaderOrderKey, Value: r.key})
	}
	if r.deadline > 0 {
		headers = append(headers, filter.Header{Name: filter.HeaderDeadline, Value: fmt.Sprint(r.deadline.Milliseconds())})
	}
	x := &filter.Exchange{Snapshot: h.store.Load(), Arrived: h.clock.Now(), Key: r.key, Request: &filter.Request{
		Method: "POST", Host: "desk", Path: r.path, Body: []byte(r.body), Headers: headers}}
	out = h.chain.Handle(ctx, x)
	if h.down.Load() {
		return out, false
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	switch {
	case r.key == "":
	case out.Verdict == verdict.NotRun:
		sim.notRun[r.key] = true
		if sim.sent[r.key] > 0 {
			sim.recordViolation("key %s: verdict not-run after its dispatch (%s)", r.key, out.Reason)
		}
	case out.Verdict == verdict.Ran:
		if sim.ranBody[r.key] != r.body {
			sim.recordViolation("key %s: verdict ran for %q, but %q ran", r.key, r.body, sim.ranBody[r.key])
		}
		if out.Response != nil && !bytes.HasPrefix(out.Response.Body, []byte("answer to "+r.body)) {
			sim.recordViolation("key %s: %q got the response %q", r.key, r.body, out.Response.Body)
		}
	}
	return out, true
}

// close unblocks all goroutines and ends all processes.
func (sim *simulation) close() {
	sim.mu.Lock()
	sim.closing = true
	for _, gate := range sim.gates {
		close(gate)
	}
	sim.gates = nil
	sim.mu.Unlock()
	time.Sleep(time.Minute) // synctest time: passes every deadline, run limit and drain
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, h := range sim.hosts {
		h.cancel()
	}
}
