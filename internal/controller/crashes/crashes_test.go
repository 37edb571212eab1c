package crashes

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/poison"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

type host struct {
	*Controller
	clock   *clock.Manual
	store   *state.Store
	servers []*state.Server
	flushes int
}

func newHost(name string, t *clock.Manual) *host {
	h := &host{clock: t, store: state.NewStore(state.Member{Name: name})}
	table := &state.Servers{ByName: map[string]*state.Server{}, ByService: map[string][]*state.Server{}, Out: map[string]bool{}}
	for i := range 5 {
		s := &state.Server{BackendServer: manifest.BackendServer{Name: fmt.Sprint("b", i)}, Load: &load.State{}}
		h.servers = append(h.servers, s)
		table.ByName[s.Name] = s
	}
	h.store.Update(func(s *state.Snapshot) { s.Servers = table })
	h.Controller = New(Config{Clock: t, Store: h.store, Self: name, Counters: metrics.New(), Log: zap.NewNop(),
		RefusesConnections: func(context.Context, string) bool { return false }, Flush: func() { h.flushes++ }})
	return h
}

// process does what Run does with the queue and on a tick.
func (h *host) process() {
	for len(h.queue) > 0 {
		(<-h.queue)(context.Background())
	}
	h.check()
}

func (h *host) refuses(fp uint64) bool {
	s, ok := h.store.Load().PoisonRequests.ByFingerprint[fp]
	return ok && s.Refuse && h.clock.Now().Before(s.Expires)
}

// crash simulates a reset by server i, and its crash if serverCrashes is set.
func (h *host) crash(fp uint64, i int, serverCrashes bool) {
	h.Crashed(context.Background(), fp, h.servers[i].Name, false)
	h.clock.Advance(200 * time.Millisecond)
	if serverCrashes {
		h.servers[i].Load.Observe(load.Reading{At: h.clock.Now(), Silent: true})
	}
	h.process()
}

// sendHeartbeat delivers a heartbeat of h to another host.
func (h *host) sendHeartbeat(other *host) {
	b := &wire.Heartbeat{}
	h.AddToHeartbeat(h.clock.Now(), b)
	other.Received(other.clock.Now(), b)
	other.process()
}

// TestPoisonRequest guards against a request that crashes server after server,
// whichever hosts it is sent to, and against refusing a request because servers
// that are full reset its connections.
func TestPoisonRequest(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Second)
	a, b := newHost("a", now), newHost("b", now)
	for i := range 4 { // resets by servers that did not crash
		a.crash(7, i, false)
		now.Advance(confirmTimeout)
		a.process()
	}
	is.True(!a.refuses(7))
	a.crash(7, 0, true)
	is.True(!a.refuses(7)) // another request in flight may be the cause
	is.Equal(a.flushes, 1) // other hosts are told without delay
	a.sendHeartbeat(b)
	is.True(!b.refuses(7))
	b.crash(7, 1, true) // sent again, to another host
	is.True(b.refuses(7))
	b.sendHeartbeat(a)
	is.True(a.refuses(7))
	a.sendHeartbeat(b) // an update that returns to its origin changes nothing
	is.True(b.refuses(7))
	is.True(!a.refuses(8))
	a.Succeeded(7)
	a.process()
	is.True(!a.refuses(7))
	now.Advance(2 * time.Minute)
	b.process()
	is.True(!b.refuses(7)) // the refusal expires
}

// TestAbsentHostLearnsOfRefusals guards against a host that was restarted or cut off
// while the fleet learned of a crashing request, and sends it again.
func TestAbsentHostLearnsOfRefusals(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Second)
	a := newHost("a", now)
	const requests = 5
	for fp := uint64(1); fp <= requests; fp++ {
		a.crash(fp, 0, true)
		now.Advance(3 * time.Second)
		a.crash(fp, 1, true)
		now.Advance(3 * time.Second)
	}
	now.Advance(sendDuration)
	a.process()
	b := newHost("b", now)
	for range 5 { // the heartbeats of a second
		a.sendHeartbeat(b)
	}
	for fp := uint64(1); fp <= requests; fp++ {
		is.True(b.refuses(fp))
		is.Equal(b.store.Load().PoisonRequests.ByFingerprint[fp].Crashes, 2)
	}
	now.Advance(10 * time.Minute)
	a.process()
	b.process()
	a.sendHeartbeat(b)
	b.sendHeartbeat(a)
	for fp := uint64(1); fp <= requests; fp++ {
		is.True(!a.refuses(fp) && !b.refuses(fp)) // hosts do not keep each other's refusals alive
	}
}

// TestRestartedHostTakesPart guards against a host that takes reports of crashes from
// before its restart for its own, and against other hosts that take the crashes it
// reports after its restart for old ones.
func TestRestartedHostTakesPart(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Second)
	const address = "10.0.0.1:7660"
	before, b := newHost(poison.Origin(address, 1), now), newHost("b", now)
	before.crash(7, 0, true)
	now.Advance(3 * time.Second)
	before.crash(7, 1, true)
	before.sendHeartbeat(b)
	is.True(b.refuses(7))
	after := newHost(poison.Origin(address, 2), now)
	b.sendHeartbeat(after)
	is.True(after.refuses(7))
	after.crash(8, 2, true)
	now.Advance(3 * time.Second)
	after.crash(8, 3, true)
	after.sendHeartbeat(b)
	is.True(b.refuses(8))
}

// TestReportsTakeTurns guards against the report of a crashing request that is never
// sent, because those of the other requests on its server fill each heartbeat.
func TestReportsTakeTurns(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Second)
	a, b := newHost("a", now), newHost("b", now)
	const requests = 30
	for fp := uint64(1); fp <= requests; fp++ {
		a.Crashed(context.Background(), fp, a.servers[0].Name, false)
	}
	now.Advance(100 * time.Millisecond)
	a.servers[0].Load.Observe(load.Reading{At: now.Now(), Silent: true})
	a.process()
	for range 10 {
		a.sendHeartbeat(b)
	}
	is.Equal(len(b.store.Load().PoisonRequests.ByFingerprint), requests)
}

// TestFullQueueKeepsTestingConnections guards against a server whose crashes are no
// longer confirmed, because the result of a connection attempt was dropped with a full
// queue.
func TestFullQueueKeepsTestingConnections(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Second)
	h := newHost("a", now)
	begun, finish := make(chan struct{}), make(chan struct{})
	h.cfg.RefusesConnections = func(context.Context, string) bool { begun <- struct{}{}; <-finish; return true }
	h.Crashed(context.Background(), 7, h.servers[0].Name, false)
	h.process()
	<-begun
	for range 2 * queueLength {
		h.Succeeded(1)
	}
	close(finish)
	h.finishTest(<-h.tested)
	is.Equal(h.confirmed.Value(), int64(1))
	is.Equal(len(h.testing), 0)
}
