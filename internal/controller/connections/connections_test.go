package connections

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/backend"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
)

type fakeTransport struct {
	servers []backend.Server
	warm    map[string]int
	calls   int
}

func (f *fakeTransport) SetServers(s []backend.Server) {
	f.servers, f.warm, f.calls = s, map[string]int{}, f.calls+1
}
func (f *fakeTransport) Warm(address string, n int) { f.warm[address] = n }

// TestConnectionsPerHost guards against more connections than a backend server
// accepts from the whole fleet, and against connections opened in advance to a
// server that is leaving or whose data centre is out of service.
func TestConnectionsPerHost(t *testing.T) {
	is := is.New(t)
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 1000).Draw(rt, "limit")
		hosts := rapid.IntRange(1, 1000).Draw(rt, "hosts")
		if n := ConnectionsPerHost(limit, hosts); n < 1 || hosts <= limit && n*hosts > limit {
			rt.Fatalf("share %d", n)
		}
	})
	file := &manifest.File{
		DataCentres: []manifest.DataCentre{{Name: "in"}, {Name: "out", Out: true}},
		Services: []manifest.Service{{Name: "s", ConnectionsPerSecond: 5, BackendServers: []manifest.BackendServer{
			{Address: "a", DataCentre: "in", Slots: 6, Connections: 250}, {Address: "b", DataCentre: "in", Slots: 6, Connections: 1},
			{Address: "c", DataCentre: "in", Slots: 6, Connections: 250, Leaving: true}, {Address: "d", DataCentre: "out", Slots: 6, Connections: 250},
		}}},
	}
	store, transport := state.NewStore(state.Member{Name: "eh1"}), &fakeTransport{}
	c := &Controller{Store: store, Transport: transport}
	c.apply()
	is.Equal(transport.calls, 0) // no manifest yet
	store.Update(func(s *state.Snapshot) {
		s.Manifest = manifest.Compile(file)
	})
	c.apply()
	c.apply()
	is.Equal(transport.calls, 1) // unchanged state is applied once
	is.Equal(transport.warm, map[string]int{"a": warmPerServer, "b": 1})
	store.Update(func(s *state.Snapshot) { s.Members = &state.Members{Listed: make([]string, 2)} })
	c.apply()
	is.Equal(transport.servers[0], backend.Server{Address: "a", MaxConnections: 125, DialsPerSecond: 5})
}
