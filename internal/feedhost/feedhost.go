// Package feedhost assembles an entry host whose configuration and backend
// servers are published by a platform. An adapter brings what is particular to
// the platform: the source of the feed, its decoder, and the dialects towards
// callers and backend servers.
package feedhost

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/backend"
	"github.com/anvilfront/anvilfront/internal/callers"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/controller/crashes"
	"github.com/anvilfront/anvilfront/internal/controller/feeds"
	"github.com/anvilfront/anvilfront/internal/controller/latencies"
	"github.com/anvilfront/anvilfront/internal/controller/measures"
	"github.com/anvilfront/anvilfront/internal/controller/mesh"
	"github.com/anvilfront/anvilfront/internal/controller/pause"
	"github.com/anvilfront/anvilfront/internal/feed"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/operator"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/settings"
	"github.com/anvilfront/anvilfront/internal/state"
)

const (
	// maxBodyBytes bounds bodies, which are held in memory until they are sent.
	maxBodyBytes = 8 << 20
	// maxHeldBytes bounds the bodies of all requests in memory: a third of what the
	// smallest hosts (184 MB) have, since each is copied once on its way.
	maxHeldBytes = 32 << 20
	// maxCallers bounds callers' connections; the smallest hosts have 4,100
	// descriptors, of which backend servers take most of the rest.
	maxCallers = 2500
	// backendIdle closes connections before the users' servers do, after 10 s.
	backendIdle = 8 * time.Second
	// exitReserve is kept of the stop bound for leaving in order.
	exitReserve = 300 * time.Millisecond
	// settle is how long a stopping host stays after the last request in flight,
	// for answers on their way and requests that were just sent.
	settle = 100 * time.Millisecond
)

// Adapter is what is particular to a platform.
type Adapter struct {
	Source  feed.Source
	Decoder feeds.Decoder
	Dialect backend.Dialect
	Codec   callers.Codec
	// Ready returns the handler of the balancer's question for readiness.
	Ready func(ready func() bool) fasthttp.RequestHandler
}

// Host is one running entry host.
type Host struct {
	log      *zap.Logger
	settings *settings.Settings
	adapter  Adapter
	clock    clock.Clock
	counters *metrics.Counters
	store    *state.Store

	transport  *backend.Transport
	mesh       *mesh.Controller
	feeds      *feeds.Controller
	measures   *measures.Controller
	crashes    *crashes.Controller
	latencies  *latencies.Controller
	placement  *filters.Placement
	guard      *pause.Detector
	peerClient *peer.Client
	peerServer *peer.Server
	callers    *callers.Server
	ready      *fasthttp.Server
	operator   *operator.Server
	stopping   *filters.Stopping

	listeners struct{ ready, operator net.Listener }
	leaving   atomic.Bool
	broken    chan struct{}
	fault     atomic.Pointer[panics.Recovered]
}

