package pools

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

var poolID = manifest.PoolID{Service: "desk", DataCentre: "sgn1"}

// parse returns a manifest with servers b1..bn of 4 slots in one data centre.
func parse(t testing.TB, revision, servers int, out bool, leaving string) *manifest.Manifest {
	text := fmt.Sprintf("revision = %d\n[[data_centres]]\nname = \"sgn1\"\nout = %v\n[[services]]\nname = \"desk\"\n"+
		"run_limit = \"2s\"\nprobes_per_second = 4.0\n", revision, out)
	for i := 1; i <= servers; i++ {
		name := fmt.Sprintf("b%d", i)
		text += fmt.Sprintf("[[services.backend_servers]]\nname = %q\naddress = \"10.0.0.%d:80\"\ndata_centre = \"sgn1\"\nslots = 4\nleaving = %v\n",
			name, i, name == leaving)
	}
	m, err := manifest.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// host is a controller with its store.
type host struct {
	*Controller
	t     testing.TB
	store *state.Store
	stop  func()
}

// link is a peer.Caller that calls the receivers of other hosts directly.
type link struct {
	hosts   map[string]*host
	drop    atomic.Bool // replies of Pool.Acquire are lost
	lose    atomic.Bool // Pool.Done does not arrive
	refuse  atomic.Bool // nothing is sent
	batches atomic.Int64
	delay   time.Duration // of each answer
}

func (l *link) Call(ctx context.Context, _ peer.Class, address, method string, args, reply any) error {
	if l.refuse.Load() {
		return peer.ErrNotSent
	}
	r := &Receiver{l.hosts[address].Controller}
	var err error
	switch method {
	case "Pool.Acquire":
		err = r.Acquire(args.(*wire.AcquireRequest), reply.(*wire.AcquireReply))
	case "Pool.Done":
		if l.lose.Load() {
			return peer.ErrUnconfirmed
		}
		l.batches.Add(1)
		err = r.Done(args.(*wire.DoneRequest), reply.(*wire.DoneReply))
	}
	if l.delay > 0 {
		select {
		case <-time.After(l.delay):
		case <-ctx.Done():
			return peer.ErrUnconfirmed
		}
	}
	if l.drop.Load() && method == "Pool.Acquire" {
		<-ctx.Done()
		return peer.ErrUnconfirmed
	}
	return err
}

func newHost(t testing.TB, name string, l *link, transport filter.Transport) *host {
	cfg := Config{Transport: transport}
	if l != nil {
		cfg.Caller = l
	}
	h := startHost(t, name, cfg)
	if l != nil {
		l.hosts[name] = h
	}
	return h
}

// newHostCaller returns a host that reaches others through caller.
func newHostCaller(t testing.TB, name string, caller peer.Caller) *host {
	return startHost(t, name, Config{Caller: caller})
}

func startHost(t testing.TB, name string, cfg Config) *host {
	store := state.NewStore(state.Member{Name: name, Address: name, DataCentre: "sgn1", Alive: true})
	h := &host{t: t, store: store}
	cfg.Clock, cfg.Store = clock.NewMonotonic(), store
	h.Controller = New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { h.Run(ctx) })
	h.stop = func() { cancel(); wg.Wait() }
	return h
}

func (h *host) accept(m *manifest.Manifest) {
	h.store.Update(func(s *state.Snapshot) { s.Manifest = m })
}

// hold gives the lease of the pool to this host.
func (h *host) hold() *state.HeldLease {
	held := &state.HeldLease{Pool: poolID}
	held.Until.Store(math.MaxInt64)
	h.store.Update(func(s *state.Snapshot) {
		s.Leases = &state.Leases{Held: map[manifest.PoolID]*state.HeldLease{poolID: held}, Holders: map[manifest.PoolID]string{poolID: s.Members.Self.Name}}
	})
	return held
}

// know tells this host of another one that holds the lease.
func (h *host) know(holder string) {
	h.store.Update(func(s *state.Snapshot) {
		members := *s.Members
		members.ByName = map[string]*state.Member{s.Members.Self.Name: &members.Self, holder: {Name: holder, Address: holder, Alive: true}}
		members.Listed = []string{s.Members.Self.Name, holder}
		s.Members = &members
		s.Leases = &state.Leases{Held: map[manifest.PoolID]*state.HeldLease{}, Holders: map[manifest.PoolID]string{poolID: holder}}
	})
}

// warm hands the pool over with full limits.
func (h *host) warm(servers int, inflight int, left time.Duration) {
	r := wire.PoolRelease{Pool: poolID}
	for i := 1; i <= servers; i++ {
		r.Inflight = append(r.Inflight, wire.ServerInflight{Server: fmt.Sprintf("b%d", i), Limit: 4, Established: true, Count: inflight, LeftMillis: left.Milliseconds()})
	}
	h.Adopt([]wire.PoolRelease{r})
}

var ask = filter.Ask{Idempotent: true, Remaining: time.Second, RunLimit: 2 * time.Second, Wait: time.Millisecond, Route: "status"}

func (h *host) acquire(ask filter.Ask) (*filter.Grant, verdict.Reason) {
	g, err := h.Acquire(context.Background(), h.store.Load().Manifest.Pools[poolID], ask)
	if err != nil {
		e := verdict.From(err)
		if e.Verdict != verdict.NotRun {
			h.t.Fatalf("refusal says %v", e.Verdict)
		}
		return nil, e.Reason
	}
	return g, verdict.ReasonNone
}

// fill acquires until refused and returns the grants.
func (h *host) fill() []*filter.Grant {
	var out []*filter.Grant
	for {
		g, _ := h.acquire(ask)
		if g == nil {
			return out
		}
		out = append(out, g)
	}
}

var ran = filter.Report{Verdict: verdict.Ran, ServiceTime: time.Millisecond, Inflight: -1}

// newPair returns two hosts that reach each other; they stop with the test.
func newPair(t *testing.T) (l *link, holder, asker *host) {
	l = &link{hosts: map[string]*host{}}
	holder, asker = newHost(t, "eh1", l, nil), newHost(t, "eh2", l, nil)
	t.Cleanup(holder.stop)
	t.Cleanup(asker.stop)
	return l, holder, asker
}

// newWarmPair returns a pair of which the first holds the lease of a pool of
// warm servers, and the second knows it.
func newWarmPair(t *testing.T, servers int) (l *link, holder, asker *host) {
	l, holder, asker = newPair(t)
	m := parse(t, 1, servers, false, "")
	holder.accept(m)
	holder.warm(servers, 0, 0)
	holder.hold()
	asker.accept(m)
	asker.know("eh1")
	synctest.Wait()
	return l, holder, asker
}

// newSingleHolder returns a host that holds the lease of a pool of one cold server.
func newSingleHolder(t *testing.T) *host {
	h := newHost(t, "eh1", nil, nil)
	t.Cleanup(h.stop)
	h.accept(parse(t, 1, 1, false, ""))
	h.hold()
	synctest.Wait()
	return h
}
