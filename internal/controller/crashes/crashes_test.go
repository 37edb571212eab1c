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
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

type host struct {
	*Controller
	clock   *clock.Manual
	store   *state.Store
	servers []*state.Server
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
	h.Controller = New(Config{Clock: t, Store: h.store, Self: name, Counters: metrics.New(), Log: zap.NewNop()})
	return h
}

// settle does what Run does with the inbox and a tick.
func (h *host) settle() {
	for len(h.inbox) > 0 {
		(<-h.inbox)()
	}
	h.look()
}

func (h *host) refuses(fp uint64) bool {
	s, ok := h.store.Load().PoisonRequests.ByFingerprint[fp]
	return ok && s.Refuse && h.clock.Now().Before(s.Expires)
}

// crash plays a reset on server i, and its death if dies is set.
func (h *host) crash(fp uint64, i int, dies bool) {
	h.Crashed(context.Background(), fp, h.servers[i].Name, false)
	h.clock.Advance(200 * time.Millisecond)
	if dies {
		h.servers[i].Load.Observe(load.Reading{At: h.clock.Now(), Silent: true})
	}
	h.settle()
}

// tell carries what one host tells to another.
func (h *host) tell(other *host) {
	b := &wire.Heartbeat{}
	h.AddToHeartbeat(h.clock.Now(), b)
	other.Received(other.clock.Now(), b)
	other.settle()
}

// TestDeadlyRequest guards against a request that crashes server after server,
// sent to any host, and against refusing one because servers that are full
// reset its connections.
func TestDeadlyRequest(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Advance(time.Second)
	a, b := newHost("a", now), newHost("b", now)
	for i := range 4 { // resets of servers that live
		a.crash(7, i, false)
		now.Advance(confirmWithin)
		a.settle()
	}
	is.True(!a.refuses(7))
	a.crash(7, 0, true)
	is.True(!a.refuses(7)) // it may only have stood beside the cause
	a.tell(b)
	is.True(!b.refuses(7))
	b.crash(7, 1, true) // sent again, to another host
	is.True(b.refuses(7))
	b.tell(a)
	is.True(a.refuses(7))
	a.tell(b) // told on, and back: changes nothing
	is.True(b.refuses(7))
	is.True(!a.refuses(8))
	a.Succeeded(7)
	a.settle()
	is.True(!a.refuses(7))
	now.Advance(2 * time.Minute)
	b.settle()
	is.True(!b.refuses(7)) // not for ever
}