// New assembles a host and opens its listeners. Run comes next.
func New(s *settings.Settings, log *zap.Logger, a Adapter) (*Host, error) {
	h := &Host{
		log: log, settings: s, adapter: a, clock: clock.NewMonotonic(), counters: metrics.New(),
		stopping: filters.NewStopping(), broken: make(chan struct{}),
	}
	h.counters.PublishProcess()
	h.latencies = latencies.New(h.counters)
	h.store = state.NewStore(state.Member{Name: s.Name, Address: s.Peer, DataCentre: s.DataCentre, Alive: true})
	h.store.Tick(h.clock.Now())
	if err := h.assemble(); err != nil {
		return nil, err
	}
	return h, nil
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (h *Host) assemble() error {
	s := h.settings
	h.transport = backend.New(backend.Options{
		MaxBody: maxBodyBytes, Dialect: h.adapter.Dialect, Lenient: true, IdleTimeout: backendIdle,
	})
	if err := h.assembleMesh(); err != nil {
		return err
	}
	peers, err := net.Listen("tcp", s.Peer)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	h.peerClient, h.peerServer = peer.NewClient(nil), peer.NewServer(peers)
	port, err := netip.ParseAddrPort(s.Peer)
	if err != nil {
		return errors.Wrap(err, "address for peers")
	}
	h.feeds = feeds.New(feeds.Config{
		Clock: h.clock, Store: h.store, Source: h.adapter.Source, Decoder: h.adapter.Decoder, Roster: h.mesh,
		Caller: h.peerClient, PeerPort: int(port.Port()), Counters: h.counters, Log: h.log, Rand: newRand(),
	})
	if err := h.feeds.Register(h.peerServer); err != nil {
		return errors.Wrap(err, "register message handlers")
	}
	h.measures = measures.New(measures.Config{
		Clock: h.clock, Store: h.store, Transport: h.transport, Mesh: h.mesh, Counters: h.counters, Log: h.log,
	})
	h.crashes = crashes.New(crashes.Config{
		Clock: h.clock, Store: h.store, Self: h.mesh.View().Self.Address, Counters: h.counters, Log: h.log,
	})
	h.mesh.AddHandler(h.crashes)
	h.mesh.AddHandler(h.feeds)
	h.mesh.AddHandler(h.measures)
	h.placement = &filters.Placement{Clock: h.clock, Store: h.store, Cold: h.measures}
	h.guard = &pause.Detector{Clock: h.clock, Store: h.store, Resync: h.resync, Suspended: clock.Suspended, Counters: h.counters, Log: h.log.Named("pause")}
	return h.assembleListeners()
}

func (h *Host) assembleMesh() error {
	s := h.settings
	address, err := net.ResolveUDPAddr("udp4", s.Mesh)
	if err != nil {
		return errors.Wrap(err, "address for the mesh")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return errors.Wrap(err, "listen for the mesh")
	}
	seeds, err := seedAddresses(s)
	if err != nil {
		return err
	}
	h.mesh = mesh.New(mesh.Config{
		Clock: h.clock, Conn: conn, Seeds: seeds, Rand: newRand(), Counters: h.counters, Log: h.log,
		Self: roster.Host{Address: conn.LocalAddr().String(), DataCentre: s.DataCentre, Incarnation: rand.Uint32() | 1},
	})
	return nil
}

// seedAddresses returns the datagram addresses of the settings' peers. All hosts
// use the same port.
func seedAddresses(s *settings.Settings) ([]string, error) {
	own, err := netip.ParseAddrPort(s.Mesh)
	if err != nil {
		return nil, errors.Wrap(err, "address for the mesh")
	}
	seeds := make([]string, 0, len(s.Peers))
	for _, p := range s.Peers {
		seed, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, errors.Wrap(err, "address of a peer")
		}
		seeds = append(seeds, netip.AddrPortFrom(seed.Addr(), own.Port()).String())
	}
	return seeds, nil
}

func (h *Host) assembleListeners() error {
	s := h.settings
	front, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	h.callers = callers.New(callers.Config{
		Listener: front, Codec: h.adapter.Codec, Chain: h.chain(), Store: h.store, Clock: h.clock, Counters: h.counters,
		Log: h.log.Named("callers"), MaxConnections: maxCallers, MaxBodyBytes: maxBodyBytes, MaxBufferedBytes: maxHeldBytes, Observe: h.observe,
	})
	if h.listeners.ready, err = net.Listen("tcp", s.Ready); err != nil {
		return errors.Wrap(err, "listen for readiness")
	}
	h.ready = &fasthttp.Server{Handler: h.adapter.Ready(h.Ready), NoDefaultServerHeader: true}
	if h.listeners.operator, err = net.Listen("tcp", s.Operator); err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	h.publishGauges()
	h.counters.Set("callers.active", expvar.Func(func() any { return h.callers.InFlight() }))
	h.counters.Set("backend.connections", expvar.Func(func() any { return h.transport.Stats() }))
	h.operator = operator.New(operator.Config{
		Log:   h.log,
		Ready: func() (bool, string) { return h.Ready(), "no configuration, or stopping" },
		Vars:  h.counters.Map().String,
	})
	return nil
}

// Ready reports whether the balancer should send callers here.
func (h *Host) Ready() bool { return !h.leaving.Load() && h.feeds.Ready() }

