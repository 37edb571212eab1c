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

// startFleet starts n hosts with a manifest and waits until each backend server
// is measured by one of them.
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
	is.True(ok) // each server is measured by one host
	t.Logf("settled after %v", d)
	return f
}

// settled reports whether all running hosts have the revision in force, see
// each other alive and each backend server is measured by exactly one of them.
func (f *Fleet) settled(revision uint64) bool { return f.unsettled(revision) == "" }

// unsettled returns what is missing to be settled.
func (f *Fleet) unsettled(revision uint64) string {
	servers := 0
	for _, h := range f.Hosts {
		s := h.Store.Load()
		if s.Manifest == nil || s.Manifest.File.Revision != revision || !h.Manifests.Ready() || !h.Servers.Ready() {
			return h.Name + " has another revision"
		}
		for name := range f.Hosts {
			if m := s.Members.ByName[name]; m == nil || !m.Alive {
				return h.Name + " does not see " + name
			}
		}
		servers = len(s.Servers.ByName)
	}
	measurers := f.Probers()
	for name, hosts := range measurers {
		if len(hosts) != 1 {
			return fmt.Sprint(name, " is measured by ", hosts)
		}
	}
	if len(measurers) != servers {
		return fmt.Sprint(len(measurers), " of ", servers, " servers are measured")
	}
	return ""
}

// TestFleetSettles guards against a fleet that does not reach one view.
func TestFleetSettles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, is, 16, 4)
		defer f.KillAll()
	})
}

// TestNewRevisionSpreads guards against a revision that stays on the host that
// read it when the platform fails right afterwards.
func TestNewRevisionSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, is, 16, 4)
		defer f.KillAll()
		f.Platform.SetDown(true)
		f.Network.SetFaultRule(func(string, string, string) fake.Fault { return fake.Fault{Delay: 10 * time.Millisecond} })
		time.Sleep(10 * time.Second)
		is.True(f.Hosts[Name(3)].Manifests.Apply(Manifest(2, 16, 4, 40, 4)))
		d, ok := f.Wait(3*time.Second, func() bool { return f.settled(2) })
		is.True(ok) // in force on all hosts within 3 s
		t.Logf("in force after %v", d)
	})
}

// TestPlannedStopHandsOver guards against backend servers that nobody measures
// after a planned stop, or that only the stopping host does.
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
		is.True(ok) // others measure before the host ends
		delete(f.Hosts, stopping.Name)
		stopping.Kill()
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			is.Equal(len(f.Probers()), 40)
		}
		is.True(f.settled(1))
	})
}

// TestSplitHeals guards against hosts that stay dead after a partition, and
// during it against a backend server that nobody measures or that two hosts of
// one side measure once they have found each other dead.
func TestSplitHeals(t *testing.T) {
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
			measurers := f.Probers()
			is.Equal(len(measurers), 40)
			for name, hosts := range measurers {
				sides := map[bool]int{}
				for _, h := range hosts {
					sides[side[f.Hosts[h].Address]]++
				}
				if i > 160 && (sides[true] > 1 || sides[false] > 1) {
					t.Fatalf("%s is measured by %v", name, hosts)
				}
			}
		}
		f.Network.SetFaultRule(nil)
		d, ok := f.Wait(10*time.Second, func() bool { return f.settled(1) })
		if !ok {
			t.Log(f.unsettled(1))
		}
		is.True(ok) // dead members come back
		t.Logf("healed after %v", d)
	})
}
