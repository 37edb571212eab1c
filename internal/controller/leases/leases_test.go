package leases

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

type noGossip struct{}

func (noGossip) Publish(wire.Update)              {}
func (noGossip) Handle(func(string, wire.Update)) {}

const twoHosts = `
revision = 1
data_centres = [{name = "ktm1", region = "central"}]
entry_hosts = [
  {name = "eh1", address = "10.0.0.1:7000", data_centre = "ktm1"},
  {name = "eh2", address = "10.0.0.2:7000", data_centre = "ktm1"},
]
[[services]]
name = "counter"
[[services.backend_servers]]
name = "counter-1"
address = "10.0.1.1:80"
data_centre = "ktm1"
slots = 4
`

// TestRoundWaitsForMembers guards against a round between a new manifest and
// the members that contain its entry hosts: the host would be its own majority.
func TestRoundWaitsForMembers(t *testing.T) {
	is := is.New(t)
	clk := &clock.Manual{}
	store := state.NewStore(state.Member{Name: "eh1", Address: "10.0.0.1:7000", DataCentre: "ktm1", Incarnation: 1, Alive: true})
	c := New(Config{
		Clock: clk, Store: store, Gossip: noGossip{}, Header: func() wire.Header { return wire.Header{} },
		Counters: metrics.New(), Log: zap.NewNop(), Rand: rand.New(rand.NewPCG(1, 1)),
	})
	m, err := manifest.Parse([]byte(twoHosts))
	is.NoErr(err)
	store.Update(func(s *state.Snapshot) { s.Manifest = m })
	clk.Set(clock.Time(time.Minute)) // the one-term wait is over
	var wg conc.WaitGroup
	c.round(context.Background(), &wg)
	wg.Wait()
	is.Equal(len(store.Load().Leases.Held), 0)
	merged := *store.Load().Members
	merged.Manifest = m
	store.Update(func(s *state.Snapshot) { s.Members = &merged }) // as if nobody else were listed
	c.round(context.Background(), &wg)
	wg.Wait()
	is.Equal(len(store.Load().Leases.Held), 1)
}
