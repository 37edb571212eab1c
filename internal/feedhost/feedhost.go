// Package feedhost assembles and runs an entry host whose configuration and
// backend servers are published by a platform. An adapter provides the parts that
// are specific to the platform: the source of the feed, its decoder, and the
// protocol details towards callers and backend servers.
package feedhost

import (
	"context"
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
	"github.com/anvilfront/anvilfront/internal/controller/accountloads"
	"github.com/anvilfront/anvilfront/internal/controller/crashes"
	"github.com/anvilfront/anvilfront/internal/controller/feeds"
	"github.com/anvilfront/anvilfront/internal/controller/latencies"
	"github.com/anvilfront/anvilfront/internal/controller/measures"
	"github.com/anvilfront/anvilfront/internal/controller/mesh"
	"github.com/anvilfront/anvilfront/internal/controller/pause"
	"github.com/anvilfront/anvilfront/internal/controller/quotas"
	"github.com/anvilfront/anvilfront/internal/feed"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/operator"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/poison"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/settings"
	"github.com/anvilfront/anvilfront/internal/state"
)

const (
	// maxBodyBytes bounds each body, since bodies are held in memory until they are
	// sent.
	maxBodyBytes = 8 << 20
	// maxBufferedResponseBytes bounds the large responses that are being read. Their
	// buffers grow by doubling, and with a copy they take a third of the memory of the
	// smallest hosts.
	maxBufferedResponseBytes = 16 << 20
	// backendIdleTimeout is shorter than the idle timeout of the backend servers,
	// 10 s, so that they do not close idle connections first.
	backendIdleTimeout = 8 * time.Second
	// shutdownReserve is the part of the stop bound that is kept for closing down in
	// order: 100 ms for requests that go on without their caller, controllersTimeout,
	// 200 ms for the log, and the rest for a busy processor. The platform kills a process
	// that still runs at the end of the stop bound.
	shutdownReserve = 500 * time.Millisecond
	// drainGrace is how long a stopping host keeps running after its last request in
	// flight, for responses in transit and requests that were just sent.
	drainGrace = 100 * time.Millisecond
)

// Adapter holds the parts that are specific to a platform.
type Adapter struct {
	Source  feed.Source
	Decoder feeds.Decoder
	Dialect backend.Dialect
	Codec   callers.Codec
	// Ready returns the handler for the readiness checks of the balancer in front.
	Ready func(ready func() bool) fasthttp.RequestHandler
}

// Host is one entry host.
type Host struct {
	log      *zap.Logger
	settings *settings.Settings
	adapter  Adapter
	clock    clock.Clock
	counters *metrics.Counters
	accounts *metrics.Accounts
	store    *state.Store

	transport     *backend.Transport
	mesh          *mesh.Controller
	feeds         *feeds.Controller
	measures      *measures.Controller
	crashes       *crashes.Controller
	accountLoads  *accountloads.Controller
	latencies     *latencies.Controller
	quotas        *quotas.Controller
	placement     *filters.Placement
	pauseDetector *pause.Detector
	peerClient    *peer.Client
	peerServer    *peer.Server
	callers       *callers.Server
	ready         *fasthttp.Server
	operator      *operator.Server
	stopping      *filters.Stopping

	listeners        struct{ ready, operator net.Listener }
	leaving          atomic.Bool
	controllerFailed chan struct{}
	controllerPanic  atomic.Pointer[panics.Recovered]
}

