package measures

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// fakeTransport is a transport whose servers respond to probes.
type fakeTransport struct {
	probes   atomic.Int64
	instance atomic.Pointer[string]
}

func (f *fakeTransport) Do(context.Context, *filter.Attempt) filter.Result {
	f.probes.Add(1)
	l := &filter.ServerLoad{Slots: 4, Speed: 1}
	if name := f.instance.Load(); name != nil {
		l.Instance = *name
	}
	return filter.Result{Response: &filter.Response{Status: 200}, Load: l}
}

// fakeMesh is a mesh with a given view.
type fakeMesh struct{ view atomic.Pointer[roster.View] }

func (m *fakeMesh) View() *roster.View { return m.view.Load() }
func (*fakeMesh) Flush()               {}

// host is the part of an entry host that probes backend servers.
type host struct {
	*Controller
	store *state.Store
	mesh  *fakeMesh
}

// newHost returns a host whose manifest lists n servers in its data centre, which
// report only their running requests. Its view contains no other host.
func newHost(clk clock.Clock, name string, n int, transport filter.Transport) *host {
	file := &manifest.File{
		DataCentres: []manifest.DataCentre{{Name: "dc1"}},
		Services:    []manifest.Service{{Name: "desk", ProbesPerSecond: 4, HealthPath: manifest.LoadPath}},
	}
	for i := range n {
		file.Services[0].BackendServers = append(file.Services[0].BackendServers, manifest.BackendServer{
			Name: fmt.Sprint("b", i), Address: "10.0.0.1:80", DataCentre: "dc1", Slots: 4,
		})
	}
	m := manifest.Compile(file)
	servers := &state.Servers{ByName: map[string]*state.Server{}, ByService: map[string][]*state.Server{}, Manifest: m}
	for _, b := range file.Services[0].BackendServers {
		s := &state.Server{BackendServer: b, Service: "desk", Local: true, ReportsRunningOnly: true, Load: &load.State{}}
		servers.ByName[b.Name] = s
	}
	h := &host{store: state.NewStore(state.Member{Name: name, Address: name, DataCentre: "dc1"}), mesh: &fakeMesh{}}
	h.store.Update(func(s *state.Snapshot) { s.Manifest, s.Servers = m, servers })
	h.mesh.view.Store(roster.NewView(roster.Host{Address: name, DataCentre: "dc1"}, nil))
	h.Controller = New(Config{Clock: clk, Store: h.store, Transport: transport, Mesh: h.mesh, Counters: metrics.New(), Log: zap.NewNop()})
	return h
}

func (h *host) server(name string) *state.Server { return h.store.Load().Servers.ByName[name] }

// sendHeartbeat delivers a heartbeat of h to other hosts.
func (h *host) sendHeartbeat(now clock.Time, others ...*host) {
	for _, o := range others {
		b := &wire.Heartbeat{}
		h.AddToHeartbeat(now, b)
		o.Received(now, b)
	}
}

// TestProbesStayWithinBudget guards against probes above the service's budget of 4
// a second while three hosts each consider themselves the owner, and against
// servers that are not probed at all.
func TestProbesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clk, transport := clock.NewMonotonic(), &fakeTransport{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan bool, 3)
		for i := range 3 {
			h := newHost(clk, fmt.Sprint("eh", i), 8, transport)
			go func() { h.Run(ctx); done <- true }()
		}
		time.Sleep(60*time.Second + time.Millisecond)
		synctest.Wait()
		n := transport.probes.Load()
		t.Logf("%d probes in 60 s", n)
		is.True(n > 180 && n <= 240)
		cancel()
		for range 3 {
			<-done
		}
	})
}

// TestServerStartIsReported guards against a server start that only the host that
// noticed it knows of, against a host that does not probe the server and treats it
// as warm meanwhile, and against a slow start that ends when the probing host
// fails.
func TestServerStartIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clk, transport := clock.NewMonotonic(), &fakeTransport{}
		a, b := newHost(clk, "eh1", 1, transport), newHost(clk, "eh2", 1, transport)
		viewOfTwo := func(self, other string) *roster.View {
			return roster.NewView(roster.Host{Address: self, DataCentre: "dc1"}, []roster.Host{{Address: other, DataCentre: "dc1"}})
		}
		a.mesh.view.Store(viewOfTwo("eh1", "eh2"))
		b.mesh.view.Store(viewOfTwo("eh2", "eh1"))
		if b.mesh.View().IsShardOwner(TaskName("b0")) {
			a, b = b, a
		}
		// a probes the server.
		oldProcess := "old"
		transport.instance.Store(&oldProcess)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan bool, 2)
		for _, h := range []*host{a, b} {
			go func() { h.Run(ctx); done <- true }()
		}
		time.Sleep(4 * time.Second)
		synctest.Wait()
		cold := func(h *host) bool {
			r := h.server("b0").Load.Reading()
			return r != nil && clk.Now().Before(r.ColdUntil)
		}
		is.True(!a.server("b0").Load.SlowStart.Cold(clk.Now()))
		b.server("b0").Load.SlowStart.Begin(clk.Now()) // a connection of b was reset
		b.sendHeartbeat(clk.Now(), a)
		is.True(a.server("b0").Load.SlowStart.Cold(clk.Now()))
		is.True(a.MaySendToCold(a.server("b0")))
		is.True(!b.MaySendToCold(b.server("b0")))
		for range 20 { // a reports the cold server until its slow start is over
			time.Sleep(100 * time.Millisecond)
			a.sendHeartbeat(clk.Now(), b)
			is.True(cold(b))
		}
		time.Sleep(30 * time.Second) // the slow start is over
		a.server("b0").Load.SlowStart.Begin(clk.Now())
		a.sendHeartbeat(clk.Now(), b)
		b.mesh.view.Store(roster.NewView(roster.Host{Address: b.mesh.View().Self.Address, DataCentre: "dc1"}, nil)) // a failed
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		is.True(b.MaySendToCold(b.server("b0")))
		is.Equal(b.server("b0").Load.SlowStart.Limit(clk.Now(), 4), 1)
		time.Sleep(10 * time.Second)
		for range 48 {
			a.server("b0").Load.SlowStart.RecordSuccess(4)
		}
		is.True(!a.server("b0").Load.SlowStart.Cold(clk.Now()))
		newProcess := "new" // no request notices the next start, but a probe does
		transport.instance.Store(&newProcess)
		time.Sleep(4 * time.Second)
		synctest.Wait()
		is.True(a.server("b0").Load.SlowStart.Cold(clk.Now()))
		cancel()
		<-done
		<-done
	})
}

