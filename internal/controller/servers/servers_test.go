package servers

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
)

// parseManifest returns a manifest with n servers in dc1. With out set, dc1 is out
// of service; the server named leaving is leaving.
func parseManifest(t *testing.T, revision, n int, out bool, leaving string) *manifest.Manifest {
	t.Helper()
	text := fmt.Sprintf("revision = %d\n[[data_centres]]\nname = \"dc1\"\nout = %v\n[[services]]\nname = \"desk\"\n", revision, out)
	for i := 1; i <= n; i++ {
		text += fmt.Sprintf("[[services.backend_servers]]\nname = \"b%d\"\naddress = \"10.0.0.%d:80\"\ndata_centre = \"dc1\"\nslots = 4\nleaving = %v\n", i, i, leaving == fmt.Sprint("b", i))
	}
	m, err := manifest.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// TestServersFollowManifest guards against requests to a server that is leaving or
// whose data centre is out of service, and against full load on one that is new or
// returns to service.
func TestServersFollowManifest(t *testing.T) {
	is := is.New(t)
	now := &clock.Manual{}
	now.Set(clock.Time(time.Hour))
	store := state.NewStore(state.Member{Name: "eh1", DataCentre: "dc1"})
	c := &Controller{Clock: now, Store: store, Log: zap.NewNop()}
	applyManifest := func(m *manifest.Manifest) {
		store.Update(func(s *state.Snapshot) { s.Manifest = m })
		is.True(!c.Ready())
		c.apply()
		is.True(c.Ready())
	}
	limits := func() (out []int) {
		for _, s := range store.Load().Servers.ByService["desk"] {
			out = append(out, s.Load.SlowStart.Limit(now.Now(), s.Slots))
		}
		return out
	}
	applyManifest(parseManifest(t, 1, 2, false, ""))
	is.Equal(limits(), []int{4, 4}) // a new host treats them as warm
	loadState := store.Load().Servers.ByName["b2"].Load
	applyManifest(parseManifest(t, 2, 2, false, "b1"))
	is.Equal(len(limits()), 1)
	is.Equal(store.Load().Servers.ByName["b2"].Load, loadState)
	applyManifest(parseManifest(t, 3, 2, true, ""))
	is.Equal(len(limits()), 0)
	now.Advance(3 * time.Second)
	applyManifest(parseManifest(t, 4, 3, false, ""))
	is.Equal(limits(), []int{1, 1, 1}) // returned or new: cold
}

// TestWaitApplied guards against a host that resumes after a pause and sends to servers
// that were taken out meanwhile: its manifest is refreshed, but not yet the servers.
func TestWaitApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := state.NewStore(state.Member{Name: "eh1", DataCentre: "dc1"})
		c := &Controller{Clock: &clock.Manual{}, Store: store, Log: zap.NewNop()}
		store.Update(func(s *state.Snapshot) { s.Manifest = parseManifest(t, 2, 2, false, "b1") })
		returned := make(chan bool, 1)
		go func() { c.WaitApplied(t.Context()); returned <- true }()
		synctest.Wait()
		is.Equal(len(returned), 0) // the controller has not applied the manifest
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		<-returned
		is.True(c.Ready())
		is.Equal(len(store.Load().Servers.ByService["desk"]), 1)
		cancel()
		c.WaitApplied(ctx) // returns at once
	})
}

// TestNewHostAssumesColdServers guards against a new host that takes the servers of a cold
// fleet for warm, and against one that keeps those of a warm fleet cold, whether it lists
// the servers before or after another host says that it knows them.
func TestNewHostAssumesColdServers(t *testing.T) {
	for _, informedFirst := range []bool{false, true} {
		is := is.New(t)
		now := &clock.Manual{}
		now.Set(clock.Time(time.Hour))
		store := state.NewStore(state.Member{Name: "eh1", DataCentre: "dc1"})
		c := &Controller{Clock: now, Store: store, Log: zap.NewNop(), AssumeCold: true}
		limit := func() int {
			s := store.Load().Servers.ByName["b1"]
			return s.Load.SlowStart.Limit(now.Now(), s.Slots)
		}
		is.True(!c.Settled())
		if informedFirst {
			c.HandleInformedPeer()
		}
		store.Update(func(s *state.Snapshot) { s.Manifest = parseManifest(t, 1, 2, false, "") })
		c.apply()
		if !informedFirst {
			is.Equal(limit(), 1)
			c.HandleInformedPeer()
		}
		is.Equal(limit(), 4)
		now.Set(now.Now().Add(time.Second))
		is.True(c.Settled())
		is.True(c.KnowsServers())
	}
}