// New assembles a host and opens its listeners. Run starts serving.
func New(s *settings.Settings, log *zap.Logger, a Adapter) (*Host, error) {
	h := &Host{
		log: log, settings: s, adapter: a, clock: clock.NewMonotonic(), counters: metrics.New(),
		stopping: filters.NewStopping(), controllerFailed: make(chan struct{}),
	}
	h.counters.PublishProcess()
	h.accounts = metrics.NewAccounts(h.counters)
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
		MaxBody: maxBodyBytes, Dialect: h.adapter.Dialect, Lenient: true, IdleTimeout: backendIdleTimeout, MaxBufferedBytes: maxBufferedResponseBytes,
	})
	if err := h.assembleMesh(); err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", s.Peer)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	h.peerClient, h.peerServer = peer.NewClient(nil), h.newPeerServer(peerListener)
	peerAddress, err := netip.ParseAddrPort(s.Peer)
	if err != nil {
		return errors.Wrap(err, "parse the address for peers")
	}
	h.feeds = feeds.New(feeds.Config{
		Clock: h.clock, Store: h.store, Source: h.adapter.Source, Decoder: h.adapter.Decoder, Roster: h.mesh,
		Caller: h.peerClient, PeerPort: int(peerAddress.Port()), Flush: h.mesh.Flush, Counters: h.counters, Log: h.log, Rand: newRand(),
	})
	if err := h.feeds.Register(h.peerServer); err != nil {
		return errors.Wrap(err, "register RPC handlers")
	}
	h.measures = measures.New(measures.Config{
		Clock: h.clock, Store: h.store, Transport: h.transport, Mesh: h.mesh, Counters: h.counters, Log: h.log,
	})
	self := h.mesh.View().Self
	h.crashes = crashes.New(crashes.Config{
		Clock: h.clock, Store: h.store, Self: poison.Origin(self.Address, uint64(self.Incarnation)), RefusesConnections: h.transport.RefusesConnections,
		Flush: h.mesh.Flush, Counters: h.counters, Log: h.log,
	})
	h.quotas = quotas.New(quotas.Config{Clock: h.clock, Store: h.store, Mesh: h.mesh, Rand: newRand(), Counters: h.counters, Log: h.log})
	h.mesh.AddHandler(h.quotas)
	h.mesh.AddHandler(h.crashes)
	h.mesh.AddHandler(h.feeds)
	h.mesh.AddHandler(h.measures)
	h.accountLoads = accountloads.New(accountloads.Config{DataCentre: s.DataCentre, Counters: h.counters})
	h.mesh.AddHandler(h.accountLoads) // last: it uses the room that the others leave
	h.placement = &filters.Placement{Clock: h.clock, Store: h.store, Cold: h.measures, Limited: h.measures, Load: h.measures, Loads: h.accountLoads, Idle: h.transport}
	h.pauseDetector = &pause.Detector{Clock: h.clock, Store: h.store, Resync: h.resync, Suspended: clock.Suspended, Counters: h.counters, Log: h.log.Named("pause")}
	return h.assembleListeners()
}

func (h *Host) assembleMesh() error {
	s := h.settings
	address, err := net.ResolveUDPAddr("udp4", s.Mesh)
	if err != nil {
		return errors.Wrap(err, "resolve the address for the mesh")
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

// seedAddresses returns the UDP addresses of the peers in the settings. All hosts
// use the same port for the mesh.
func seedAddresses(s *settings.Settings) ([]string, error) {
	meshAddress, err := netip.ParseAddrPort(s.Mesh)
	if err != nil {
		return nil, errors.Wrap(err, "parse the address for the mesh")
	}
	seeds := make([]string, 0, len(s.Peers))
	for _, p := range s.Peers {
		seed, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, errors.Wrap(err, "parse the address of a peer")
		}
		seeds = append(seeds, netip.AddrPortFrom(seed.Addr(), meshAddress.Port()).String())
	}
	return seeds, nil
}

// Ready reports whether the balancer in front should send callers to this host.
func (h *Host) Ready() bool { return !h.leaving.Load() && h.feeds.Ready() }

// chain returns the filters of the request path, in order.
func (h *Host) chain() filter.Handler {
	return filter.Chain(
		// Counts requests in flight, and refuses new ones once the host stops.
		h.stopping,
		// Turns the caller's time budget into an absolute deadline.
		filters.Deadline{},
		// Selects the route and the service.
		filters.Route{},
		// Refuses requests without the key of a client account.
		&filters.Account{Loads: h.accountLoads},
		// Refuses requests of an account that is over its quota.
		&filters.Quota{Quotas: h.quotas},
		// Retries the rest of the chain, within the retry budget.
		&filters.Retry{Clock: h.clock, Counters: h.counters, MaxTokens: func() float64 {
			return filters.SlackShare(h.settings.RetrySlack, h.mesh.View().Size())
		}},
		// Refuses poison requests, and evaluates the outcome of each attempt.
		&filters.Poison{Clock: h.clock, Store: h.store, Reporter: h.crashes, ConfirmsCrashes: true},
		// Chooses a backend server by expected completion time.
		h.placement,
		// Sends the request, reads the response and determines the verdict.
		&filters.Dispatch{
			Clock: h.clock, Placement: h.placement, Transport: h.transport,
			Fresh: func() bool { return pause.Fresh(h.store, h.clock.Now()) },
		},
	)
}

// stopOnPanic runs a controller. When the controller panics, the host stops
// gracefully, since the state of that controller no longer has a writer.
func (h *Host) stopOnPanic(ctx context.Context, run func(context.Context)) {
	p := panics.Try(func() { run(ctx) })
	if p == nil || !h.controllerPanic.CompareAndSwap(nil, p) {
		return
	}
	h.log.Named("host").Error("A controller panicked. The host stops gracefully.", zap.Error(p.AsError()))
	close(h.controllerFailed)
}

// Run serves until ctx ends and then stops gracefully.
func (h *Host) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(h.peerServer.Serve)
	for _, run := range []func(context.Context){
		h.mesh.Run, h.feeds.Run, h.measures.Run, h.crashes.Run, h.quotas.Run, h.latencies.Run, h.transport.Run, h.pauseDetector.Run, h.callers.Serve,
	} {
		wg.Go(func() { h.stopOnPanic(runCtx, run) })
	}
	wg.Go(func() { _ = h.ready.Serve(h.listeners.ready) })
	wg.Go(func() { _ = h.operator.Serve(h.listeners.operator) })
	h.log.Named("host").Info("Entry host started and accepts callers.", zap.String("callers", h.settings.Listen), zap.String("data_centre", h.settings.DataCentre))
	select {
	case <-ctx.Done():
	case <-h.controllerFailed:
	}
	h.stop()
	cancel()
	h.close()
	h.waitControllers(&wg)
	if p := h.controllerPanic.Load(); p != nil {
		return errors.Wrap(p.AsError(), "controller failed")
	}
	return nil
}

