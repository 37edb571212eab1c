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

// answering is a transport whose servers answer measurements.
type answering struct {
	measured atomic.Int64
	instance atomic.Pointer[string]
}

func (a *answering) Do(context.Context, *filter.Attempt) filter.Result {
	a.measured.Add(1)
	l := &filter.ServerLoad{Slots: 4, Speed: 1}
	if name := a.instance.Load(); name != nil {
		l.Instance = *name
	}
	return filter.Result{Response: &filter.Response{Status: 200}, Load: l}
}

// views is a mesh with a given view.
type views struct{ view atomic.Pointer[roster.View] }

func (v *views) View() *roster.View { return v.view.Load() }
func (*views) Flush()               {}

// host is one entry host as far as measuring goes.
type host struct {
	*Controller
	store *state.Store
	mesh  *views
}

// newHost returns a host that lists n plain servers in its data centre and
// believes that it is alone there.
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
	h := &host{store: state.NewStore(state.Member{Name: name, Address: name, DataCentre: "dc1"}), mesh: &views{}}
	h.store.Update(func(s *state.Snapshot) { s.Manifest, s.Servers = m, servers })
	h.mesh.view.Store(roster.NewView(roster.Host{Address: name, DataCentre: "dc1"}, nil))
	h.Controller = New(Config{Clock: clk, Store: h.store, Transport: transport, Mesh: h.mesh, Counters: metrics.New(), Log: zap.NewNop()})
	return h
}

func (h *host) server(name string) *state.Server { return h.store.Load().Servers.ByName[name] }

// beat sends what h tells in a beat to other hosts.
func (h *host) beat(now clock.Time, others ...*host) {
	for _, o := range others {
		b := &wire.Heartbeat{}
		h.AddToHeartbeat(now, b)
		o.Received(now, b)
	}
}

// TestMeasuresStayInBudget guards against measurements above the service's budget
// of 4 a second while three hosts take themselves for the one that measures, and
// against servers that are not measured at all.
func TestMeasuresStayInBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clk, transport := clock.NewMonotonic(), &answering{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan bool, 3)
		for i := range 3 {
			h := newHost(clk, fmt.Sprint("eh", i), 8, transport)
			go func() { h.Run(ctx); done <- true }()
		}
		time.Sleep(60*time.Second + time.Millisecond)
		synctest.Wait()
		n := transport.measured.Load()
		t.Logf("%d measurements in 60 s", n)
		is.True(n > 180 && n <= 240)
		cancel()
		for range 3 {
			<-done
		}
	})
}

// TestStartIsTold guards against a start of a server that stays with the host
// that noticed it, against a host that does not measure the server and takes it
// for warm meanwhile, and against a slow start that ends when its host fails.
func TestStartIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clk, transport := clock.NewMonotonic(), &answering{}
		a, b := newHost(clk, "eh1", 1, transport), newHost(clk, "eh2", 1, transport)
		both := func(self, other string) *roster.View {
			return roster.NewView(roster.Host{Address: self, DataCentre: "dc1"}, []roster.Host{{Address: other, DataCentre: "dc1"}})
		}
		a.mesh.view.Store(both("eh1", "eh2"))
		b.mesh.view.Store(both("eh2", "eh1"))
		if b.mesh.View().IsShardOwner(TaskName("b0")) {
			a, b = b, a
		}
		// a measures the server.
		name := "old"
		transport.instance.Store(&name)
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
		b.beat(clk.Now(), a)
		is.True(a.server("b0").Load.SlowStart.Cold(clk.Now()))
		is.True(a.MaySendToCold(a.server("b0")))
		is.True(!b.MaySendToCold(b.server("b0")))
		for range 20 { // a goes on telling until its slow start is over
			time.Sleep(100 * time.Millisecond)
			a.beat(clk.Now(), b)
			is.True(cold(b))
		}
		time.Sleep(30 * time.Second) // the slow start is over
		a.server("b0").Load.SlowStart.Begin(clk.Now())
		a.beat(clk.Now(), b)
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
		renamed := "new" // nobody's request notices the next start, but a measurement does
		transport.instance.Store(&renamed)
		time.Sleep(4 * time.Second)
		synctest.Wait()
		is.True(a.server("b0").Load.SlowStart.Cold(clk.Now()))
		cancel()
		<-done
		<-done
	})
}
