package fleettest

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/fake"
)

// startFleet starts n hosts with a manifest and waits until each pool has one
// holder.
func startFleet(t *testing.T, is *is.I, n, centres int) *Fleet {
	t.Helper()
	f := New(uint64(n))
	t.Logf("seed %d", n)
	f.Platform.Publish(1, Manifest(1, n, centres, 40, 4))
	f.Seeds = []string{Address(0), Address(1)}
	for i := range n {
		f.Start(i, centres)
	}
	d, ok := f.Wait(15*time.Second, func() bool { return f.settled(1) })
	is.True(ok) // each pool has one holder
	t.Logf("settled after %v", d)
	return f
}

// settled reports whether all running hosts have the revision in force, see
// each other alive and each pool has exactly one holder.
func (f *Fleet) settled(revision uint64) bool { return f.unsettled(revision) == "" }

// unsettled returns what is missing to be settled.
func (f *Fleet) unsettled(revision uint64) string {
	pools := 0
	for _, h := range f.Hosts {
		s := h.Store.Load()
		if s.Manifest == nil || s.Manifest.File.Revision != revision || !h.Manifests.Ready() {
			return h.Name + " has another revision"
		}
		for name := range f.Hosts {
			if m := s.Members.ByName[name]; m == nil || !m.Alive {
				return h.Name + " does not see " + name
			}
		}
		pools = len(s.Manifest.Pools)
	}
	holders := f.Holders()
	for id, names := range holders {
		if len(names) != 1 {
			return fmt.Sprint(id, " has holders ", names)
		}
	}
	if len(holders) != pools {
		return fmt.Sprint(len(holders), " of ", pools, " pools have a holder")
	}
	return ""
}

// TestFleetSettles guards against a fleet that does not reach one view.
func TestFleetSettles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, is, 16, 4)
		defer f.StopAll()
	})
}

// TestNewRevisionSpreads guards against a revision that stays on the host that
// read it when the platform fails right afterwards.
func TestNewRevisionSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, is, 16, 4)
		defer f.StopAll()
		f.Platform.SetDown(true)
		f.Network.SetRule(func(string, string, string) fake.Fault { return fake.Fault{Delay: 10 * time.Millisecond} })
		time.Sleep(10 * time.Second)
		is.True(f.Hosts[Name(3)].Manifests.Offer(Manifest(2, 16, 4, 40, 4)))
		d, ok := f.Wait(3*time.Second, func() bool { return f.settled(2) })
		is.True(ok) // in force on all hosts within 3 s
		t.Logf("in force after %v", d)
	})
}

// TestPlannedStopHandsOver guards against a planned stop that loses in-flight
// counts or leaves pools without a holder for a term.
func TestPlannedStopHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, is, 12, 4)
		defer f.StopAll()
		var stopping *Host
		for _, names := range f.Holders() {
			stopping = f.Hosts[names[0]]
		}
		old := stopping.Store.Load().Leases.Held // as a request in flight sees it
		held := len(old)
		is.True(held > 0)
		delete(f.Hosts, stopping.Name)
		stopping.Stop(context.Background())
		adopted := 0
		for _, h := range f.Hosts {
			adopted += len(h.Handover.Adopted)
		}
		is.Equal(adopted, held)
		for _, l := range old {
			is.True(!l.Valid(f.Clock.Now())) // also for requests with an older snapshot
		}
		d, ok := f.Wait(time.Second, func() bool { return f.settled(1) })
		is.True(ok) // new holders well before a term ends
		t.Logf("handed over %d pools after %v", held, d)
	})
}

// TestSplitHeals guards against hosts that stay dead after a partition, and
// against a second holder during it.
func TestSplitHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, is, 12, 4)
		defer f.StopAll()
		side := map[string]bool{}
		for i := range 5 {
			side[Address(i)] = true
		}
		f.Network.SetRule(func(from, to, _ string) fake.Fault { return fake.Fault{Drop: side[from] != side[to]} })
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			for _, names := range f.Holders() {
				is.True(len(names) <= 1) // one holder per pool during the split
			}
		}
		f.Network.SetRule(nil)
		d, ok := f.Wait(10*time.Second, func() bool { return f.settled(1) })
		if !ok {
			t.Log(f.unsettled(1))
		}
		is.True(ok) // dead members come back
		t.Logf("healed after %v", d)
	})
}
