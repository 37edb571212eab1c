// Package fleettest runs the controllers of several entry hosts in one process, over
// fake.Network and fake.Platform, for tests and benchmarks. It assembles the
// controllers of membership, manifests, servers, heartbeats and probes, without the
// path of requests.
package fleettest

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/configservice"
	"github.com/anvilfront/anvilfront/internal/controller/heartbeats"
	"github.com/anvilfront/anvilfront/internal/controller/manifests"
	"github.com/anvilfront/anvilfront/internal/controller/measures"
	"github.com/anvilfront/anvilfront/internal/controller/members"
	"github.com/anvilfront/anvilfront/internal/controller/pause"
	"github.com/anvilfront/anvilfront/internal/controller/servers"
	"github.com/anvilfront/anvilfront/internal/fake"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
)

// Fleet is a set of entry hosts.
type Fleet struct {
	Network  *fake.Network
	Platform *fake.Platform
	Clock    clock.Clock
	Rand     *rand.Rand
	Hosts    map[string]*Host
	Seeds    []string
	// UseHostList makes the hosts read the platform's host list.
	UseHostList bool
	// Backends responds to the probes of backend servers.
	Backends Backends
	// Sockets replaces the in-memory network with TCP on loopback; nil: in memory.
	Sockets *Sockets
}

// Sockets configures connections between hosts over TCP with TLS on loopback.
type Sockets struct {
	TLS       *tls.Config
	Dial      peer.Dial
	BasePort  int    // host i listens on 127.0.0.1:BasePort+i
	Platform  string // base URL
	Transport http.RoundTripper
}

// Address returns the peer address of host i.
func (s *Sockets) Address(i int) string { return fmt.Sprintf("127.0.0.1:%d", s.BasePort+i) }

// Caller is a peer.Caller that can be closed and counts its traffic.
type Caller interface {
	peer.Caller
	Close()
	Traffic() *peer.Traffic
}

// Host holds the controllers of one entry host.
type Host struct {
	Name, Address, DataCentre string

	Store      *state.Store
	Counters   *metrics.Counters
	Members    *members.Controller
	Manifests  *manifests.Controller
	Servers    *servers.Controller
	Heartbeats *heartbeats.Controller
	Probes     *measures.Controller
	Caller     Caller
	Server     *peer.Server

	cancel context.CancelFunc
	wg     conc.WaitGroup
}

// Backends responds to probes and counts them.
type Backends struct{ ProbeCount atomic.Int64 }

// Do implements filter.Transport.
func (b *Backends) Do(context.Context, *filter.Attempt) filter.Result {
	b.ProbeCount.Add(1)
	return filter.Result{Response: &filter.Response{Status: http.StatusOK}, Load: &filter.ServerLoad{Running: 1, Slots: 4, Speed: 1}}
}

// New returns a fleet without hosts.
func New(seed uint64) *Fleet {
	return &Fleet{
		Network: fake.NewNetwork(), Platform: fake.NewPlatform(), Clock: clock.NewMonotonic(),
		Rand: rand.New(rand.NewPCG(seed, seed)), Hosts: map[string]*Host{},
	}
}

// Name returns the name of host i.
func Name(i int) string { return fmt.Sprintf("eh%02d", i) }

// Address returns the peer address of host i.
func Address(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i) }

// DataCentreOf returns the data centre of host i; hosts are assigned round-robin.
func DataCentreOf(i, dataCentres int) string { return fmt.Sprintf("dc%d", i%dataCentres) }

// Start starts host i. It replaces an earlier host of the same name.
func (f *Fleet) Start(i, dataCentres int) *Host {
	h := &Host{
		Name: Name(i), Address: Address(i), DataCentre: DataCentreOf(i, dataCentres),
		Counters: metrics.New(),
	}
	if f.Sockets != nil {
		h.Address = f.Sockets.Address(i)
	}
	h.Store = state.NewStore(state.Member{Name: h.Name, Address: h.Address, DataCentre: h.DataCentre, Incarnation: f.Rand.Uint64() | 1, Alive: true})
	f.connect(h)
	f.assemble(h)
	f.Hosts[h.Name] = h
	f.run(h)
	return h
}

// connect creates the peer client and the peer server of the host.
func (f *Fleet) connect(h *Host) {
	if f.Sockets == nil {
		h.Caller = f.Network.Caller(h.Address)
		h.Server = peer.NewServer(f.Network.Listen(h.Address))
		return
	}
	l, err := net.Listen("tcp", h.Address)
	if err != nil {
		panic(err)
	}
	h.Caller = peer.NewClient(f.Sockets.Dial)
	h.Server = peer.NewServerWithConfig(l, peer.ServerConfig{TLS: f.Sockets.TLS})
}

func (f *Fleet) platformClient(h *Host) *configservice.Client {
	if f.Sockets == nil {
		return configservice.New([]string{"http://platform"}, f.Platform, h.Counters)
	}
	return configservice.New([]string{f.Sockets.Platform}, f.Sockets.Transport, h.Counters)
}

func (f *Fleet) newRand() *rand.Rand { return rand.New(rand.NewPCG(f.Rand.Uint64(), f.Rand.Uint64())) }