// resync updates the state after a pause of the process: the known load readings
// are stale, and the feed may have changed.
func (h *Host) resync(ctx context.Context) {
	for _, s := range h.store.Load().Servers.ByName {
		s.Load.ResetReading()
	}
	h.feeds.Refresh(ctx)
}

// close closes the listeners, connections and clients that stop left open.
func (h *Host) close() {
	_ = h.listeners.ready.Close()
	_ = h.listeners.operator.Close()
	h.callers.Close()
	h.peerServer.Close()
	h.peerClient.Close()
}

// stop reports the host as not ready and keeps serving until the balancer in
// front has noticed, closing connections as their responses are written. It then
// refuses new requests, and returns when no request is left or the stop bound is
// near.
func (h *Host) stop() {
	start := h.clock.Now()
	h.leaving.Store(true)
	h.stopping.Announce(start.Add(time.Duration(h.settings.StopBound) - shutdownReserve))
	h.mesh.Leave()
	h.log.Named("host").Info("Entry host is stopping. It refuses new requests after the notice period.", zap.Int64("requests", h.callers.InFlight()))
	stopCtx, cancel := context.WithTimeout(context.Background(), time.Duration(h.settings.StopBound)-shutdownReserve)
	defer cancel()
	h.callers.DisableKeepAlive()
	noticeTimer := time.NewTimer(time.Duration(h.settings.Notice))
	defer noticeTimer.Stop()
	<-noticeTimer.C
	// The balancer in front has had time to notice. Callers that still arrive are
	// refused and have to use another host, since a request accepted now may outlast
	// the stop.
	h.stopping.Stop()
	h.callers.Drain()
	if h.callers.WaitIdle(stopCtx) {
		drainTimer := time.NewTimer(drainGrace)
		<-drainTimer.C
	}
	h.log.Named("host").Info("Entry host stopped. Requests that are still in flight are aborted.", zap.Int64("requests_cut", h.callers.InFlight()), zap.Duration("took", h.clock.Now().Sub(start)))
}

// Reload applies new settings. The addresses and the data centre of a running
// process do not change; only the seeds of the mesh are replaced.
func (h *Host) Reload(s *settings.Settings) {
	seeds, err := seedAddresses(s)
	if err != nil {
		h.log.Named("host").Error("The new settings contain an invalid mesh or peer address. The seeds do not change.", zap.Error(err))
		return
	}
	h.mesh.SetSeeds(seeds)
	h.log.Named("host").Info("Settings reloaded. The seeds are replaced.", zap.Strings("seeds", seeds))
}
