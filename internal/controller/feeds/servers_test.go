package feeds

import (
	"testing"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
)

// TestCandidates guards against new requests to a backend server that is leaving
// or whose data centre is out of service.
func TestCandidates(t *testing.T) {
	is := is.New(t)
	table := newServerTable()
	add := func(name, dc string, leaving bool) {
		table.byKey[name] = &state.Server{Service: "s", BackendServer: manifest.BackendServer{Name: name, DataCentre: dc, Leaving: leaving}}
	}
	add("stays", "a", false)
	add("leaves", "a", true)
	add("out", "b", false)
	servers := table.build(&Content{Out: map[string]bool{"b": true}})
	is.Equal(len(servers.ByName), 3)
	is.Equal(len(servers.ByService["s"]), 1)
	is.Equal(servers.ByService["s"][0].Name, "stays")
}