// assemble creates the controllers of the host and registers their RPC services.
func (f *Fleet) assemble(h *Host) {
	log := zap.NewNop()
	platformClient := f.platformClient(h)
	membersConfig := members.Config{
		Clock: f.Clock, Store: h.Store, Caller: h.Caller, Counters: h.Counters, Log: log, Rand: f.newRand(), Seeds: f.Seeds,
	}
	if f.UseHostList {
		membersConfig.Hosts = members.PlatformHosts(platformClient)
	}
	h.Members = members.New(membersConfig)
	h.Manifests = manifests.New(manifests.Config{
		Clock: f.Clock, Store: h.Store, Caller: h.Caller, Platform: platformClient, Header: h.Members.Header,
		Counters: h.Counters, Log: log, Rand: f.newRand(), Seeds: f.Seeds,
	})
	h.Members.OnRevision(h.Manifests.HandlePeerRevision)
	h.Servers = &servers.Controller{Clock: f.Clock, Store: h.Store, Log: log}
	h.Heartbeats = heartbeats.New(heartbeats.Config{
		Clock: f.Clock, Store: h.Store, Caller: h.Caller, Header: h.Members.Header, Counters: h.Counters, Log: log, Rand: f.newRand(),
	})
	h.Probes = measures.New(measures.Config{
		Clock: f.Clock, Store: h.Store, Transport: &f.Backends, Mesh: h.Heartbeats, Counters: h.Counters, Log: log,
	})
	h.Heartbeats.SetHandler(h.Probes)
	for _, register := range []func(*peer.Server) error{h.Members.Register, h.Manifests.Register, h.Heartbeats.Register} {
		if err := register(h.Server); err != nil {
			panic(err)
		}
	}
}

// run starts the goroutines of the host.
func (f *Fleet) run(h *Host) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	pauseDetector := &pause.Detector{Clock: f.Clock, Store: h.Store, Resync: h.Manifests.Resync, Counters: h.Counters, Log: zap.NewNop()}
	h.wg.Go(h.Server.Serve)
	h.wg.Go(func() { pauseDetector.Run(ctx) })
	h.wg.Go(func() { h.Members.Run(ctx) })
	h.wg.Go(func() {
		h.Manifests.InitialSync(ctx)
		h.Manifests.Run(ctx)
	})
	h.wg.Go(func() { h.Servers.Run(ctx) })
	h.wg.Go(func() { h.Heartbeats.Run(ctx) })
	h.wg.Go(func() { h.Probes.Run(ctx) })
}

// Stop performs a planned stop of the host.
func (h *Host) Stop(ctx context.Context) {
	h.Members.Leave(ctx)
	h.Kill()
}

// Kill stops the host without announcing it to the others.
func (h *Host) Kill() {
	h.cancel()
	h.Server.Close()
	h.Caller.Close()
	h.wg.Wait()
}

// KillAll kills all hosts.
func (f *Fleet) KillAll() {
	for _, h := range f.Hosts {
		h.Kill()
	}
}

// ProbesPerSecond is the probe budget of each service in the manifest.
const ProbesPerSecond = 20

// Manifest returns a manifest with the given revision and the given numbers of entry
// hosts, data centres, backend servers and services.
func Manifest(revision, hosts, dataCentres, servers, services int) []byte {
	return ManifestAt(Address, revision, hosts, dataCentres, servers, services)
}

// ManifestAt is like Manifest, with the peer addresses that address returns.
func ManifestAt(address func(i int) string, revision, hosts, dataCentres, servers, services int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "revision = %d\n", revision)
	for i := range dataCentres {
		fmt.Fprintf(&b, "[[data_centres]]\nname = %q\nregion = \"r1\"\n", DataCentreOf(i, dataCentres))
	}
	for i := range hosts {
		fmt.Fprintf(&b, "[[entry_hosts]]\nname = %q\naddress = %q\ndata_centre = %q\n", Name(i), address(i), DataCentreOf(i, dataCentres))
	}
	for s := range services {
		fmt.Fprintf(&b, "[[services]]\nname = \"service%d\"\nprobes_per_second = %d.0\n", s, ProbesPerSecond)
		for i := s; i < servers; i += services {
			fmt.Fprintf(&b, "[[services.backend_servers]]\nname = \"b%d\"\naddress = %q\ndata_centre = %q\nslots = 4\n",
				i, net.JoinHostPort(fmt.Sprintf("10.1.%d.%d", i/250, i%250+1), "80"), DataCentreOf(i/services, dataCentres))
		}
	}
	return []byte(b.String())
}

// Probers returns the names of the hosts that probe each backend server, by server name.
func (f *Fleet) Probers() map[string][]string {
	out := map[string][]string{}
	for name, h := range f.Hosts {
		snapshot := h.Store.Load()
		view := h.Heartbeats.View()
		for server, s := range snapshot.Servers.ByName {
			if s.Local && view.IsShardOwner(measures.TaskName(server)) {
				out[server] = append(out[server], name)
			}
		}
	}
	return out
}

// Wait checks the condition every 50 ms for up to d. It returns the time until the
// condition held and whether it did.
func (f *Fleet) Wait(d time.Duration, condition func() bool) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < d {
		if condition() {
			return time.Since(start), true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start), condition()
}

var _ peer.Gossip = (*members.Controller)(nil)
