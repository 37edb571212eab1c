package heartbeats

import (
	"bytes"
	"context"
	"encoding/gob"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// network delivers calls between the hosts of a test, except to those that hang.
type network struct {
	hosts map[string]*service
	hang  map[string]bool
	calls sync.Map // keys are the addresses that were called
}

func (n *network) Call(ctx context.Context, _ peer.Class, address, _ string, args, reply any) error {
	if n.hang[address] {
		<-ctx.Done()
		return ctx.Err()
	}
	n.calls.Store(address, true)
	var raw bytes.Buffer // the receiver must not share memory with the sender
	req := &wire.HeartbeatRequest{}
	if err := gob.NewEncoder(&raw).Encode(args); err != nil {
		return err
	}
	if err := gob.NewDecoder(&raw).Decode(req); err != nil {
		return err
	}
	return n.hosts[address].Take(req, reply.(*wire.HeartbeatReply))
}

// recordingHandler adds one reading of its own and records the received ones.
type recordingHandler struct {
	key      uint32
	mu       sync.Mutex
	received []uint32
}

func (h *recordingHandler) AddToHeartbeat(_ clock.Time, b *wire.Heartbeat) {
	b.Readings = []wire.Reading{{Server: h.key}}
}
func (h *recordingHandler) AddToDigest(_ clock.Time, b *wire.Heartbeat) {
	b.Readings = []wire.Reading{{Server: 100 + h.key}}
}
func (h *recordingHandler) Received(_ clock.Time, b *wire.Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range b.Readings {
		if !slices.Contains(h.received, r.Server) {
			h.received = append(h.received, r.Server)
		}
	}
}

// TestReadingsReachAllHosts guards against readings that do not reach every host of
// the local or of another data centre, also while one host does not respond.
func TestReadingsReachAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &network{hosts: map[string]*service{}, hang: map[string]bool{}}
		members := map[string]*state.Member{}
		for name, dc := range map[string]string{"a": "dc1", "b": "dc1", "c": "dc2", "d": "dc2", "e": "dc1"} {
			members[name] = &state.Member{Name: name, Address: name, DataCentre: dc, Alive: true}
		}
		owner := digestOwner(members)
		unresponsive := map[bool]string{true: "b", false: "a"}[owner == "a"]
		n.hang[unresponsive] = true
		handlers := map[string]*recordingHandler{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for name, m := range members {
			store := state.NewStore(*m)
			store.Update(func(s *state.Snapshot) { s.Members = &state.Members{Self: *m, ByName: members} })
			c := New(Config{
				Clock: clock.NewMonotonic(), Store: store, Caller: n, Header: func() wire.Header { return wire.Header{From: name} },
				Counters: metrics.New(), Log: zap.NewNop(), Rand: rand.New(rand.NewPCG(1, 1)),
			})
			handlers[name] = &recordingHandler{key: uint32(name[0])}
			c.SetHandler(handlers[name])
			n.hosts[name] = &service{c}
		}
		for name, s := range n.hosts {
			if !n.hang[name] {
				wg.Go(func() { s.c.Run(ctx) })
			}
		}
		has := func(name string, key uint32) bool {
			handlers[name].mu.Lock()
			defer handlers[name].mu.Unlock()
			return slices.Contains(handlers[name].received, key)
		}
		time.Sleep(digestInterval + heartbeatInterval/2) // one digest to one host of dc2
		synctest.Wait()
		is.True(has("c", 100+uint32(owner[0])) && has("d", 100+uint32(owner[0])))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		cancel()
		wg.Wait()
		other := map[bool]string{true: "a", false: "e"}[owner == "e"]
		if other == unresponsive {
			other = "b"
		}
		is.True(has(owner, uint32(other[0])) && has(other, uint32(owner[0])))
		is.True(has("c", 'd') && has("d", 'c'))
		is.True(!has("c", 'a') && !has("c", 'b') && !has("c", 'e')) // other data centres get digests only
	})
}

// digestOwner returns the host of dc1 that sends digests.
func digestOwner(members map[string]*state.Member) string {
	for name, m := range members {
		if m.DataCentre == "dc1" && viewOf(&state.Members{Self: *m, ByName: members}).IsOwner("digest") {
			return name
		}
	}
	return ""
}
