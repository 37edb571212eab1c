package fleettest

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/configservice"
	"github.com/anvilfront/anvilfront/internal/fake"
)

// revisionApplied reports whether the manifest revision is applied on every host.
func (f *Fleet) revisionApplied(revision uint64) bool {
	for _, h := range f.Hosts {
		if m := h.Store.Load().Manifest; m == nil || m.File.Revision != revision {
			return false
		}
	}
	return true
}

// TestLostAndLateMessages guards against backend servers that no host probes, probes
// beyond the budget, and hosts that stay marked as failed, in a network that loses
// requests, loses replies and delays requests.
func TestLostAndLateMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, is, 9, 3)
		defer f.KillAll()
		f.Network.SetFaultRule(func(string, string, string) fake.Fault {
			switch n := rand.IntN(100); {
			case n < 10:
				return fake.Fault{Drop: true}
			case n < 20:
				return fake.Fault{DropReply: true}
			case n < 30:
				return fake.Fault{Delay: time.Duration(rand.IntN(4000)) * time.Millisecond}
			}
			return fake.Fault{}
		})
		before := f.Backends.ProbeCount.Load()
		for range 600 {
			time.Sleep(50 * time.Millisecond)
			is.Equal(len(f.Probers()), 40)
		}
		n := f.Backends.ProbeCount.Load() - before
		t.Logf("%d probes in 30 s", n)
		is.True(n <= 30*4*ProbesPerSecond) // four services
		f.Network.SetFaultRule(nil)
		_, ok := f.Wait(20*time.Second, func() bool { return f.converged(1) })
		is.True(ok)
	})
}

// TestReplacedHost guards against a restarted host that the others mistake for its
// previous incarnation, and against backend servers that are no longer probed after
// the restart.
func TestReplacedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, is, 9, 3)
		defer f.KillAll()
		old := f.Hosts[Name(4)]
		before := old.Store.Load().Members.Self.Incarnation
		old.Kill()
		time.Sleep(500 * time.Millisecond)
		h := f.Start(4, 3)
		d, ok := f.Wait(10*time.Second, func() bool {
			for _, other := range f.Hosts {
				if other.Store.Load().Members.ByName[Name(4)].Incarnation == before {
					return false
				}
			}
			return f.converged(1)
		})
		is.True(ok)
		is.True(h.Manifests.Ready())
		t.Logf("converged after %v", d)
	})
}

// TestFailedHost guards against backend servers that no host probes after the host
// that probed them has failed.
func TestFailedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, is, 16, 4)
		defer f.KillAll()
		f.Hosts[Name(6)].Kill()
		delete(f.Hosts, Name(6))
		d, ok := f.Wait(8*time.Second, func() bool {
			for _, h := range f.Hosts {
				if h.Store.Load().Members.ByName[Name(6)].Alive {
					return false
				}
			}
			return f.converged(1)
		})
		is.True(ok)
		t.Logf("marked as failed on all hosts and its probes taken over after %v", d)
	})
}

// TestDifferingHostLists guards against more probes than the budget while some hosts
// have an outdated host list of the platform, and against host lists that do not
// converge.
func TestDifferingHostLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New(5)
		f.UseHostList = true
		f.Seeds = []string{Address(0)}
		f.Platform.Publish(1, Manifest(1, 0, 1, 8, 2))
		var list []configservice.Host
		for i := range 6 {
			list = append(list, configservice.Host{Name: Name(i), Address: Address(i), DataCentre: DataCentreOf(0, 1), State: "live"})
			f.Platform.SetHosts(list)
			f.Start(i, 1)
			before := f.Backends.ProbeCount.Load()
			time.Sleep(3 * time.Second)
			n := f.Backends.ProbeCount.Load() - before
			is.True(n <= 3*2*ProbesPerSecond+8) // two services; each of the 8 servers may have one probe saved up
		}
		defer f.KillAll()
		_, ok := f.Wait(30*time.Second, func() bool {
			for _, h := range f.Hosts {
				if len(h.Store.Load().Members.Listed) != 6 {
					return false
				}
			}
			return f.converged(1)
		})
		is.True(ok) // the host lists have converged
	})
}

