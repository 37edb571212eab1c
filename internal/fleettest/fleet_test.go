package fleettest

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/fake"
)

// startFleet starts n hosts with a manifest and waits until each backend server is
// probed by exactly one of them.
func startFleet(t *testing.T, is *is.I, n, dataCentres int) *Fleet {
	t.Helper()
	f := New(uint64(n))
	t.Logf("seed %d", n)
	f.Platform.Publish(1, Manifest(1, n, dataCentres, 40, 4))
	f.Seeds = []string{Address(0), Address(1)}
	for i := range n {
		f.Start(i, dataCentres)
	}
	d, ok := f.Wait(15*time.Second, func() bool { return f.converged(1) })
	is.True(ok) // each server is probed by one host
	t.Logf("converged after %v", d)
	return f
}

// converged reports whether all running hosts have applied the revision and have marked
// all others as alive, and whether each backend server is probed by exactly one of them.
func (f *Fleet) converged(revision uint64) bool { return f.notConvergedReason(revision) == "" }

// notConvergedReason returns why the fleet has not converged, or an empty string.
func (f *Fleet) notConvergedReason(revision uint64) string {
	servers := 0
	for _, h := range f.Hosts {
		s := h.Store.Load()
		if s.Manifest == nil || s.Manifest.File.Revision != revision || !h.Manifests.Ready() || !h.Servers.Ready() {
			return h.Name + " is not ready or has another revision"
		}
		for name := range f.Hosts {
			if m := s.Members.ByName[name]; m == nil || !m.Alive {
				return h.Name + " does not list as alive: " + name
			}
		}
		servers = len(s.Servers.ByName)
	}
	probers := f.Probers()
	for name, hosts := range probers {
		if len(hosts) != 1 {
			return fmt.Sprint(name, " is probed by ", hosts)
		}
	}
	if len(probers) != servers {
		return fmt.Sprint(len(probers), " of ", servers, " servers are probed")
	}
	return ""
}

// TestFleetConverges guards against a fleet whose hosts do not reach the same state.
func TestFleetConverges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, is, 16, 4)
		defer f.KillAll()
	})
}

// TestNewRevisionSpreads guards against a revision that does not reach the other hosts
// if the platform fails right after one host has read it.
func TestNewRevisionSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, is, 16, 4)
		defer f.KillAll()
		f.Platform.SetDown(true)
		f.Network.SetFaultRule(func(string, string, string) fake.Fault { return fake.Fault{Delay: 10 * time.Millisecond} })
		time.Sleep(10 * time.Second)
		is.True(f.Hosts[Name(3)].Manifests.Apply(Manifest(2, 16, 4, 40, 4)))
		d, ok := f.Wait(3*time.Second, func() bool { return f.converged(2) })
		is.True(ok) // applied on all hosts within 3 s
		t.Logf("in effect after %v", d)
	})
}

// TestPlannedStopHandsOver guards against backend servers that no host probes after a
// planned stop, or that only the stopping host probes.
func TestPlannedStopHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, is, 12, 4)
		defer f.KillAll()
		var stopping *Host
		for _, names := range f.Probers() {
			stopping = f.Hosts[names[0]]
		}
		stopping.Members.Leave(context.Background())
		_, ok := f.Wait(3*time.Second, func() bool {
			others := 0
			for _, names := range f.Probers() {
				names = slices.DeleteFunc(names, func(n string) bool { return n == stopping.Name })
				if len(names) > 1 {
					return false
				}
				others += len(names)
			}
			return others == 40
		})
		is.True(ok) // others probe before the host stops
		delete(f.Hosts, stopping.Name)
		stopping.Kill()
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			is.Equal(len(f.Probers()), 40)
		}
		is.True(f.converged(1))
	})
}

// TestPartitionHeals guards against hosts that stay marked as failed after a partition,
// and during it against backend servers that no host probes, or that two hosts of the
// same side still probe once each side has marked the other as failed.
func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, is, 12, 4)
		defer f.KillAll()
		side := map[string]bool{}
		for i := range 5 {
			side[Address(i)] = true
		}
		f.Network.SetFaultRule(func(from, to, _ string) fake.Fault { return fake.Fault{Drop: side[from] != side[to]} })
		for i := range 200 {
			time.Sleep(50 * time.Millisecond)
			probers := f.Probers()
			is.Equal(len(probers), 40)
			for name, hosts := range probers {
				sides := map[bool]int{}
				for _, h := range hosts {
					sides[side[f.Hosts[h].Address]]++
				}
				if i > 160 && (sides[true] > 1 || sides[false] > 1) {
					t.Fatalf("%s is probed by %v", name, hosts)
				}
			}
		}
		f.Network.SetFaultRule(nil)
		d, ok := f.Wait(10*time.Second, func() bool { return f.converged(1) })
		if !ok {
			t.Log(f.notConvergedReason(1))
		}
		is.True(ok) // members marked as failed are alive again
		t.Logf("healed after %v", d)
	})
}
