// Package fleettest runs the control part of several entry hosts in one
// process, over fake.Network and fake.Platform, for tests and measurements.
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
	// UseHosts makes the hosts read the platform's host list.
	UseHostList bool
	// Backends are the backend servers, as far as measuring goes.
	Backends Backends
	// Sockets replaces the in-memory network by TCP on loopback; nil: in memory.
	Sockets *Sockets
}

// Sockets connects hosts over TCP with TLS on loopback.
type Sockets struct {
	TLS       *tls.Config
	Dial      peer.Dial
	BasePort  int    // host i listens on 127.0.0.1:BasePort+i
	Platform  string // base URL
	Transport http.RoundTripper
}

// Address returns the peer address of host i.
func (s *Sockets) Address(i int) string { return fmt.Sprintf("127.0.0.1:%d", s.BasePort+i) }

// Caller is a peer.Caller that can be closed and that counts.
type Caller interface {
	peer.Caller
	Close()
	Traffic() *peer.Traffic
}

// Host is the control part of one entry host.
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

// Backends answers measurements and counts them.
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

// Centre returns the data centre of host i, in turn.
func DataCentreOf(i, centres int) string { return fmt.Sprintf("dc%d", i%centres) }

// Start starts host i. A host of the same name that runs is a replaced one.
func (f *Fleet) Start(i, centres int) *Host {
	h := &Host{
		Name: Name(i), Address: Address(i), DataCentre: DataCentreOf(i, centres),
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

func (f *Fleet) service(h *Host) *configservice.Client {
	if f.Sockets == nil {
		return configservice.New([]string{"http://platform"}, f.Platform, h.Counters)
	}
	return configservice.New([]string{f.Sockets.Platform}, f.Sockets.Transport, h.Counters)
}

func (f *Fleet) newRand() *rand.Rand { return rand.New(rand.NewPCG(f.Rand.Uint64(), f.Rand.Uint64())) }

func (f *Fleet) assemble(h *Host) {
	log := zap.NewNop()
	service := f.service(h)
	mc := members.Config{
		Clock: f.Clock, Store: h.Store, Caller: h.Caller, Counters: h.Counters, Log: log, Rand: f.newRand(), Seeds: f.Seeds,
	}
	if f.UseHostList {
		mc.Hosts = members.PlatformHosts(service)
	}
	h.Members = members.New(mc)
	h.Manifests = manifests.New(manifests.Config{
		Clock: f.Clock, Store: h.Store, Caller: h.Caller, Platform: service, Header: h.Members.Header,
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

func (f *Fleet) run(h *Host) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	guard := &pause.Detector{Clock: f.Clock, Store: h.Store, Resync: h.Manifests.Resync, Counters: h.Counters, Log: zap.NewNop()}
	h.wg.Go(h.Server.Serve)
	h.wg.Go(func() { guard.Run(ctx) })
	h.wg.Go(func() { h.Members.Run(ctx) })
	h.wg.Go(func() {
		h.Manifests.InitialSync(ctx)
		h.Manifests.Run(ctx)
	})
	h.wg.Go(func() { h.Servers.Run(ctx) })
	h.wg.Go(func() { h.Heartbeats.Run(ctx) })
	h.wg.Go(func() { h.Probes.Run(ctx) })
}

// Stop stops the host as planned.
func (h *Host) Stop(ctx context.Context) {
	h.Members.Leave(ctx)
	h.Kill()
}

// Kill ends the host without telling anyone.
func (h *Host) Kill() {
	h.cancel()
	h.Server.Close()
	h.Caller.Close()
	h.wg.Wait()
}

// StopAll kills all hosts.
func (f *Fleet) KillAll() {
	for _, h := range f.Hosts {
		h.Kill()
	}
}

// ProbesPerSecond is the measuring budget of each service in the manifest.
const ProbesPerSecond = 20

// Manifest returns the bytes of a manifest with the given numbers.
func Manifest(revision, hosts, centres, servers, services int) []byte {
	return ManifestAt(Address, revision, hosts, centres, servers, services)
}

// ManifestAt is Manifest with the peer addresses given.
func ManifestAt(address func(i int) string, revision, hosts, centres, servers, services int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "revision = %d\n", revision)
	for i := range centres {
		fmt.Fprintf(&b, "[[data_centres]]\nname = %q\nregion = \"r1\"\n", DataCentreOf(i, centres))
	}
	for i := range hosts {
		fmt.Fprintf(&b, "[[entry_hosts]]\nname = %q\naddress = %q\ndata_centre = %q\n", Name(i), address(i), DataCentreOf(i, centres))
	}
	for s := range services {
		fmt.Fprintf(&b, "[[services]]\nname = \"service%d\"\nprobes_per_second = %d.0\n", s, ProbesPerSecond)
		for i := s; i < servers; i += services {
			fmt.Fprintf(&b, "[[services.backend_servers]]\nname = \"b%d\"\naddress = %q\ndata_centre = %q\nslots = 4\n",
				i, net.JoinHostPort(fmt.Sprintf("10.1.%d.%d", i/250, i%250+1), "80"), DataCentreOf(i/services, centres))
		}
	}
	return []byte(b.String())
}

// Measurers returns which hosts measure each backend server, by its name.
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

// Wait checks the condition every 50 ms for up to d and reports whether it
// came true, and after how long.
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