// TestReadingsFromResponses guards against hosts that know the load of a server only from
// its probes, although another host has just got a response, and against such a reading
// that makes a cold server count as warm.
func TestReadingsFromResponses(t *testing.T) {
	is := is.New(t)
	now := clock.Time(time.Second)
	newWarmHost := func(name string) *host {
		h := newHost(clock.NewMonotonic(), name, 1, &fakeTransport{})
		h.server("b0").ReportsRunningOnly = false
		return h
	}
	a, b := newWarmHost("a"), newWarmHost("b")
	b.server("b0").Load.Observe(load.Reading{At: now, Slots: 4, Speed: 1, ColdUntil: now.Add(time.Minute)})
	a.server("b0").Load.ObserveResponse(load.Reading{At: now.Add(time.Millisecond), Running: 3, Slots: 4, Speed: 2})
	now = now.Add(2 * time.Millisecond)
	a.sendHeartbeat(now, b)
	e := b.server("b0").Load.Estimate(now, 1, 4)
	is.Equal(e.Running, 3.0)
	is.True(e.Cold)
	sent := &wire.Heartbeat{}
	a.AddToHeartbeat(now, sent)
	is.Equal(len(sent.Readings), 0) // once
}

// TestAssumedStartIsNotReported guards against a new process that makes other hosts treat
// warm servers as cold, before it has heard of them, and against a cold server that no
// host reports.
func TestAssumedStartIsNotReported(t *testing.T) {
	is := is.New(t)
	now, settled := clock.Time(time.Second), false
	h := newHost(clock.NewMonotonic(), "eh1", 2, &fakeTransport{})
	h.cfg.Settled = func() bool { return settled }
	b0, b1 := h.server("b0"), h.server("b1")
	h.assigned.Store(&map[string]*state.Server{"b0": b0}) // b1 is probed by another host
	reported := func() (cold []uint32) {
		heartbeat, digest := &wire.Heartbeat{}, &wire.Heartbeat{}
		h.AddToHeartbeat(now, heartbeat)
		h.AddToDigest(now, digest)
		is.Equal(len(heartbeat.Readings), len(digest.Readings))
		for _, r := range heartbeat.Readings {
			if r.ColdMillis > 0 {
				cold = append(cold, r.Server)
			}
		}
		return cold
	}
	b0.Load.SlowStart.Assume(now)
	b1.Load.SlowStart.Assume(now)
	b0.Load.Observe(load.Reading{At: now, Slots: 4, Speed: 1})
	is.Equal(len(reported()), 0)
	settled = true
	is.Equal(reported(), []uint32{wire.ServerHash("b0")})
}

// TestProbingHostConfirmsWarmServer guards against a host that takes over a warm server and
// starts it slowly, because it assumed so when it started, against one that takes readings
// of a host that assumes the same for news, and against one that treats a cold server as
// warm meanwhile.
func TestProbingHostConfirmsWarmServer(t *testing.T) {
	is := is.New(t)
	now, settled := clock.Time(time.Second), false
	a, b := newHost(clock.NewMonotonic(), "eh1", 1, &fakeTransport{}), newHost(clock.NewMonotonic(), "eh2", 1, &fakeTransport{})
	a.cfg.Settled = func() bool { return settled }
	probed, other := &a.server("b0").Load.SlowStart, &b.server("b0").Load.SlowStart
	a.assigned.Store(&map[string]*state.Server{"b0": a.server("b0")})
	probed.Assume(now)
	other.Assume(now)
	a.server("b0").Load.Observe(load.Reading{At: now, Slots: 4, Speed: 1})
	a.sendHeartbeat(now, b)
	is.True(other.Cold(now)) // a has not decided what it believes
	settled = true
	a.sendHeartbeat(now, b)
	is.True(other.Cold(now)) // a reports that it is cold
	for range 48 {
		probed.RecordSuccess(4)
	}
	a.sendHeartbeat(now, b)
	is.True(!other.Cold(now))
}

// TestColdServersAreSharedEvenly guards against a host of a cold fleet that may send to no
// server, while other hosts of its data centre may send to several.
func TestColdServersAreSharedEvenly(t *testing.T) {
	is := is.New(t)
	addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	servers := &state.Servers{ByName: map[string]*state.Server{}}
	for i := range 6 {
		name := fmt.Sprint("b", i)
		servers.ByName[name] = &state.Server{BackendServer: manifest.BackendServer{Name: name}, Service: "s", Local: true, ReportsRunningOnly: true}
	}
	owner := map[string]string{}
	for _, self := range addresses {
		var others []roster.Host
		for _, a := range addresses {
			if a != self {
				others = append(others, roster.Host{Address: a})
			}
		}
		assigned := assignedServers(servers, roster.NewView(roster.Host{Address: self}, others))
		is.Equal(len(assigned), 2)
		for name := range assigned {
			is.Equal(owner[name], "")
			owner[name] = self
		}
	}
}
