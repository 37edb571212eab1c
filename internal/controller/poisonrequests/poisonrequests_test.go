package poisonrequests

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// pair returns two hosts that know each other and a function that stops them.
// silent is the number of further hosts, which never reply.
func pair(silent int) (a, b *host, stop func()) {
	n := &network{lockedRand: newLockedRand(1), gossipLoss: 1, maxGossipDelay: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	byName := map[string]*state.Member{}
	for i := range silent {
		name := fmt.Sprint("silent", i)
		byName[name] = &state.Member{Name: name, Address: name, Alive: true}
	}
	for _, name := range []string{"a", "b"} {
		h := &host{net: n, name: name, store: state.NewStore(state.Member{Name: name}), counters: metrics.New()}
		h.c = New(Config{Clock: clock.NewMonotonic(), Store: h.store, Gossip: h, Caller: h, Counters: h.counters, Log: zap.NewNop()})
		h.service = &Service{c: h.c}
		byName[name] = &state.Member{Name: name, Address: name, Alive: true}
		n.hosts = append(n.hosts, h)
	}
	for _, h := range n.hosts {
		h.store.Update(func(s *state.Snapshot) { s.Members = &state.Members{Self: *byName[h.name], ByName: byName} })
		go func() { h.c.Run(ctx); done <- struct{}{} }()
	}
	return n.hosts[0], n.hosts[1], func() { cancel(); <-done; <-done }
}

// TestOneRetryPerFleet guards against two hosts that both retry a request that
// crashed servers, and against a retry by a host that cannot reach the others.
func TestOneRetryPerFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), context.Background()
		a, b, stop := pair(0)
		is.True(a.c.Crashed(ctx, 1, "s1", true))
		is.True(!a.c.Crashed(ctx, 1, "s1", true))
		is.True(!b.c.Crashed(ctx, 1, "s2", true))
		is.True(b.c.Crashed(ctx, 2, "s1", true))
		time.Sleep(claimTimeout) // the notice of the denied retry may be in flight
		is.Equal(a.store.Load().PoisonRequests.ByFingerprint[1].Crashes, 2)
		b.c.Succeeded(2)
		time.Sleep(time.Second)
		is.Equal(len(a.store.Load().PoisonRequests.ByFingerprint), 1) // cleared everywhere
		stop()
		a, _, stop = pair(3)
		is.True(!a.c.Crashed(ctx, 1, "s1", true)) // 1 of 4 hosts replied
		stop()
	})
}

// TestFullEventQueue guards against a request that blocks because the controller
// is behind, and against events that are dropped without being counted.
func TestFullEventQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _, stop := pair(0)
		stop()
		for range eventQueueLength + 7 {
			a.c.Succeeded(1)
		}
		is.Equal(a.c.dropped.Value(), int64(7))
		is.True(!a.c.Crashed(context.Background(), 1, "s", true))
		is.True(a.service.Notice(&wire.PoisonNoticeRequest{}, &wire.PoisonNoticeReply{}) != nil)
	})
}

// TestFromWire guards against updates that no entry host sends.
func TestFromWire(t *testing.T) {
	good := wire.PoisonUpdate{Fingerprint: 1, Origin: "a", Crashes: 1, TTLMillis: 1}
	bad := []wire.PoisonUpdate{good, good, good}
	bad[0].Origin, bad[1].Crashes, bad[2].TTLMillis = "", -1, 0
	is.New(t).Equal(len(fromWire(append(bad, good))), 1)
}

// TestNoticeOverPeers guards against a message that net/rpc cannot encode, and
// against a single entry host that fails without peers.
func TestNoticeOverPeers(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	newHost := func(name, address string, caller peer.Caller) (*Controller, *state.Store) {
		store := state.NewStore(state.Member{Name: name, Address: address, Alive: true})
		return New(Config{Clock: clock.NewMonotonic(), Store: store, Caller: caller, Counters: metrics.New(), Log: zap.NewNop()}), store
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server, client := peer.NewServer(l), peer.NewClient(nil)
	a, aStore := newHost("a", "", client)
	b, bStore := newHost("b", l.Addr().String(), nil)
	is.NoErr(b.Register(server))
	aStore.Update(func(s *state.Snapshot) {
		m := *s.Members
		m.ByName = map[string]*state.Member{"a": &m.Self, "b": {Name: "b", Address: l.Addr().String(), Alive: true}}
		s.Members = &m
	})
	running, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	wg.Go(server.Serve)
	wg.Go(func() { a.Run(running) })
	wg.Go(func() { b.Run(running) })
	is.True(b.Crashed(ctx, 2, "s1", true)) // without other hosts, it grants itself the retry
	is.True(!a.Crashed(ctx, 2, "s2", true))
	a.Crashed(ctx, 1, "s1", true)
	is.Equal(bStore.Load().PoisonRequests.ByFingerprint[1].Crashes, 1)
	is.Equal(bStore.Load().PoisonRequests.ByFingerprint[2].Crashes, 2)
	client.Close()
	server.Close()
	cancel()
	wg.Wait()
}

// TestNewMemberLearnsOfRefusals guards against a host that was started or cut off after
// the crashes of a request were announced, and runs it again.
func TestNewMemberLearnsOfRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), context.Background()
		a, b, stop := pair(0)
		defer stop()
		members := a.store.Load().Members
		a.store.Update(func(s *state.Snapshot) {
			s.Members = &state.Members{Self: members.Self, ByName: map[string]*state.Member{"a": members.ByName["a"]}}
		})
		a.c.Crashed(ctx, 1, "s1", false)
		a.c.Crashed(ctx, 1, "s2", false)
		time.Sleep(10 * time.Second)
		is.Equal(len(b.store.Load().PoisonRequests.ByFingerprint), 0)
		a.store.Update(func(s *state.Snapshot) { s.Members = members })
		time.Sleep(time.Second)
		is.Equal(b.store.Load().PoisonRequests.ByFingerprint[1].Crashes, 2)
		expires := func(h *host) time.Duration {
			return h.store.Load().PoisonRequests.ByFingerprint[1].Expires.Sub(h.c.cfg.Clock.Now()).Round(time.Second)
		}
		is.Equal(expires(b), expires(a)) // the refusal ends everywhere at the same time
	})
}
