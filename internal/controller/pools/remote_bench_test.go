package pools

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"runtime/pprof"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anvilfront/anvilfront/internal/fake"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
)

// BenchmarkRemoteGrant measures a grant from the holder of a pool over a real
// connection, with the release of its slot. cpu-us/op is the processor time of
// both ends; a profile (-cpuprofile, pprof -tags) tells them apart by "end".
// Bytes are those below TLS without TCP and IP headers.
func BenchmarkRemoteGrant(b *testing.B) {
	secure, err := fake.PeerTLS(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	for name, config := range map[string]*tls.Config{"plain": nil, "tls": secure} {
		for _, callers := range []int{1, 8, 32} {
			b.Run(fmt.Sprintf("%s/callers=%d", name, callers), func(b *testing.B) { remoteGrant(b, config, callers) })
		}
	}
}

func remoteGrant(b *testing.B, config *tls.Config, callers int) {
	holder := benchHost(b)
	defer holder.stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := peer.NewServerConfig(l, peer.ServerConfig{TLS: config})
	if err := holder.Register(server); err != nil {
		b.Fatal(err)
	}
	go pprof.Do(context.Background(), pprof.Labels("end", "holder"), func(context.Context) { server.Serve() })
	defer server.Close()
	wire := &fake.Wire{}
	client := peer.NewClient(wire.Dial(config))
	defer client.Close()
	asker := newHostCaller(b, "eh2", client)
	defer asker.stop()
	asker.accept(holder.store.Load().Manifest)
	asker.knowAt("eh1", l.Addr().String())
	pool := asker.store.Load().Manifest.Pools[poolID]
	for range 100 { // gob types are sent, the connection is open
		if g, err := asker.Acquire(context.Background(), pool, ask); err == nil {
			asker.Release(g, ran)
		}
	}
	time.Sleep(20 * time.Millisecond) // the last Pool.Done
	sent, received, writes, cpu := wire.Sent.Load(), wire.Received.Load(), wire.Writes.Load(), fake.ProcessorTime()
	b.ReportAllocs()
	b.ResetTimer()
	var wg sync.WaitGroup
	var refused atomic.Int64 // while released slots are on their way
	for i := range callers {
		wg.Go(func() {
			pprof.Do(context.Background(), pprof.Labels("end", "asker"), func(ctx context.Context) {
				for range (b.N + callers - 1 - i) / callers {
					g, err := asker.Acquire(ctx, pool, ask)
					if err != nil {
						refused.Add(1)
						continue
					}
					asker.Release(g, ran)
				}
			})
		})
	}
	wg.Wait()
	b.StopTimer()
	n := float64(b.N)
	b.ReportMetric(float64((fake.ProcessorTime()-cpu).Nanoseconds())/1000/n, "cpu-us/op")
	b.ReportMetric(float64(wire.Sent.Load()-sent)/n, "asker-B/op")
	b.ReportMetric(float64(wire.Received.Load()-received)/n, "holder-B/op")
	b.ReportMetric(float64(wire.Writes.Load()-writes)/n, "asker-messages/op")
	b.ReportMetric(n/b.Elapsed().Seconds(), "grants/s")
	b.ReportMetric(float64(refused.Load()), "refused")
}

// knowAt tells this host of a holder at an address, and waits for its sender.
func (h *host) knowAt(holder, address string) {
	h.know(holder)
	h.store.Update(func(s *state.Snapshot) {
		members := *s.Members
		members.ByName = map[string]*state.Member{members.Self.Name: &members.Self, holder: {Name: holder, Address: address, Alive: true}}
		s.Members = &members
	})
	for len(*h.senders.Load()) == 0 {
		time.Sleep(time.Millisecond)
	}
}

// sizes are the numbers of backend servers, services and data centres at which
// slopes are measured.
var sizes = []struct{ servers, services, centres int }{{35, 2, 4}, {140, 8, 4}, {550, 28, 7}}

// fleetManifest returns a manifest with entry hosts eh0 and up.
func fleetManifest(b *testing.B, servers, services, centres, hosts int) *manifest.Manifest {
	var t strings.Builder
	t.WriteString("revision = 1\n")
	for i := range centres {
		fmt.Fprintf(&t, "[[data_centres]]\nname = \"dc%d\"\nregion = \"r%d\"\n", i, i%2)
	}
	for i := range hosts {
		fmt.Fprintf(&t, "[[entry_hosts]]\nname = \"eh%d\"\naddress = \"10.0.0.%d:7000\"\ndata_centre = \"dc%d\"\n", i, i+1, i%centres)
	}
	for s := range services {
		fmt.Fprintf(&t, "[[services]]\nname = \"service%d\"\n", s)
		for i := s; i < servers; i += services {
			fmt.Fprintf(&t, "[[services.backend_servers]]\nname = \"b%d\"\naddress = \"10.1.%d.%d:80\"\ndata_centre = \"dc%d\"\nslots = 4\n",
				i, i/250, i%250+1, i/services%centres)
		}
	}
	m, err := manifest.Parse([]byte(t.String()))
	if err != nil {
		b.Fatal(err)
	}
	return m
}

// BenchmarkManifestChange measures what this controller does for one accepted
// manifest: the reduced limits of all servers over all entry hosts.
func BenchmarkManifestChange(b *testing.B) {
	for _, size := range sizes {
		for _, hosts := range []int{16, 64, 128} {
			b.Run(fmt.Sprintf("servers=%d/hosts=%d", size.servers, hosts), func(b *testing.B) {
				m := fleetManifest(b, size.servers, size.services, size.centres, hosts)
				members := &state.Members{Self: state.Member{Name: "eh0"}}
				for i := range hosts {
					members.Listed = append(members.Listed, fmt.Sprintf("eh%d", i))
				}
				c := New(Config{})
				b.ReportAllocs()
				for b.Loop() {
					c.buildReduced(m, members)
				}
			})
		}
	}
}

// BenchmarkMemory measures the live memory of the controller of one host that
// knows all pools and holds every tenth of them, or all.
func BenchmarkMemory(b *testing.B) {
	for _, size := range sizes {
		for _, every := range []int{10, 1} {
			b.Run(fmt.Sprintf("servers=%d/held=1:%d", size.servers, every), func(b *testing.B) {
				for range b.N {
					m := fleetManifest(b, size.servers, size.services, size.centres, 64)
					before := fake.LiveBytes()
					h := newHost(b, "eh0", nil, nil)
					h.accept(m)
					held, i := map[manifest.PoolID]*state.HeldLease{}, 0
					for id := range m.Pools {
						if i%every == 0 {
							held[id] = &state.HeldLease{Pool: id}
							held[id].Until.Store(1 << 62)
						}
						i++
					}
					h.store.Update(func(s *state.Snapshot) { s.Leases = &state.Leases{Held: held, Holders: map[manifest.PoolID]string{}} })
					for len(*h.holders.Load()) < len(held) {
						time.Sleep(time.Millisecond)
					}
					time.Sleep(200 * time.Millisecond)
					b.ReportMetric(float64(fake.LiveBytes()-before)/1024, "KiB")
					b.ReportMetric(float64(len(held)), "pools-held")
					b.ReportMetric(float64(len(m.Pools)), "pools")
					h.stop()
				}
			})
		}
	}
}
