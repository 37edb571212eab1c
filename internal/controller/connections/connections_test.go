package connections

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/backend"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
)

type recorder struct {
	servers []backend.Server
	ahead   map[string]int
	calls   int
}

func (r *recorder) SetServers(s []backend.Server) {
	r.servers, r.ahead, r.calls = s, map[string]int{}, r.calls+1
}
func (r *recorder) Warm(address string, n int) { r.ahead[address] = n }

// TestShares guards against more connections than a backend server accepts
// from the whole fleet, and against work for a server that leaves.
func TestShares(t *testing.T) {
	is := is.New(t)
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 1000).Draw(rt, "limit")
		hosts := rapid.IntRange(1, 1000).Draw(rt, "hosts")
		if n := Share(limit, hosts); n < 1 || hosts <= limit && n*hosts > limit {
			rt.Fatalf("share %d", n)
		}
	})
	service := &manifest.Service{Name: "s", ConnectionsPerSecond: 5}
	pool := &manifest.Pool{ID: manifest.PoolID{Service: "s"}, Service: service, Servers: []*manifest.BackendServer{
		{Address: "a", Slots: 6, Connections: 250}, {Address: "b", Slots: 6, Connections: 1}, {Address: "c", Slots: 6, Connections: 250, Leaving: true},
	}}
	store, r := state.NewStore(state.Member{Name: "eh1"}), &recorder{}
	c := &Controller{Store: store, Transport: r}
	c.apply()
	is.Equal(r.calls, 0) // no manifest yet
	store.Update(func(s *state.Snapshot) {
		s.Manifest = &manifest.Manifest{Services: map[string]*manifest.Service{"s": service}, Pools: map[manifest.PoolID]*manifest.Pool{pool.ID: pool}}
	})
	c.apply()
	c.apply()
	is.Equal(r.calls, 1) // unchanged state is applied once
	is.Equal(r.ahead, map[string]int{"a": ahead, "b": 1})
	store.Update(func(s *state.Snapshot) { s.Members = &state.Members{Listed: make([]string, 2)} })
	c.apply()
	is.Equal(r.servers[0], backend.Server{Address: "a", Limit: 125, PerSecond: 5})
}