// chain returns the path of a request, in order.
func (h *Host) chain() filter.Handler {
	return filter.Chain(
		// Counts requests in flight.
		h.stopping,
		// Turns the caller's time budget into an absolute deadline.
		filters.Deadline{},
		// Finds route and service.
		filters.Route{},
		// Repeats what follows, within the budget.
		&filters.Retry{Clock: h.clock, Counters: h.counters, MaxTokens: func() float64 {
			return filters.SlackShare(h.settings.RetrySlack, h.mesh.View().Size())
		}},
		// Refuses requests that crash backend servers; judges each attempt.
		&filters.Poison{Clock: h.clock, Store: h.store, Reporter: h.crashes, ConfirmsCrashes: true},
		// Chooses a backend server by expected completion.
		h.placement,
		// Sends the request, reads the answer and decides the verdict.
		&filters.Dispatch{
			Clock: h.clock, Placement: h.placement, Transport: h.transport,
			Fresh: func() bool { return pause.Fresh(h.store, h.clock.Now()) },
		},
	)
}

// guarded runs a controller. A panic ends the host with a graceful stop, since
// its state has no writer any more.
func (h *Host) guarded(ctx context.Context, run func(context.Context)) {
	p := panics.Try(func() { run(ctx) })
	if p == nil || !h.fault.CompareAndSwap(nil, p) {
		return
	}
	h.log.Named("host").Error("A controller panicked. The host stops.", zap.Error(p.AsError()))
	close(h.broken)
}

// Run serves until ctx ends and then stops gracefully.
func (h *Host) Run(ctx context.Context) error {
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var wg conc.WaitGroup
	wg.Go(h.peerServer.Serve)
	for _, run := range []func(context.Context){
		h.mesh.Run, h.feeds.Run, h.measures.Run, h.crashes.Run, h.latencies.Run, h.transport.Run, h.guard.Run, h.callers.Serve,
	} {
		wg.Go(func() { h.guarded(running, run) })
	}
	wg.Go(func() { _ = h.ready.Serve(h.listeners.ready) })
	wg.Go(func() { _ = h.operator.Serve(h.listeners.operator) })
	h.log.Named("host").Info("Started.", zap.String("callers", h.settings.Listen), zap.String("data_centre", h.settings.DataCentre))
	select {
	case <-ctx.Done():
	case <-h.broken:
	}
	h.stop()
	end()
	h.close()
	wg.Wait()
	if p := h.fault.Load(); p != nil {
		return errors.Wrap(p.AsError(), "controller")
	}
	return nil
}

// resync brings a host that did not run for a while up to date: the load that it
// knew is of another time, and the feed may have moved on.
func (h *Host) resync(ctx context.Context) {
	for _, s := range h.store.Load().Servers.ByName {
		s.Load.ResetReading()
	}
	h.feeds.Refresh(ctx)
}

// close ends what stop left running.
func (h *Host) close() {
	_ = h.listeners.ready.Close()
	_ = h.listeners.operator.Close()
	h.callers.Close()
	h.peerServer.Close()
	h.peerClient.Close()
}

// stop takes the host out of the balancer, serves on until the balancer has
// noticed, ends connections as their answers are written, then refuses new
// requests, and returns when none is left or the stop bound is near.
func (h *Host) stop() {
	start := h.clock.Now()
	h.leaving.Store(true)
	h.mesh.Leave()
	h.log.Named("host").Info("Stopping.", zap.Int64("requests", h.callers.InFlight()))
	bound, cancel := context.WithTimeout(context.Background(), time.Duration(h.settings.StopBound)-exitReserve)
	defer cancel()
	h.callers.DisableKeepAlive()
	notice := time.NewTimer(time.Duration(h.settings.Notice))
	defer notice.Stop()
	<-notice.C
	// The balancer has noticed: who still comes is told to go elsewhere, since a
	// request that is taken now may outlast the stop.
	h.stopping.Stop()
	h.callers.Drain()
	if h.callers.WaitIdle(bound) {
		quiet := time.NewTimer(settle)
		<-quiet.C
	}
	h.log.Named("host").Info("Stopped.", zap.Int64("requests_cut", h.callers.InFlight()), zap.Duration("took", h.clock.Now().Sub(start)))
}

// Reload takes new settings. Addresses and the data centre of a running process
// stay; hosts to start from are taken over.
func (h *Host) Reload(s *settings.Settings) {
	seeds, err := seedAddresses(s)
	if err != nil {
		h.log.Named("host").Error("The settings name a peer that cannot be.", zap.Error(err))
		return
	}
	h.mesh.SetSeeds(seeds)
	h.log.Named("host").Info("Settings reloaded.", zap.Strings("seeds", seeds))
}
