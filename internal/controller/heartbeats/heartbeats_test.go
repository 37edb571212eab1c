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

// network delivers calls among the hosts of a test, but to those that hang.
type network struct {
	hosts map[string]*service
	hang  map[string]bool
	calls sync.Map // address of the receiver: true
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

// noted is a part that tells one reading of its own and notes what it hears.
type noted struct {
	key   uint32
	mu    sync.Mutex
	heard []uint32
}

func (p *noted) AddToHeartbeat(_ clock.Time, b *wire.Heartbeat) {
	b.Readings = []wire.Reading{{Server: p.key}}
}
func (p *noted) AddToDigest(_ clock.Time, b *wire.Heartbeat) {
	b.Readings = []wire.Reading{{Server: 100 + p.key}}
}
func (p *noted) Received(_ clock.Time, b *wire.Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range b.Readings {
		if !slices.Contains(p.heard, r.Server) {
			p.heard = append(p.heard, r.Server)
		}
	}
}

// TestBeats guards against readings that do not reach every host of the own data
// centre or of another one, also beside a host that does not answer.
func TestBeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &network{hosts: map[string]*service{}, hang: map[string]bool{}}
		members := map[string]*state.Member{}
		for name, dc := range map[string]string{"a": "dc1", "b": "dc1", "c": "dc2", "d": "dc2", "e": "dc1"} {
			members[name] = &state.Member{Name: name, Address: name, DataCentre: dc, Alive: true}
		}
		digester := digester(members)
		hanging := map[bool]string{true: "b", false: "a"}[digester == "a"]
		n.hang[hanging] = true
		parts := map[string]*noted{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for name, m := range members {
			store := state.NewStore(*m)
			store.Update(func(s *state.Snapshot) { s.Members = &state.Members{Self: *m, ByName: members} })
			c := New(Config{
				Clock: clock.NewMonotonic(), Store: store, Caller: n, Header: func() wire.Header { return wire.Header{From: name} },
				Counters: metrics.New(), Log: zap.NewNop(), Rand: rand.New(rand.NewPCG(1, 1)),
			})
			parts[name] = &noted{key: uint32(name[0])}
			c.SetHandler(parts[name])
			n.hosts[name] = &service{c}
		}
		for name, s := range n.hosts {
			if !n.hang[name] {
				wg.Go(func() { s.c.Run(ctx) })
			}
		}
		has := func(name string, key uint32) bool {
			parts[name].mu.Lock()
			defer parts[name].mu.Unlock()
			return slices.Contains(parts[name].heard, key)
		}
		time.Sleep(digestPeriod + period/2) // one digest to one host of dc2
		synctest.Wait()
		is.True(has("c", 100+uint32(digester[0])) && has("d", 100+uint32(digester[0])))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		cancel()
		wg.Wait()
		other := map[bool]string{true: "a", false: "e"}[digester == "e"]
		if other == hanging {
			other = "b"
		}
		is.True(has(digester, uint32(other[0])) && has(other, uint32(digester[0])))
		is.True(has("c", 'd') && has("d", 'c'))
		is.True(!has("c", 'a') && !has("c", 'b') && !has("c", 'e')) // other data centres get digests only
	})
}

// digester returns the host of dc1 that sends digests.
func digester(members map[string]*state.Member) string {
	for name, m := range members {
		if m.DataCentre == "dc1" && viewOf(&state.Members{Self: *m, ByName: members}).IsOwner("digest") {
			return name
		}
	}
	return ""
}