// TestSingleHost guards against a single entry host that waits for other hosts, which
// are down or unknown, before it applies the manifest and probes its backend servers.
func TestSingleHost(t *testing.T) {
	for _, c := range []struct {
		name      string
		configure func(f *Fleet)
		listed    int
	}{
		{"single host", func(*Fleet) {}, 1},
		{"single host with a host list", func(f *Fleet) { f.UseHostList = true }, 1},
		{"configured peer", func(f *Fleet) { f.Seeds = []string{Address(1)} }, 1},
		{"listed peer that is down", func(*Fleet) {}, 2},
		{"host list unavailable", func(f *Fleet) { f.UseHostList = true; f.Platform.SetDown(true) }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := New(1)
				c.configure(f)
				h := f.Start(0, c.listed) // two data centres if two hosts are listed
				defer f.KillAll()
				h.Manifests.Apply(Manifest(1, c.listed, c.listed, 4, 1))
				d, ok := f.Wait(4*time.Second, func() bool { return h.Servers.Ready() && len(f.Probers()) == 4/c.listed })
				is.True(ok && d <= 100*time.Millisecond)
			})
		})
	}
}

// TestPlatformFaults guards against applying an older manifest, a different manifest of
// the same revision or an invalid manifest, and against reading a faulty platform in a
// tight loop.
func TestPlatformFaults(t *testing.T) {
	changed := append(Manifest(7, 8, 4, 40, 4), "# other bytes\n"...)
	for _, c := range []struct {
		name    string
		fault   func(p *fake.Platform)
		counter string
	}{
		{"older revision", func(p *fake.Platform) { p.SetStale(Manifest(3, 8, 4, 40, 4)) }, "manifests_outdated"},
		{"same revision, different bytes", func(p *fake.Platform) { p.SetStale(changed) }, "manifests_conflicts"},
		{"refused manifest", func(p *fake.Platform) { p.Publish(8, []byte("revision = 8\nunknown = 1\n")) }, "manifests_refused"},
		{"binary data", func(p *fake.Platform) { p.SetStale([]byte{0, 1, 2}) }, "manifests_refused"},
		{"down", func(p *fake.Platform) { p.SetDown(true) }, "platform_failures"},
		{"slow", func(p *fake.Platform) { p.SetDelay(time.Minute) }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := startFleet(t, is, 8, 4)
				defer f.KillAll()
				f.Platform.Publish(7, Manifest(7, 8, 4, 40, 4))
				_, ok := f.Wait(3*time.Second, func() bool { return f.revisionApplied(7) })
				is.True(ok)
				calls := f.Platform.Calls()
				c.fault(f.Platform)
				time.Sleep(time.Minute)
				is.True(f.revisionApplied(7)) // never reverted
				counted := int64(0)
				for _, h := range f.Hosts {
					if c.counter != "" {
						counted += h.Counters.Int(c.counter).Value()
					}
				}
				is.True(c.counter == "" || counted > 0)
				rate := float64(f.Platform.Calls()-calls) / 60
				t.Logf("%.1f calls a second by 8 hosts", rate)
				is.True(rate < 8)
				f.Platform.SetStale(nil)
				f.Platform.SetDown(false)
				f.Platform.SetDelay(0)
				f.Platform.Publish(9, Manifest(9, 8, 4, 40, 4))
				d, ok := f.Wait(20*time.Second, func() bool { return f.revisionApplied(9) })
				is.True(ok) // the hosts apply new revisions again
				t.Logf("new revision in effect after %v", d)
			})
		})
	}
}

// TestRestartWithoutPlatform guards against a host that restarts while the platform is
// down and then serves with an older manifest than its peers.
func TestRestartWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, is, 8, 4)
		defer f.KillAll()
		f.Platform.SetDown(true)
		f.Hosts[Name(2)].Kill()
		// Only host 5 has the newest revision.
		f.Network.SetFaultRule(func(from, _, method string) fake.Fault {
			return fake.Fault{Drop: method == "Manifest.Fetch" && from != Address(2)}
		})
		f.Hosts[Name(5)].Manifests.Apply(Manifest(2, 8, 4, 40, 4))
		h := f.Start(2, 4)
		for !h.Manifests.Ready() {
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(h.Store.Load().Manifest.File.Revision, uint64(2))
	})
}

// TestPlatformLoad guards against a read rate that approaches the platform's limit of
// 2,000 calls a second.
func TestPlatformLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, is, 32, 4)
		defer f.KillAll()
		calls := f.Platform.Calls()
		for i := range 10 {
			time.Sleep(6 * time.Second)
			revision := i + 2
			f.Platform.Publish(uint64(revision), Manifest(revision, 32, 4, 40, 4))
			d, ok := f.Wait(3*time.Second, func() bool { return f.revisionApplied(uint64(revision)) })
			is.True(ok)
			t.Logf("revision %d in effect after %v", revision, d)
		}
		summary := fmt.Sprintf("%.1f calls a second, %d watches", float64(f.Platform.Calls()-calls)/60, f.Platform.PendingWatches())
		t.Log(summary)
		is.True(f.Platform.PendingWatches() <= 8)
		is.True(f.Platform.Calls()-calls < 60*10)
	})
}
